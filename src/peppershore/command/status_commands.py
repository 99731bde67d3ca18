"""``peppershore status``: the version in force, and which nodes lag and why."""

from __future__ import annotations

import click
import msgspec
from returns.result import Failure, Result, Success

from peppershore.command.client import ControlGroup, ask
from peppershore.command.failures import Failed
from peppershore.command.options import OperatorContext, operator_options
from peppershore.command.output import format_table, show_json
from peppershore.connection.messages.operators import (
    RelayStatus,
    StatusAnswered,
    StatusQuery,
)
from peppershore.connection.messages.relay import LaggingNode
from peppershore.process.status_remarks import status_remarks

LEADER_SECONDS = 2.0
REPLICA_HEADER = ("REPLICA", "ADDRESS", "ROLE", "TERM", "LOG SYNCED TO", "VOTER")
RELAY_HEADER = ("RELAY", "ZONE", "VERSION", "IN FORCE", "NODES", "LAGGING", "BYTES", "AGE")
LAGGING_HEADER = ("LAGGING NODE", "SERVICE", "ZONE", "VERSION", "RELAY", "REASON")


@click.command()
@operator_options
def status(context: OperatorContext) -> None:
    """Show the replicas, the relays, and which nodes lag and why."""
    answer = context.run(read_status(context.group))
    if context.as_json:
        show_json(answer)
        return
    click.echo(format_status(answer))


async def read_status(group: ControlGroup) -> Result[StatusAnswered, Failed]:
    """Return the cluster's state from the leader, which knows most, else any replica."""
    answer = await ask(group, StatusQuery(), StatusAnswered)
    if isinstance(answer, Failure):
        return Failure(answer.failure().failed)
    first = answer.unwrap()
    leader = [item.address for item in first.replicas if item.replica == first.leader]
    if first.replica == first.leader or not leader:
        return Success(first)
    seconds = min(LEADER_SECONDS, group.timeout_seconds)
    at_leader = msgspec.structs.replace(
        group, replicas=tuple(leader), timeout_seconds=seconds
    )
    return Success((await ask(at_leader, StatusQuery(), StatusAnswered)).value_or(first))


def format_status(answer: StatusAnswered) -> str:
    """Return the state of the cluster as tables, followed by remarks on problems."""
    parts = [
        f"cluster {answer.cluster}: version {answer.version}, in force {answer.in_force}, "
        f"leader {answer.leader or 'unknown'}, answered by {answer.replica}",
        format_table(REPLICA_HEADER, replica_rows(answer)),
    ]
    if answer.relays:
        parts.append(
            format_table(RELAY_HEADER, [_relay_row(item) for item in answer.relays])
        )
    lagging = [
        _lagging_row(relay, node) for relay in answer.relays for node in relay.lagging
    ]
    if lagging:
        parts.append(format_table(LAGGING_HEADER, lagging))
    return "\n\n".join((*parts, *status_remarks(answer)))


def replica_rows(answer: StatusAnswered) -> list[tuple[object, ...]]:
    """Return a row for each replica, with the columns of ``REPLICA_HEADER``."""
    return [
        (
            item.replica,
            item.address,
            item.role,
            item.term,
            item.match_version or None,
            item.voter,
        )
        for item in answer.replicas
    ]


def _relay_row(item: RelayStatus) -> tuple[object, ...]:
    age = f"{item.report_age_milliseconds} ms"
    lagging = len(item.lagging)
    return (
        item.relay,
        item.zone,
        item.version,
        item.in_force,
        item.nodes,
        lagging,
        item.control_bytes,
        age,
    )


def _lagging_row(relay: RelayStatus, node: LaggingNode) -> tuple[object, ...]:
    return (node.node, node.service, node.zone, node.version, relay.relay, node.reason)
