"""``peppershore replica``: the members of the control group."""

from __future__ import annotations

import click
from returns.result import Failure, Result, Success

from peppershore.command.client import ControlGroup, NoAnswer, ask
from peppershore.command.exit_codes import ExitCode
from peppershore.command.failures import Failed
from peppershore.command.options import OperatorContext, operator_options
from peppershore.command.output import show_json, show_table
from peppershore.command.recover_command import recover
from peppershore.command.status_commands import (
    REPLICA_HEADER,
    read_status,
    replica_rows,
)
from peppershore.connection.messages.operators import MembershipAnswered, MembershipChange

ADD = "add"
REMOVE = "remove"


@click.group()
def replica() -> None:
    """Add, remove and list control replicas, one at a time."""


replica.add_command(recover)


@replica.command()
@click.argument("name")
@click.argument("address", metavar="IP:PORT")
@operator_options
def add(context: OperatorContext, name: str, address: str) -> None:
    """Add the replica NAME, which was started with join = true.

    It learns the log first and votes once it has caught up.
    """
    change = MembershipChange(ADD, name, address)
    context.run(change_membership(context.group, change))
    _show_done(context, change)


@replica.command()
@click.argument("name")
@operator_options
def remove(context: OperatorContext, name: str) -> None:
    """Remove the replica NAME from the group; then stop its process."""
    change = MembershipChange(REMOVE, name, "")
    context.run(change_membership(context.group, change))
    _show_done(context, change)


@replica.command(name="list")
@operator_options
def list_(context: OperatorContext) -> None:
    """List the replicas as the leader sees them."""
    answer = context.run(read_status(context.group))
    if context.as_json:
        show_json({"leader": answer.leader, "replicas": answer.replicas})
        return
    show_table(REPLICA_HEADER, replica_rows(answer))


async def change_membership(
    group: ControlGroup, change: MembershipChange
) -> Result[MembershipChange, Failed]:
    """Send one membership change to the leader; return it, or the failure to show."""
    answer = await ask(group, change, MembershipAnswered)
    if isinstance(answer, Failure):
        return Failure(_unanswered(change, answer.failure()))
    problem = answer.unwrap().problem
    if not problem:
        return Success(change)
    return Failure(
        Failed(
            code=ExitCode.INVALID,
            kind="membership",
            message=f"the group refuses to {change.action} {change.replica}: {problem}",
            next_step="`peppershore replica list` shows the members and how far they are",
        )
    )


def _unanswered(change: MembershipChange, lost: NoAnswer) -> Failed:
    """Return the failure of a change without an answer: possibly in progress, or unsent."""
    if not lost.maybe_sent:
        return lost.failed
    return Failed(
        code=ExitCode.UNKNOWN,
        kind="unknown",
        message=(
            f"the group did not finish to {change.action} {change.replica} in time, "
            f"and may yet do so: {lost.failed.message}"
        ),
        next_step=(
            f"check that {change.replica} runs and is reached at its address; "
            "`peppershore replica list` shows whether it is a member"
        ),
    )


def _show_done(context: OperatorContext, change: MembershipChange) -> None:
    if context.as_json:
        show_json({"membership": change})
        return
    click.echo(f"{change.action}: {change.replica} accepted by the group")
