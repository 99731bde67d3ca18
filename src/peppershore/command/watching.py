"""Watch of one version, or of every version, until it is in force on every node."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import aclosing

import msgspec
from returns.result import Failure, Result, Success

from peppershore.command.client import ControlGroup, stream
from peppershore.command.exit_codes import ExitCode
from peppershore.command.failures import Failed
from peppershore.connection.messages.operators import StatusAnswered, WatchRequest
from peppershore.version.model import Version

MILLISECONDS_PER_SECOND = 1_000
NEVER_IN_FORCE: Version = 2**62
"""Version above all others; a watch for it does not end by itself."""


class WatchStart(msgspec.Struct, frozen=True):
    """Start of a watch: a time of the event loop's clock, and the bytes sent until then.

    If ``control_bytes`` is None, the bytes reported by the first answer are used.
    """

    at: float
    control_bytes: int | None = None


class WatchStep(msgspec.Struct, frozen=True):
    """One answer of a watch, and the time since its start."""

    elapsed_milliseconds: int
    status: StatusAnswered


class WatchResult(msgspec.Struct, frozen=True):
    """Result of a watch of a version that is in force.

    ``convergence_milliseconds`` is the time since the start of the watch;
    ``control_bytes`` is the number of bytes that relays sent to nodes in that time.
    """

    version: Version
    in_force: Version
    nodes: int
    convergence_milliseconds: int
    control_bytes: int


OnStep = Callable[[WatchStep], None]
OnResult = Callable[[WatchResult], None]


async def watch_version(
    group: ControlGroup, target: Version, start: WatchStart, on_step: OnStep
) -> Result[WatchResult, Failed]:
    """Pass each answer to ``on_step`` until ``target`` is in force or time runs out."""
    loop = asyncio.get_running_loop()
    first_bytes = start.control_bytes
    last: StatusAnswered | None = None
    answers = stream(group, WatchRequest(target), StatusAnswered)
    async with aclosing(answers) as steps:
        async for step in steps:
            if isinstance(step, Failure):
                return Failure(_not_in_force(target, last, step.failure().failed))
            last = step.unwrap()
            sent = control_bytes(last)
            first_bytes = sent if first_bytes is None else first_bytes
            elapsed = round((loop.time() - start.at) * MILLISECONDS_PER_SECOND)
            on_step(WatchStep(elapsed, last))
            if last.in_force >= target:
                nodes = sum(relay.nodes for relay in last.relays)
                spent = max(0, sent - first_bytes)
                return Success(WatchResult(target, last.in_force, nodes, elapsed, spent))
    raise AssertionError("a stream of answers ends with a failure")


def control_bytes(status: StatusAnswered) -> int:
    """Return the number of bytes that all relays have sent to their nodes."""
    return sum(relay.control_bytes for relay in status.relays)


async def follow_versions(
    group: ControlGroup, on_step: OnStep, on_result: OnResult
) -> Result[None, Failed]:
    """Pass on each answer, and a result for each newest version that comes into force.

    Returns only a failure, when the group's time-out has passed. A version's time counts
    from the first answer that shows it.
    """
    loop = asyncio.get_running_loop()
    target: Version = 0
    started, first_bytes, is_reported = loop.time(), 0, True
    answers = stream(group, WatchRequest(NEVER_IN_FORCE), StatusAnswered)
    async with aclosing(answers) as steps:
        async for step in steps:
            if isinstance(step, Failure):
                return Failure(step.failure().failed)
            status = step.unwrap()
            sent = control_bytes(status)
            if status.version > target:
                is_reported = target == 0 and status.in_force >= status.version
                target, started, first_bytes = status.version, loop.time(), sent
            elapsed = round((loop.time() - started) * MILLISECONDS_PER_SECOND)
            on_step(WatchStep(elapsed, status))
            if status.in_force >= target and not is_reported:
                is_reported = True
                nodes = sum(relay.nodes for relay in status.relays)
                spent = max(0, sent - first_bytes)
                on_result(WatchResult(target, status.in_force, nodes, elapsed, spent))
    raise AssertionError("a stream of answers ends with a failure")


def _not_in_force(target: Version, last: StatusAnswered | None, lost: Failed) -> Failed:
    if last is None:
        return lost
    if last.version < target:
        message = f"version {target} is not accepted yet; the newest is {last.version}"
        step = "`peppershore tree history` lists the accepted versions"
    else:
        lagging = sum(len(relay.lagging) for relay in last.relays)
        behind = [item.relay for item in last.relays if item.in_force < target]
        where = f"; below it: {', '.join(behind)}" if behind else ""
        message = (
            f"version {target} is not in force everywhere yet "
            f"({lagging} known to lag{where})"
        )
        step = "`peppershore status` shows who lags and why; watch again for longer"
    return Failed(
        code=ExitCode.NOT_IN_FORCE,
        kind="not_in_force",
        message=message,
        next_step=step,
    )
