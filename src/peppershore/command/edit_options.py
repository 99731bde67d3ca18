"""Options that every command that changes the tree shares."""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import Any

import click
import msgspec

from peppershore.command.edits import EditRequest, submit
from peppershore.command.options import OperatorContext
from peppershore.command.output import show_json
from peppershore.version.model import EditAccepted, Operation, Version

Command = Callable[..., None]


class EditNames(msgspec.Struct, frozen=True):
    """What the operator gave to name and guard the change."""

    change_id: str
    revision: Version | None
    comment: str


def edit_options(command: Command) -> Command:
    """Add the shared options; the command gets one ``names`` argument for them."""

    @click.option("--change-id", default="", help="Name of the change; made if absent.")
    @click.option(
        "--expected-revision",
        type=click.IntRange(min=0),
        help="Revision that what is edited must have (0: must not exist); "
        "taken from the tree just read if absent.",
    )
    @click.option("--comment", default="", help="Why, for the history.")
    @functools.wraps(command)
    def with_names(
        change_id: str, expected_revision: int | None, comment: str, **arguments: Any
    ) -> None:
        names = EditNames(change_id, expected_revision, comment)
        command(names=names, **arguments)

    return with_names


def run_edit(
    context: OperatorContext, names: EditNames, *operations: Operation
) -> EditAccepted:
    """Send the operations as one edit and show its outcome."""
    request = EditRequest(
        operations=operations,
        change_id=names.change_id,
        revision=names.revision,
        comment=names.comment,
        author=context.author,
    )
    accepted = context.run(submit(context.group, request))
    show_accepted(context, accepted)
    return accepted


def show_accepted(context: OperatorContext, accepted: EditAccepted) -> None:
    """Show the version that an edit became."""
    if context.as_json:
        show_json({"accepted": accepted})
        return
    click.echo(f"accepted as version {accepted.version} (change id {accepted.change_id})")
