"""Options shared by all commands that change the tree, and the sending of their edits."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import Any

import click
import msgspec
from returns.result import Failure, Result, Success

from peppershore.command.edits import EditRequest, Submitted, subject_of, submit
from peppershore.command.failures import Failed, usage
from peppershore.command.options import OperatorContext
from peppershore.command.output import show_json, stop_with
from peppershore.command.status_commands import read_status
from peppershore.command.watch_output import WatchOutput
from peppershore.command.watching import WatchStart, control_bytes, watch_version
from peppershore.version.model import ExpectedRevision, Operation

Command = Callable[..., None]
PendingEdit = Coroutine[Any, Any, Result[Submitted, Failed]]
"""Coroutine that sends an edit to the control group and returns its outcome."""


class EditNames(msgspec.Struct, frozen=True):
    """Values of the shared options: they identify, guard and explain the change."""

    change_id: str
    revisions: tuple[str, ...]
    comment: str
    watch: bool


def edit_options(command: Command) -> Command:
    """Add the shared options; the command receives their values as ``names``."""

    @click.option("--change-id", default="", help="Name of the change; made if absent.")
    @click.option(
        "--expected-revision",
        "revisions",
        multiple=True,
        metavar="[SUBJECT=]N",
        help="Revision that what is edited must have (0: must not exist).  SUBJECT is "
        "a path, zone:NAME, secret:NAME or tenant:NAME, needed when there are several.  "
        "Taken from the tree just read if absent.",
    )
    @click.option("--comment", default="", help="Why, for the history.")
    @click.option("--watch", is_flag=True, help="Wait until it is in force everywhere.")
    @functools.wraps(command)
    def with_names(
        change_id: str,
        revisions: tuple[str, ...],
        comment: str,
        watch: bool,
        **arguments: Any,
    ) -> None:
        names = EditNames(change_id, revisions, comment, watch)
        command(names=names, **arguments)

    return with_names


def run_edit(context: OperatorContext, names: EditNames, *operations: Operation) -> None:
    """Send the operations as one edit and show the outcome."""
    request = edit_request(context, names, operations)
    send_edit(context, names, submit(context.group, request))


def send_edit(context: OperatorContext, names: EditNames, pending: PendingEdit) -> None:
    """Await and show the outcome of an edit; with ``--watch`` follow it until in force."""
    if names.watch:
        context.run(_send_and_watch(context, pending))
    else:
        show_accepted(context, context.run(pending))


async def _send_and_watch(
    context: OperatorContext, pending: PendingEdit
) -> Result[None, Failed]:
    before = await read_status(context.group)
    sent_before = before.map(control_bytes).value_or(None)
    submitted = await pending
    start = WatchStart(asyncio.get_running_loop().time(), sent_before)
    if isinstance(submitted, Failure):
        return Failure(submitted.failure())
    show_accepted(context, submitted.unwrap())
    version = submitted.unwrap().accepted.version
    output = WatchOutput(context.as_json, version)
    watched = await watch_version(context.group, version, start, output.step)
    if isinstance(watched, Failure):
        return Failure(watched.failure())
    output.result(watched.unwrap())
    return Success(None)


def edit_request(
    context: OperatorContext, names: EditNames, operations: tuple[Operation, ...]
) -> EditRequest:
    """Build the edit request; exit with a failure if an expected revision is malformed."""
    subjects = tuple(dict.fromkeys(subject_of(operation) for operation in operations))
    revisions = read_revisions(names.revisions, subjects)
    if isinstance(revisions, Failure):
        stop_with(revisions.failure(), context.as_json)
    return EditRequest(
        operations=operations,
        change_id=names.change_id,
        revisions=revisions.unwrap(),
        comment=names.comment,
        author=context.author,
    )


def read_revisions(
    texts: tuple[str, ...], subjects: tuple[str, ...]
) -> Result[tuple[ExpectedRevision, ...], Failed]:
    """Parse "N" or "SUBJECT=N"; "N" alone is valid only for an edit of one subject."""
    found: list[ExpectedRevision] = []
    for text in texts:
        subject, separator, number = text.rpartition("=")
        if not (number.isascii() and number.isdigit()):
            step = "give a whole number from 0, or SUBJECT=NUMBER"
            return Failure(usage(f"{text!r} is no expected revision", step))
        if not separator and len(subjects) != 1:
            step = "name each: " + ", ".join(f"{name}=N" for name in subjects)
            return Failure(usage(f"the edit touches {len(subjects)} subjects", step))
        found.append(ExpectedRevision(subject or subjects[0], int(number)))
    return Success(tuple(found))


def show_accepted(context: OperatorContext, submitted: Submitted) -> None:
    """Show the version of an accepted edit, and whether an earlier send was accepted."""
    accepted = submitted.accepted
    if context.as_json:
        show_json(submitted)
        return
    named = f"version {accepted.version} (change id {accepted.change_id})"
    if submitted.repeated:
        click.echo(f"was accepted before as {named}; nothing was done again")
        return
    click.echo(f"accepted as {named}")
