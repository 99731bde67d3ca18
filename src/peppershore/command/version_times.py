"""When versions came into use, worked out from the lines of hubs and nodes of a time.

A version counts from the moment at which its operator was told that it is taken (by the
line of the replica that answered), else from its acceptance, until each node that ran all
the while uses it or a later one.  What a node waited for is split into three parts, so
that a relay that is behind, a node without a relay and a slow way between them can be told
apart.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable

import msgspec

from peppershore.command.log_files import LogLine

STARTING = "process_starting"
ACCEPTED = "edit_accepted"
JUDGED = "release_judged"
TAKEN = "taken"
NODE_ROLE = "node"
RELAY_EVENTS = frozenset(("tree_advanced", "tree_loaded"))

RELAY_BEHIND = "relay behind"
NO_RELAY = "without relay"
ON_THE_WAY = "on the way"

HALF = 0.5
NEARLY_ALL = 0.99


class NodeWait(msgspec.Struct, frozen=True):
    """How long one node waited for a version, and for what; times in milliseconds.

    ``relay_behind`` is the time in which the relay in use at that moment lacked the
    version, ``without_relay`` that in which there was none, ``on_the_way`` what is left:
    the link and the node itself.  ``relay`` is the one in use at the end.  ``used`` is
    false for a node that wrote lines past the bound and did not use the version by its
    last one.
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
        """The longest part of the wait."""
        parts = {
            RELAY_BEHIND: self.relay_behind,
            NO_RELAY: self.without_relay,
            ON_THE_WAY: self.on_the_way,
        }
        return max(parts, key=lambda part: parts[part])


class VersionWaits(msgspec.Struct, frozen=True):
    """One version: Unix milliseconds of its acknowledgement, and the waits of its nodes.

    ``late`` are the waits beyond the bound, the longest first; ``last`` is the longest.
    """

    version: int
    acknowledged_at: int
    nodes: int
    half_milliseconds: int
    nearly_all_milliseconds: int
    last: NodeWait
    late: tuple[NodeWait, ...]


class _Life:
    """One life of a node's process: versions used and relays, by time."""

    def __init__(self, node: str, begun_at: int) -> None:
        self.node = node
        self.begun_at = begun_at
        self.last_line_at = begun_at
        self.used: list[tuple[int, int]] = []
        self.relays: list[tuple[int, str]] = []

    def used_at(self, version: int) -> int | None:
        """Give when this version or a later one was used first."""
        for at, used in self.used:
            if used >= version:
                return at
        return None

    def uses(self, relay: object) -> bool:
        """Tell whether this relay is the one in use by the lines so far."""
        return bool(self.relays) and self.relays[-1][1] == relay

    def relays_between(self, begin: int, end: int) -> list[tuple[int, int, str]]:
        """Give the relays in use one after the other: from, until, name ("": none)."""
        before = [relay for at, relay in self.relays if at <= begin]
        changes = [(begin, before[-1] if before else "")]
        changes += [change for change in self.relays if begin < change[0] < end]
        ends = [at for at, _ in changes[1:]] + [end]
        return [
            (at, until, relay) for (at, relay), until in zip(changes, ends, strict=True)
        ]


class _Story:
    """What the lines tell of all processes."""

    def __init__(self) -> None:
        self.accepted: dict[int, tuple[int, str]] = {}
        self.taken: dict[str, int] = {}
        self.lives: list[_Life] = []
        self.reached: defaultdict[str, list[tuple[int, int]]] = defaultdict(list)
        self._current: dict[str, _Life] = {}

    def take(self, line: LogLine) -> None:
        """Note one line; lines come by time."""
        fields = line.fields
        if line.role == NODE_ROLE:
            self._take_node(line)
        elif line.event == ACCEPTED:
            version = _number(fields.get("version"))
            self.accepted.setdefault(version, (line.time, str(fields.get("change_id"))))
        elif line.event == JUDGED and line.outcome == TAKEN:
            self.taken.setdefault(str(fields.get("change_id")), line.time)
        elif line.event in RELAY_EVENTS:
            version = _number(fields.get("version"))
            self.reached[line.process].append((version, line.time))

    def acknowledged(self) -> dict[int, int]:
        """Give when each version was acknowledged, or accepted where nobody was told."""
        return {
            version: self.taken.get(change_id, at)
            for version, (at, change_id) in self.accepted.items()
        }

    def relay_reached(self, relay: str, version: int, since: int) -> int | None:
        """Give when a relay had a version: itself, or the process that is its host's."""
        for name in (relay, relay.rpartition(":")[0]):
            for reached, at in self.reached.get(name, ()):
                if reached >= version and at >= since:
                    return at
                if reached >= version:
                    return since
        return None

    def _take_node(self, line: LogLine) -> None:
        if line.event == STARTING or line.process not in self._current:
            self._current[line.process] = _Life(line.process, line.time)
            self.lives.append(self._current[line.process])
        life = self._current[line.process]
        life.last_line_at = line.time
        if line.event == "version_applied":
            life.used.append((line.time, _number(line.fields.get("version"))))
        elif line.event == "relay_chosen":
            life.relays.append((line.time, str(line.fields.get("relay"))))
        elif line.event == "relay_left" and life.uses(line.fields.get("relay")):
            life.relays.append((line.time, ""))


def version_times(
    lines: Iterable[LogLine], bound_milliseconds: int
) -> tuple[VersionWaits, ...]:
    """Give every version that nodes waited for, oldest first."""
    story = _Story()
    for line in lines:
        story.take(line)
    found: list[VersionWaits] = []
    for version, acknowledged_at in sorted(story.acknowledged().items()):
        waits = _waits(story, version, acknowledged_at, bound_milliseconds)
        if waits:
            found.append(_summary(version, acknowledged_at, waits, bound_milliseconds))
    return tuple(found)


def _waits(story: _Story, version: int, since: int, bound: int) -> list[NodeWait]:
    """Give the waits of the nodes that ran from the acknowledgement past the bound."""
    waits: list[NodeWait] = []
    for life in story.lives:
        if life.begun_at > since or not life.used or life.used[0][0] > since:
            continue
        used_at = life.used_at(version)
        if used_at is None and life.last_line_at < since + bound:
            continue
        waits.append(_wait(story, life, version, since))
    return waits


def _wait(story: _Story, life: _Life, version: int, since: int) -> NodeWait:
    used_at = life.used_at(version)
    end = max(since, life.last_line_at if used_at is None else used_at)
    behind, without, on_the_way = 0, 0, 0
    relay = ""
    for begin, until, relay in life.relays_between(since, end):
        if not relay:
            without += until - begin
            continue
        reached = story.relay_reached(relay, version, since)
        had_at = until if reached is None else min(max(reached, begin), until)
        behind += had_at - begin
        on_the_way += until - had_at
    return NodeWait(
        node=life.node,
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
        half_milliseconds=_quantile(durations, HALF),
        nearly_all_milliseconds=_quantile(durations, NEARLY_ALL),
        last=ordered[-1],
        late=tuple(reversed(late)),
    )


def _quantile(ordered: list[int], part: float) -> int:
    """Give the least duration within which this part of all waits ended."""
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def _number(value: object) -> int:
    return value if isinstance(value, int) else 0
