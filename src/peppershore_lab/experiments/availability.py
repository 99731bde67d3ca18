"""When each proxy could have been reached by a change, by the marks of the faults.

A proxy can be reached while it runs and has an uncut path over a running relay
to a control replica that is one of a connected majority.  Only that time counts
against the bound of convergence; how fast a path is found again counts too.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from peppershore_lab.experiments.marks import FaultMark, Span, merged_spans
from peppershore_lab.links.model import link_name

DOWN_ACTIONS = ("kill", "freeze", "stop", "replace", "damage-file")
DISK_ACTIONS = ("full-disk",)


class Roles(msgspec.Struct, frozen=True):
    """Names of the processes that configuration passes through."""

    replicas: tuple[str, ...]
    relays: tuple[str, ...]
    proxies: tuple[str, ...]


class _State(msgspec.Struct, frozen=True):
    """What is down and cut in one stretch of time."""

    down: frozenset[str]
    cut: frozenset[str]

    def joined(self, source: str, target: str) -> bool:
        return link_name(source, target) not in self.cut


class Availability:
    """Unreachable spans of every proxy of one run."""

    def __init__(self, roles: Roles, marks: Sequence[FaultMark], run: Span) -> None:
        """Work the spans out; ``run`` is the whole time of the run."""
        self._roles = roles
        self._spans: dict[str, list[Span]] = {name: [] for name in roles.proxies}
        for span in _stretches(marks, run):
            served = self._served(_state_in(span, marks, run))
            for name in roles.proxies:
                if name not in served:
                    self._spans[name].append(span)
        self._spans = {name: merged_spans(each) for name, each in self._spans.items()}

    def unreachable(self, proxy: str) -> list[Span]:
        """Give the spans in which no change could reach a proxy."""
        return self._spans[proxy]

    def clock_start(self, proxy: str, accepted: float, held: float) -> float:
        """Give when the bound for this change began.

        That is acceptance, or the last moment up to ``held`` at which the proxy
        could be reached again.  A span ends when readiness is seen, which may be
        just after a proxy that came back held the change: then it waited for
        nothing but its own return.
        """
        ends = [
            min(span.ended, held)
            for span in self._spans[proxy]
            if span.ended > accepted and span.began < held
        ]
        return max([accepted, *ends])

    def _served(self, state: _State) -> set[str]:
        replicas = self._majority(state)
        relays = [
            relay
            for relay in self._roles.relays
            if relay not in state.down
            and any(state.joined(relay, replica) for replica in replicas)
        ]
        return {
            proxy
            for proxy in self._roles.proxies
            if proxy not in state.down
            and any(state.joined(proxy, relay) for relay in relays)
        }

    def _majority(self, state: _State) -> list[str]:
        """Give the replicas that reach a majority, themselves included, both ways."""
        alive = [name for name in self._roles.replicas if name not in state.down]
        needed = len(self._roles.replicas) // 2 + 1

        def peers(name: str) -> int:
            return sum(
                1
                for other in alive
                if other == name
                or (state.joined(name, other) and state.joined(other, name))
            )

        return [name for name in alive if peers(name) >= needed]


def _stretches(marks: Iterable[FaultMark], run: Span) -> list[Span]:
    moments = {run.began, run.ended}
    for mark in marks:
        moments.add(mark.began)
        if mark.ended is not None:
            moments.add(mark.ended)
    inside = sorted(moment for moment in moments if run.began <= moment <= run.ended)
    return [Span(*pair) for pair in zip(inside, inside[1:], strict=False)]


def _state_in(span: Span, marks: Iterable[FaultMark], run: Span) -> _State:
    down: set[str] = set()
    cut: set[str] = set()
    for mark in marks:
        ended = run.ended if mark.ended is None else mark.ended
        if not (mark.began <= span.began and span.ended <= ended):
            continue
        if mark.action in DOWN_ACTIONS or mark.action in DISK_ACTIONS:
            down.update(mark.targets)
        elif mark.action == "cut":
            cut.update(mark.targets)
    return _State(frozenset(down), frozenset(cut))
