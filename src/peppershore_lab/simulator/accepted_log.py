"""What was accepted, as seen from outside: the reference for all checks.

The first replica that applies a version decides what it is; all others must
apply the same edit there.  Every edit is applied again to an own tree, with its
expected revisions checked, and an own catalog tells what each scope must hold.
"""

from __future__ import annotations

from bisect import bisect_right

from returns.result import Failure

from peppershore.version.catalog import ScopeCatalog
from peppershore.version.model import Digest, Edit, EditAccepted, Scope, Tree, Version
from peppershore.version.tree import apply_edit, empty_tree
from peppershore_lab.simulator.violations import require

AGREEMENT = "all replicas accept the same edits in the same order"
APPLIED_ONCE = "a change id is applied at most once"
EXPECTATION_MET = "an accepted edit met its expected revision and gave a valid tree"
NEVER_LOST = "an edit answered as accepted is never lost or moved"


class AcceptedLog:
    """Accepted edits by version, and what they make of each scope."""

    def __init__(self, cluster: str, scopes: tuple[Scope, ...]) -> None:
        """Begin with the empty tree."""
        self.tree: Tree = empty_tree(cluster)
        self.confirmed: Version = 0
        """Highest version that was answered to an operator."""
        self._edits: dict[Version, Edit] = {}
        self._versions_by_change: dict[str, Version] = {}
        self._catalog = ScopeCatalog()
        self._catalog.load(self.tree)
        self._changes: dict[Scope, list[tuple[Version, Digest]]] = {}
        for scope in scopes:
            self._changes[scope] = [(0, self._catalog.digest(scope))]

    @property
    def newest(self) -> Version:
        """Newest version that any replica has applied."""
        return self.tree.version

    @property
    def edits(self) -> int:
        """Number of accepted edits."""
        return len(self._edits)

    def applied(self, replica: str, version: Version, edit: Edit) -> None:
        """A replica applied an edit at a version."""
        known = self._edits.get(version)
        if known is not None:
            same = known == edit
            require(same, AGREEMENT, f"{replica} has another edit at {version}")
            return
        late = f"{replica} has an edit at {version}, the newest is {self.newest}"
        require(version > self.newest, AGREEMENT, late)
        self._take(replica, version, edit)

    def state_of(self, replica: str, tree: Tree) -> None:
        """A replica holds this tree; equal versions must be equal trees."""
        if tree.version == self.newest:
            require(tree == self.tree, AGREEMENT, f"{replica} has another tree")

    def answered(self, outcome: EditAccepted) -> None:
        """An operator was told that its edit is accepted."""
        version = self._versions_by_change.get(outcome.change_id)
        detail = f"{outcome.change_id} was answered {outcome.version}, is at {version}"
        require(version == outcome.version, NEVER_LOST, detail)
        self.confirmed = max(self.confirmed, outcome.version)

    def digest_at(self, scope: Scope, version: Version) -> Digest:
        """Give the digest of what a scope holds at a version."""
        changes = self._changes[scope]
        place = bisect_right(changes, version, key=lambda change: change[0])
        return changes[place - 1][1]

    def _take(self, replica: str, version: Version, edit: Edit) -> None:
        twice = f"{edit.change_id} at {version} by {replica}"
        require(edit.change_id not in self._versions_by_change, APPLIED_ONCE, twice)
        outcome = apply_edit(self.tree, edit, version)
        if isinstance(outcome, Failure):
            require(False, EXPECTATION_MET, f"{edit}: {outcome.failure()}")
        applied = outcome.unwrap()
        self.tree = applied.tree
        self._edits[version] = edit
        self._versions_by_change[edit.change_id] = version
        for scope in self._catalog.advance(applied):
            self._changes[scope].append((version, self._catalog.digest(scope)))
