"""Which claims group keeps which key, also while the groups are being changed.

Rendezvous hashing: each key goes to the group whose name gives it the highest
weight, so that adding a group moves only the keys that become its own.

While nodes change from one set of groups to another, a key is claimed in its
group of both sets, the one that is left first.  Two nodes that are one step apart
share a set, and so exclude each other in it.
"""

from __future__ import annotations

from peppershore.process.rendezvous import weight
from peppershore.process.settings import ClaimsGroup, NodeSettings

ONLY_GROUP = "claims"
"""Name of the group under the setting ``claims``, as ``claims_groups`` knows it."""


class ClaimsLayout:
    """The groups in use, and those that are being left."""

    def __init__(
        self, groups: tuple[ClaimsGroup, ...], previous: tuple[ClaimsGroup, ...] = ()
    ) -> None:
        """Know both sets; ``previous`` is empty but while groups are changed."""
        assert groups, "a layout has at least one group"
        self._names = tuple(group.name for group in groups)
        self._previous = tuple(group.name for group in previous)
        self.groups = {group.name: group for group in (*previous, *groups)}

    def groups_of(self, key: str) -> tuple[str, ...]:
        """Give the names of the groups in which ``key`` is claimed, in order."""
        current = _heaviest(key, self._names)
        if not self._previous:
            return (current,)
        left = _heaviest(key, self._previous)
        return (current,) if left == current else (left, current)


def layout_of(settings: NodeSettings) -> ClaimsLayout | None:
    """Give the layout that a node's settings name; None without claims."""
    if settings.claims:
        return ClaimsLayout((ClaimsGroup(name=ONLY_GROUP, replicas=settings.claims),))
    if settings.claims_groups:
        return ClaimsLayout(settings.claims_groups, settings.previous_claims_groups)
    return None


def _heaviest(key: str, names: tuple[str, ...]) -> str:
    return max(names, key=lambda name: (weight(key, name), name))
