"""``peppershore status`` and ``watch``: what is in force, and who lags and why."""

from __future__ import annotations

import asyncio
import sys
from contextlib import aclosing

import click
import msgspec
from returns.result import Failure, Result, Success

from peppershore.command.client import ControlGroup, ask, stream
from peppershore.command.edits import read_tree
from peppershore.command.exit_codes import ExitCode
from peppershore.command.failures import Failed
from peppershore.command.options import OperatorContext, operator_options
from peppershore.command.output import format_table, show_json
from peppershore.connection.messages import (
    LaggingNode,
    RelayStatus,
    StatusAnswered,
    StatusQuery,
    WatchRequest,
)
from peppershore.version.model import Version

REPLICA_HEADER = ("REPLICA", "ADDRESS", "ROLE", "TERM", "VERSION", "VOTER")


class WatchResult(msgspec.Struct, frozen=True):
    """How a version came into force.

    ``convergence_milliseconds`` runs from the watch's first answer;
    ``control_bytes`` is what the relays sent to nodes in that time.
    """

    version: Version
    in_force: Version
    nodes: int
    convergence_milliseconds: int
    control_bytes: int


class WatchStep(msgspec.Struct, frozen=True):
    """One answer of a watch and when it came."""

    elapsed_milliseconds: int
    status: StatusAnswered


@click.command()
@operator_options
def status(context: OperatorContext) -> None:
    """Show the replicas, the relays, and which nodes lag and why."""
    answer = context.run(read_status(context.group))
    if context.as_json:
        show_json(answer)
        return
    click.echo(format_status(answer))


@click.command()
@click.argument("version", type=click.IntRange(min=1), required=False)
@operator_options
def watch(context: OperatorContext, version: int | None) -> None:
    """Follow VERSION (the newest if absent) until it is in force on every proxy."""
    result = context.run(_watch(context, version))
    if context.as_json:
        show_json({"in_force": result})
        return
    click.echo(
        f"version {result.version} is in force on {result.nodes} nodes after "
        f"{result.convergence_milliseconds} ms; "
        f"{result.control_bytes} control bytes were sent"
    )


async def read_status(group: ControlGroup) -> Result[StatusAnswered, Failed]:
    """Ask for the state of the cluster."""
    answer = await ask(group, StatusQuery(), StatusAnswered)
    if isinstance(answer, Failure):
        return Failure(answer.failure().failed)
    return Success(answer.unwrap())


def format_status(answer: StatusAnswered) -> str:
    """Give the state of the cluster as tables."""
    parts = [
        f"cluster {answer.cluster}: version {answer.version}, in force {answer.in_force}, "
        f"leader {answer.leader or 'unknown'}",
        format_table(REPLICA_HEADER, replica_rows(answer)),
        format_table(
            ("RELAY", "ZONE", "VERSION", "IN FORCE", "NODES", "LAGGING", "BYTES", "AGE"),
            [_relay_row(item) for item in answer.relays],
        ),
    ]
    lagging = [
        _lagging_row(relay, node) for relay in answer.relays for node in relay.lagging
    ]
    if lagging:
        header = ("LAGGING NODE", "SERVICE", "ZONE", "VERSION", "RELAY", "REASON")
        parts.append(format_table(header, lagging))
    if answer.rotations:
        parts.append("rotations in progress: " + "; ".join(answer.rotations))
    return "\n\n".join(parts)


def replica_rows(answer: StatusAnswered) -> list[tuple[object, ...]]:
    """Give a row of ``REPLICA_HEADER`` for each replica."""
    return [
        (item.replica, item.address, item.role, item.term, item.match_version, item.voter)
        for item in answer.replicas
    ]


async def _watch(
    context: OperatorContext, version: int | None
) -> Result[WatchResult, Failed]:
    wanted = version
    if wanted is None:
        newest = await read_tree(context.group)
        if isinstance(newest, Failure):
            return Failure(newest.failure())
        wanted = newest.unwrap().version
    loop = asyncio.get_running_loop()
    started = loop.time()
    first_bytes: int | None = None
    last: StatusAnswered | None = None
    async with aclosing(
        stream(context.group, WatchRequest(wanted), StatusAnswered)
    ) as steps:
        async for step in steps:
            if isinstance(step, Failure):
                return Failure(_not_in_force(wanted, last, step.failure().failed))
            last = step.unwrap()
            sent = sum(relay.control_bytes for relay in last.relays)
            first_bytes = sent if first_bytes is None else first_bytes
            elapsed = round((loop.time() - started) * 1_000)
            _show_step(context, wanted, WatchStep(elapsed, last))
            if last.in_force >= wanted:
                nodes = sum(relay.nodes for relay in last.relays)
                return Success(
                    WatchResult(wanted, last.in_force, nodes, elapsed, sent - first_bytes)
                )
    raise AssertionError("a stream of answers ends with a failure")


def _show_step(context: OperatorContext, wanted: Version, step: WatchStep) -> None:
    if context.as_json:
        show_json(step)
        return
    click.echo(
        f"{step.elapsed_milliseconds} ms: in force {step.status.in_force} of {wanted}"
    )
    for relay in step.status.relays:
        state = "done" if relay.in_force >= wanted else f"at {relay.in_force}"
        click.echo(f"  {relay.relay} ({relay.zone}): {relay.nodes} nodes, {state}")
        for node in relay.lagging:
            click.echo(f"    {node.node} holds {node.version}: {node.reason}")
    sys.stdout.flush()


def _not_in_force(wanted: Version, last: StatusAnswered | None, lost: Failed) -> Failed:
    if last is None:
        return lost
    lagging = sum(len(relay.lagging) for relay in last.relays)
    return Failed(
        code=ExitCode.NOT_IN_FORCE,
        kind="not_in_force",
        message=f"version {wanted} is not in force everywhere yet ({lagging} known to lag)",
        next_step="`peppershore status` shows who lags and why; watch again for longer",
    )


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
