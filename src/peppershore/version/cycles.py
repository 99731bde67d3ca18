"""Cycles in the graph of services: strongly connected components."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

Graph = Mapping[str, frozenset[str]]


def find_cycles(graph: Graph) -> list[tuple[str, ...]]:
    """Return each group of services that can reach each other, members sorted.

    A service that refers to itself is a group of one. References to services that
    the graph does not have are ignored. Services that refer to no remaining service
    are removed repeatedly; the rest is split into components.
    """
    remaining = _remove_leaves(graph)
    if not remaining:
        return []
    return _components(remaining)


def _remove_leaves(graph: Graph) -> dict[str, set[str]]:
    """Remove services without outgoing edges until each remaining one has some.

    A service that is removed can't be on a cycle.
    """
    forward = {
        name: {other for other in others if other in graph}
        for name, others in graph.items()
    }
    callers: dict[str, list[str]] = {name: [] for name in forward}
    for name, others in forward.items():
        for other in others:
            callers[other].append(name)
    leaves = [name for name, others in forward.items() if not others]
    while leaves:
        leaf = leaves.pop()
        del forward[leaf]
        for caller in callers[leaf]:
            forward[caller].discard(leaf)
            if not forward[caller]:
                leaves.append(caller)
    return forward


def _components(graph: dict[str, set[str]]) -> list[tuple[str, ...]]:
    """Return the groups of services that can reach each other, sorted."""
    reachable = {name: frozenset(_reachable_from(graph, name)) for name in graph}
    grouped: set[str] = set()
    components = []
    for name in sorted(graph):
        if name in grouped or name not in reachable[name]:
            continue
        members = tuple(
            sorted(other for other in reachable[name] if name in reachable[other])
        )
        grouped.update(members)
        components.append(members)
    return components


def _reachable_from(graph: dict[str, set[str]], start: str) -> Iterator[str]:
    """Yield every service that can be reached from ``start`` in one step or more."""
    seen: set[str] = set()
    waiting = [start]
    while waiting:
        for other in graph[waiting.pop()]:
            if other not in seen:
                seen.add(other)
                waiting.append(other)
                yield other
