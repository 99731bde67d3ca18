"""Time until nodes use a version, derived from the log lines of hubs and nodes.

The wait for a version starts when its operator received the acknowledgement (by the log
line of the replica that answered), else at its acceptance. It ends when a node uses this
version or a later one; only nodes that ran throughout count. Each wait is split into three
parts: the relay lacked the version, the node had no relay, and the path between relay and
node.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable

import msgspec

from peppershore.command.log_files import LogLine

PROCESS_STARTING = "process_starting"
EDIT_ACCEPTED = "edit_accepted"
RELEASE_DECIDED = "release_judged"
RELEASE_ACCEPTED = "taken"
NODE_ROLE = "node"
RELAY_EVENTS = frozenset(("tree_advanced", "tree_loaded"))

RELAY_BEHIND = "relay behind"
NO_RELAY = "without relay"
IN_TRANSIT = "on the way"

MEDIAN = 0.5
PERCENTILE_99 = 0.99


class NodeWait(msgspec.Struct, frozen=True):
    """Wait of one node for a version, and its parts, in milliseconds.

    ``relay_behind`` is the time in which the node's current relay lacked the version,
    ``without_relay`` the time without a relay, and ``on_the_way`` the rest, spent on the
    link and in the node itself. ``relay`` is the relay in use at the end. ``used`` is
    false for a node that logged lines past the bound and did not use the version by its
    last line.
    """

    node: str
    relay: str
    milliseconds: int
    used: bool
    relay_behind: int
    without_relay: int
    on_the_way: int

    @property
    def cause(self) -> str:
        """Name of the longest part of the wait."""
        parts = {
            RELAY_BEHIND: self.relay_behind,
            NO_RELAY: self.without_relay,
            IN_TRANSIT: self.on_the_way,
        }
        return max(parts, key=lambda part: parts[part])


class VersionWaits(msgspec.Struct, frozen=True):
    """Waits of the nodes for one version.

    ``acknowledged_at`` is Unix milliseconds. ``half_milliseconds`` and
    ``nearly_all_milliseconds`` are the 50th and 99th percentile of the waits. ``late`` are
    the waits beyond the bound, longest first; ``last`` is the longest wait.
    """

    version: int
    acknowledged_at: int
    nodes: int
    half_milliseconds: int
    nearly_all_milliseconds: int
    last: NodeWait
    late: tuple[NodeWait, ...]


class _Incarnation:
    """One run of a node's process: versions and relays that it used, by time."""

    def __init__(self, node: str, started_at: int) -> None:
        self.node = node
        self.started_at = started_at
        self.last_line_at = started_at
        self.used: list[tuple[int, int]] = []
        self.relays: list[tuple[int, str]] = []

    def used_at(self, version: int) -> int | None:
        """Return when this version or a later one was first used, None if never."""
        for at, used in self.used:
            if used >= version:
                return at
        return None

    def uses(self, relay: object) -> bool:
        """Return whether this relay is in use according to the lines so far."""
        return bool(self.relays) and self.relays[-1][1] == relay

    def relays_between(self, begin: int, end: int) -> list[tuple[int, int, str]]:
        """Return the relays used in turn, as (from, until, name); "" for no relay."""
        before = [relay for at, relay in self.relays if at <= begin]
        changes = [(begin, before[-1] if before else "")]
        changes += [change for change in self.relays if begin < change[0] < end]
        ends = [at for at, _ in changes[1:]] + [end]
        return [
            (at, until, relay) for (at, relay), until in zip(changes, ends, strict=True)
        ]


class _Timeline:
    """Events of all processes, collected from their log lines."""

    def __init__(self) -> None:
        self.accepted: dict[int, tuple[int, str]] = {}
        self.release_accepted: dict[str, int] = {}
        self.incarnations: list[_Incarnation] = []
        self.reached: defaultdict[str, list[tuple[int, int]]] = defaultdict(list)
        self._current: dict[str, _Incarnation] = {}

    def add_line(self, line: LogLine) -> None:
        """Record one line; lines must be added in order of time."""
        fields = line.fields
        if line.role == NODE_ROLE:
            self._add_node_line(line)
        elif line.event == EDIT_ACCEPTED:
            version = _number(fields.get("version"))
            self.accepted.setdefault(version, (line.time, str(fields.get("change_id"))))
        elif line.event == RELEASE_DECIDED and line.outcome == RELEASE_ACCEPTED:
            self.release_accepted.setdefault(str(fields.get("change_id")), line.time)
        elif line.event in RELAY_EVENTS:
            version = _number(fields.get("version"))
            self.reached[line.process].append((version, line.time))

    def acknowledged(self) -> dict[int, int]:
        """Return when each version was acknowledged, else when it was accepted."""
        return {
            version: self.release_accepted.get(change_id, at)
            for version, (at, change_id) in self.accepted.items()
        }

    def relay_reached(self, relay: str, version: int, since: int) -> int | None:
        """Return when a relay reached a version, not before ``since``; None if never.

        A relay without lines of its own is looked up by the process of its host.
        """
        for name in (relay, relay.rpartition(":")[0]):
            for reached, at in self.reached.get(name, ()):
                if reached >= version and at >= since:
                    return at
                if reached >= version:
                    return since
        return None

    def _add_node_line(self, line: LogLine) -> None:
        if line.event == PROCESS_STARTING or line.process not in self._current:
            self._current[line.process] = _Incarnation(line.process, line.time)
            self.incarnations.append(self._current[line.process])
        incarnation = self._current[line.process]
        incarnation.last_line_at = line.time
        if line.event == "version_applied":
            incarnation.used.append((line.time, _number(line.fields.get("version"))))
        elif line.event == "relay_chosen":
            incarnation.relays.append((line.time, str(line.fields.get("relay"))))
        elif line.event == "relay_left" and incarnation.uses(line.fields.get("relay")):
            incarnation.relays.append((line.time, ""))


def version_times(
    lines: Iterable[LogLine], bound_milliseconds: int
) -> tuple[VersionWaits, ...]:
    """Return the waits for every version that nodes waited for, oldest first."""
    timeline = _Timeline()
    for line in lines:
        timeline.add_line(line)
    found: list[VersionWaits] = []
    for version, acknowledged_at in sorted(timeline.acknowledged().items()):
        waits = _waits(timeline, version, acknowledged_at, bound_milliseconds)
        if waits:
            found.append(_summary(version, acknowledged_at, waits, bound_milliseconds))
    return tuple(found)


def _waits(timeline: _Timeline, version: int, since: int, bound: int) -> list[NodeWait]:
    """Return the waits of the nodes that used some version at the acknowledgement.

    A node that logged nothing past the bound counts only if it used the version.
    """
    waits: list[NodeWait] = []
    for incarnation in timeline.incarnations:
        if (
            incarnation.started_at > since
            or not incarnation.used
            or incarnation.used[0][0] > since
        ):
            continue
        used_at = incarnation.used_at(version)
        if used_at is None and incarnation.last_line_at < since + bound:
            continue
        waits.append(_wait(timeline, incarnation, version, since))
    return waits


def _wait(
    timeline: _Timeline, incarnation: _Incarnation, version: int, since: int
) -> NodeWait:
    used_at = incarnation.used_at(version)
    end = max(since, incarnation.last_line_at if used_at is None else used_at)
    behind, without, on_the_way = 0, 0, 0
    relay = ""
    for begin, until, relay in incarnation.relays_between(since, end):
        if not relay:
            without += until - begin
            continue
        reached = timeline.relay_reached(relay, version, since)
        had_at = until if reached is None else min(max(reached, begin), until)
        behind += had_at - begin
        on_the_way += until - had_at
    return NodeWait(
        node=incarnation.node,
        relay=relay,
        milliseconds=end - since,
        used=used_at is not None,
        relay_behind=behind,
        without_relay=without,
        on_the_way=on_the_way,
    )


def _summary(
    version: int, acknowledged_at: int, waits: list[NodeWait], bound: int
) -> VersionWaits:
    ordered = sorted(waits, key=lambda wait: wait.milliseconds)
    durations = [wait.milliseconds for wait in ordered]
    late = ordered[bisect_left(durations, bound + 1) :]
    return VersionWaits(
        version=version,
        acknowledged_at=acknowledged_at,
        nodes=len(ordered),
        half_milliseconds=_quantile(durations, MEDIAN),
        nearly_all_milliseconds=_quantile(durations, PERCENTILE_99),
        last=ordered[-1],
        late=tuple(reversed(late)),
    )


def _quantile(ordered: list[int], part: float) -> int:
    """Return the shortest duration within which this fraction of all waits ended."""
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def _number(value: object) -> int:
    return value if isinstance(value, int) else 0
