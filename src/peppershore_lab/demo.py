"""``peppershore-lab demo``: a small Refund Network, one edit, calls and their audit.

An operator's edit of a route's ``target`` moves the calls of one route from
the service statusdesk to the service kuitti, while callers keep calling.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from pathlib import Path

import msgspec

from peppershore.version.model import Version
from peppershore_lab.audit import AuditReport, audit_folder
from peppershore_lab.calls.caller import CallerSummary
from peppershore_lab.calls.latency import LatencySummary, merged
from peppershore_lab.calls.plan import CallerPlan, RatePoint
from peppershore_lab.convergence import (
    Convergence,
    accepted_at,
    convergence,
    steps_back,
    versions_held,
)
from peppershore_lab.fleet.bring_up import start_serving, wait_in_force
from peppershore_lab.fleet.deployment import (
    REFUND_NETWORK,
    Deployment,
    ZoneSpec,
    call_kinds,
)
from peppershore_lab.fleet.fleet import Fleet
from peppershore_lab.fleet.managed_process import ManagedProcess
from peppershore_lab.journal import read_calls
from peppershore_lab.operator_client import Operator, control_bytes
from peppershore_lab.reference import (
    HistoryIncomplete,
    Reference,
    needed_by,
    read_reference,
)

MOVED_KIND = "statusdesk/status"
MOVED_PATH = "/statusdesk/*/status"
OLD_SERVICE = "statusdesk"
NEW_SERVICE = "kuitti"
CALLS_PER_SECOND_PER_ZONE = 60.0
CALL_SECONDS = 12.0
EDIT_AFTER_SECONDS = 4.0
IN_FORCE_SECONDS = 10.0
CALLER_GRACE_SECONDS = 20.0
LOG_RESOLUTION_SECONDS = 0.001

Progress = Callable[[str], None]


class DemoResult(msgspec.Struct, frozen=True):
    """All that the demo measured; ``clean`` is its verdict."""

    clean: bool
    problems: tuple[str, ...]
    processes: int
    bring_up_seconds: float
    version: Version
    convergence: Convergence
    control_bytes: int
    moved_calls_before: dict[str, int]
    moved_calls_after: dict[str, int]
    latency: LatencySummary
    audit: AuditReport


SMALL_NETWORK = msgspec.structs.replace(
    REFUND_NETWORK,
    zones=(ZoneSpec(name="vantaa-t2", region="uusimaa"),),
    services=tuple(
        msgspec.structs.replace(service, upstreams=1)
        for service in REFUND_NETWORK.services
        if service.name in (OLD_SERVICE, NEW_SERVICE)
    ),
    replicas=1,
    claims_replicas=1,
)
"""One control and one claims replica, one relay, two back ends with their nodes, one
edge node."""


async def run_demo(deployment: Deployment, progress: Progress) -> DemoResult:
    """Bring the fleet up, make the edit while calls run, and audit the journals."""
    async with Fleet(deployment) as fleet:
        operator = Operator(fleet.replica_addresses)
        progress(f"starting {_process_count(fleet)} processes")
        up = await start_serving(fleet, operator)
        progress(f"every node serves calls after {up.seconds:.1f} s")
        callers = [fleet.start_caller(plan) for plan in caller_plans(fleet)]
        await asyncio.sleep(EDIT_AFTER_SECONDS)
        await wait_in_force(fleet, operator, up.version)
        progress(f"version {up.version} in force everywhere")
        edit = await make_edit(operator, fleet, progress)
        await wait_for_callers(callers)
        progress("calls ended; auditing the journals")
        layout = fleet.layout
        reference = await read_reference(
            deployment.cluster, fleet.replica_addresses, layout.proxies
        )
        return _judge(fleet, up.seconds, edit, reference)


class EditMade(msgspec.Struct, frozen=True):
    """The operator's edit and what it cost."""

    version: Version
    control_bytes: int
    problem: str = ""


def caller_plans(fleet: Fleet) -> list[CallerPlan]:
    """Give one caller for each edge node; each calls every route."""
    kinds = tuple(
        msgspec.structs.replace(kind, service="") if kind.name == MOVED_KIND else kind
        for kind in call_kinds(fleet.layout.deployment)
    )
    return [
        CallerPlan(
            caller=f"caller-{number}",
            nodes=(edge.http_address,),
            kinds=kinds,
            rate=(RatePoint(at_seconds=0, calls_per_second=CALLS_PER_SECOND_PER_ZONE),),
            duration_seconds=CALL_SECONDS,
            seed=fleet.seed + number,
            journal=str(fleet.journal_path(f"caller-{number}")),
            summary=str(fleet.folder / f"caller-{number}.json"),
        )
        for number, edge in enumerate(fleet.layout.edges, start=1)
    ]


async def make_edit(operator: Operator, fleet: Fleet, progress: Progress) -> EditMade:
    """Move the route by the command line and wait until that is in force."""
    before = await operator.status()
    bytes_before = control_bytes(before.unwrap())
    result = await operator.run("tree", "set", MOVED_PATH, f"target={NEW_SERVICE}")
    if result.exit_code != 0:
        return EditMade(0, 0, f"the edit ended with {result.exit_code}: {result.error}")
    version = int(result.output["accepted"]["version"])
    progress(f"edit accepted as version {version}")
    relays = len(fleet.layout.relays)
    status = await operator.wait_in_force(version, relays, IN_FORCE_SECONDS)
    if status is None:
        return EditMade(version, 0, f"version {version} was not in force in time")
    progress(f"version {version} in force on every proxy")
    return EditMade(version, control_bytes(status) - bytes_before)


async def wait_for_callers(callers: list[ManagedProcess]) -> None:
    """Wait until all callers have ended by themselves, within a bound."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(CALL_SECONDS + CALLER_GRACE_SECONDS):
            await asyncio.gather(*(caller.ended() for caller in callers))


def _process_count(fleet: Fleet) -> int:
    layout = fleet.layout
    members = (
        layout.replicas,
        layout.claims,
        layout.relays,
        layout.backends,
        layout.proxies,
        layout.edges,
    )
    return sum(len(group) for group in members)


def _judge(
    fleet: Fleet,
    bring_up_seconds: float,
    edit: EditMade,
    reference: Reference | HistoryIncomplete,
) -> DemoResult:
    logs = fleet.folder / "logs"
    held = versions_held(logs, [member.name for member in fleet.layout.proxies])
    proxies = _proxies_to_change(fleet, edit, reference)
    replicas = [member.name for member in fleet.layout.replicas]
    accepted = accepted_at(logs, replicas, edit.version)
    reached = convergence(edit.version, accepted or 0.0, proxies, held)
    in_force = (accepted or 0.0) + reached.max_milliseconds / 1_000 + LOG_RESOLUTION_SECONDS
    before, after = _moved_calls(fleet, accepted or 0.0, in_force)
    report = audit_folder(fleet.folder / "journals")
    problems = _problems(edit, accepted, reached, steps_back(held), after)
    if isinstance(reference, HistoryIncomplete):
        problems.append(f"the history could not be read: {reference.reason}")
    return DemoResult(
        clean=report.clean and not problems,
        problems=tuple(problems),
        processes=_process_count(fleet),
        bring_up_seconds=bring_up_seconds,
        version=edit.version,
        convergence=reached,
        control_bytes=edit.control_bytes,
        moved_calls_before=before,
        moved_calls_after=after,
        latency=_latency(fleet),
        audit=report,
    )


def _proxies_to_change(
    fleet: Fleet, edit: EditMade, reference: Reference | HistoryIncomplete
) -> tuple[str, ...]:
    if isinstance(reference, HistoryIncomplete):
        return tuple(member.name for member in fleet.layout.proxies)
    return needed_by(reference, edit.version, fleet.layout.proxies)


def _problems(
    edit: EditMade,
    accepted: float | None,
    reached: Convergence,
    back: list[str],
    after: dict[str, int],
) -> list[str]:
    problems = [f"a proxy went back: {line}" for line in back]
    if edit.problem:
        problems.append(edit.problem)
    if accepted is None:
        problems.append("no replica logged the acceptance of the edit")
    if not reached.proxies:
        problems.append("the edit changed no proxy")
    problems += [f"{name} never held version {edit.version}" for name in reached.missing]
    if after.get(OLD_SERVICE):
        problems.append(f"{after[OLD_SERVICE]} calls went to the old service afterwards")
    if not after.get(NEW_SERVICE):
        problems.append("no call reached the new service")
    return problems


def _moved_calls(
    fleet: Fleet, accepted: float, in_force: float
) -> tuple[dict[str, int], dict[str, int]]:
    """Count the moved route's answers by service, before and after the edit."""
    before: dict[str, int] = {}
    after: dict[str, int] = {}
    for call in read_calls(fleet.folder / "journals"):
        if call.kind != MOVED_KIND or not call.service:
            continue
        if call.ended_unix_seconds < accepted:
            before[call.service] = before.get(call.service, 0) + 1
        elif call.sent_unix_seconds > in_force:
            after[call.service] = after.get(call.service, 0) + 1
    return before, after


def _latency(fleet: Fleet) -> LatencySummary:
    summaries: list[LatencySummary] = []
    for path in sorted(Path(fleet.folder).glob("caller-*.json")):
        summary = msgspec.json.decode(path.read_bytes(), type=CallerSummary)
        summaries.append(summary.latency)
    return merged(summaries)
