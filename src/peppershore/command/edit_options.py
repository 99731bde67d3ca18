"""Options that every command that changes the tree shares."""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import Any

import click
import msgspec
from returns.result import Failure, Result, Success

from peppershore.command.edits import EditRequest, subject_of, submit
from peppershore.command.failures import Failed, usage
from peppershore.command.options import OperatorContext
from peppershore.command.output import show_json, stop_with
from peppershore.version.model import EditAccepted, ExpectedRevision, Operation

Command = Callable[..., None]


class EditNames(msgspec.Struct, frozen=True):
    """What the operator gave to name and guard the change."""

    change_id: str
    revisions: tuple[str, ...]
    comment: str


def edit_options(command: Command) -> Command:
    """Add the shared options; the command gets one ``names`` argument for them."""

    @click.option("--change-id", default="", help="Name of the change; made if absent.")
    @click.option(
        "--expected-revision",
        "revisions",
        multiple=True,
        metavar="[SUBJECT=]N",
        help="Revision that what is edited must have (0: must not exist).  SUBJECT is "
        "a path, zone:NAME or secret:NAME, needed when there are several.  Taken from "
        "the tree just read if absent.",
    )
    @click.option("--comment", default="", help="Why, for the history.")
    @functools.wraps(command)
    def with_names(
        change_id: str, revisions: tuple[str, ...], comment: str, **arguments: Any
    ) -> None:
        names = EditNames(change_id, revisions, comment)
        command(names=names, **arguments)

    return with_names


def run_edit(
    context: OperatorContext, names: EditNames, *operations: Operation
) -> EditAccepted:
    """Send the operations as one edit and show its outcome."""
    request = edit_request(context, names, operations)
    accepted = context.run(submit(context.group, request))
    show_accepted(context, accepted)
    return accepted


def edit_request(
    context: OperatorContext, names: EditNames, operations: tuple[Operation, ...]
) -> EditRequest:
    """Put operations and what the operator gave together; stop on a bad revision."""
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
    """Read "N" or "SUBJECT=N"; a bare number needs an edit of one subject."""
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


def show_accepted(context: OperatorContext, accepted: EditAccepted) -> None:
    """Show the version that an edit became."""
    if context.as_json:
        show_json({"accepted": accepted})
        return
    click.echo(f"accepted as version {accepted.version} (change id {accepted.change_id})")
