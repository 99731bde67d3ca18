"""How long a change took to be in force on every proxy, by the processes' logs.

Acceptance is the leader's log line for the accepted edit; a proxy holds the
change from its own log line on.  Both clocks are this machine's.  Proxies whose
content a change leaves alone are sent nothing for it and aren't waited for.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterable
from pathlib import Path

import msgspec

from peppershore.process.control.notices import EditAccepted
from peppershore.process.logging import event_name
from peppershore.process.node.notices import VersionApplied, VersionRestored
from peppershore.version.model import Digest, Version
from peppershore_lab.log_reader import LogLine, read_log

ACCEPTED_EVENT = event_name(EditAccepted)
HELD_EVENTS = (event_name(VersionApplied), event_name(VersionRestored))
MILLISECONDS = 1_000


class Convergence(msgspec.Struct, frozen=True):
    """Milliseconds from acceptance until each proxy that needs a version held it.

    ``proxies`` counts those that need it; ``missing`` names those that never did.
    """

    version: Version
    proxies: int
    missing: tuple[str, ...]
    p50_milliseconds: float
    p99_milliseconds: float
    max_milliseconds: float
    by_proxy: dict[str, float]


class VersionHeld(msgspec.Struct, frozen=True):
    """From this moment on, a proxy held this version.

    ``digest`` is what the proxy says of its content; None after a restart.
    """

    proxy: str
    unix_seconds: float
    version: Version
    digest: Digest | None = None


def versions_held(logs: Path, proxies: Iterable[str]) -> list[VersionHeld]:
    """Give every version each proxy took, in the order of its log."""
    return [
        VersionHeld(
            proxy,
            line.unix_seconds,
            int(line.fields["version"]),
            line.fields.get("digest"),
        )
        for proxy in proxies
        for line in read_log(logs / f"{proxy}.log")
        if line.event in HELD_EVENTS
    ]


def accepted_at(logs: Path, replicas: Iterable[str], version: Version) -> float | None:
    """Give the Unix time at which a version was first accepted by a replica."""
    moments = [
        line.unix_seconds
        for replica in replicas
        for line in read_log(logs / f"{replica}.log")
        if _accepts(line, version)
    ]
    return min(moments) if moments else None


def _accepts(line: LogLine, version: Version) -> bool:
    return line.event == ACCEPTED_EVENT and line.fields.get("version") == version


def convergence(
    version: Version, accepted: float, proxies: Iterable[str], held: Iterable[VersionHeld]
) -> Convergence:
    """Give the times from acceptance until each proxy held at least ``version``.

    ``proxies`` are those that need it; what others hold isn't counted.
    """
    names = list(proxies)
    reached: dict[str, float] = {}
    for moment in held:
        is_first = moment.proxy in names and moment.proxy not in reached
        if is_first and moment.version >= version:
            reached[moment.proxy] = max(0.0, moment.unix_seconds - accepted) * MILLISECONDS
    times = sorted(reached.values())
    return Convergence(
        version=version,
        proxies=len(names),
        missing=tuple(name for name in names if name not in reached),
        p50_milliseconds=statistics.median(times) if times else 0.0,
        p99_milliseconds=percentile(times, 99),
        max_milliseconds=times[-1] if times else 0.0,
        by_proxy=dict(sorted(reached.items())),
    )


def percentile(ordered: list[float], percent: float) -> float:
    """Give the nearest-rank percentile of an ascending list; 0 for an empty one."""
    if not ordered:
        return 0.0
    rank = max(1, -(-len(ordered) * percent // 100))
    return ordered[int(rank) - 1]


def steps_back(held: Iterable[VersionHeld]) -> list[str]:
    """Give a line for each time a proxy took a version below one it had held."""
    highest: dict[str, Version] = {}
    found: list[str] = []
    for moment in held:
        before = highest.get(moment.proxy, 0)
        if moment.version < before:
            found.append(f"{moment.proxy}: {moment.version} after {before}")
        highest[moment.proxy] = max(before, moment.version)
    return found
