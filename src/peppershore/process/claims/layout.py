"""Assignment of idempotency keys to claims groups, also while the groups change.

Rendezvous hashing assigns each key to the group whose name has the highest weight for it,
so that adding a group moves only the keys that it takes over.

While nodes change from a previous set of groups to a new one, a key is claimed in its
group of both sets, that of the previous set first. Two nodes that are one step of the
change apart share one of the sets, and so exclude each other in it.
"""

from __future__ import annotations

from peppershore.process.rendezvous import weight
from peppershore.process.settings import ClaimsGroup, NodeSettings

ONLY_GROUP = "claims"
"""Name of the single group that the setting ``claims`` defines. The same group has this
name in the setting ``claims_groups``."""


class ClaimsLayout:
    """The claims groups in use, and during a change the previous ones."""

    def __init__(
        self, groups: tuple[ClaimsGroup, ...], previous: tuple[ClaimsGroup, ...] = ()
    ) -> None:
        """Store both sets; ``previous`` is empty unless the groups are being changed."""
        assert groups, "a layout has at least one group"
        self._names = tuple(group.name for group in groups)
        self._previous = tuple(group.name for group in previous)
        self.groups = {group.name: group for group in (*previous, *groups)}

    def groups_of(self, key: str) -> tuple[str, ...]:
        """Return the names of the groups in which to claim ``key``, in this order."""
        current = _heaviest(key, self._names)
        if not self._previous:
            return (current,)
        previous = _heaviest(key, self._previous)
        return (current,) if previous == current else (previous, current)


def layout_of(settings: NodeSettings) -> ClaimsLayout | None:
    """Return the layout in a node's settings, or None if no claims group is set."""
    if settings.claims:
        return ClaimsLayout((ClaimsGroup(name=ONLY_GROUP, replicas=settings.claims),))
    if settings.claims_groups:
        return ClaimsLayout(settings.claims_groups, settings.previous_claims_groups)
    return None


def _heaviest(key: str, names: tuple[str, ...]) -> str:
    return max(names, key=lambda name: (weight(key, name), name))
