"""What a node holds: one snapshot, and the version below which it never goes."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from peppershore.process.node.refusals import BELOW_FLOOR, NOT_NEWER
from peppershore.version.model import Digest, Scope, Snapshot, Update, Version
from peppershore.version.snapshot import UpdateProblem, apply_update, empty_snapshot


class ConfigurationHolder:
    """The snapshot in use, the floor, and the highest version in effect.

    The version in effect can be above the snapshot's: changes that do not
    concern the node's scope need no new snapshot.
    """

    def __init__(self, scope: Scope, floor: Version, stored: Snapshot | None) -> None:
        """Begin with what the disk held; a snapshot of another scope is not used."""
        usable = stored is not None and stored.scope == scope
        self.snapshot = stored if stored is not None and usable else empty_snapshot(scope)
        self.floor = max(floor, stored.version if stored is not None else 0)
        self.effective_version = self.snapshot.version

    @property
    def digest(self) -> Digest:
        """Digest of the snapshot in use; 0 when there is none."""
        return self.snapshot.digest

    @property
    def holds_nothing(self) -> bool:
        """Tell whether there is no snapshot in use."""
        return self.snapshot.version == 0

    def prepare(self, update: Update) -> Result[Snapshot, str]:
        """Build the next snapshot aside, or give the reason why it is refused."""
        if not self.holds_nothing and update.version <= self.effective_version:
            return Failure(NOT_NEWER)
        if update.version < self.floor:
            return Failure(BELOW_FLOOR)
        outcome: Result[Snapshot, UpdateProblem] = apply_update(self.snapshot, update)
        if isinstance(outcome, Failure):
            return Failure(outcome.failure().kind)
        return Success(outcome.unwrap())

    def use(self, snapshot: Snapshot) -> None:
        """Swap in a prepared snapshot; going back is a broken invariant."""
        assert snapshot.version > self.snapshot.version, "the version would go back"
        assert snapshot.version >= self.floor, "the version would go below the floor"
        self.snapshot = snapshot
        self.floor = snapshot.version
        self.effective_version = max(self.effective_version, snapshot.version)

    def still_current(self, version: Version) -> None:
        """Note that what is held is right up to ``version``."""
        if not self.holds_nothing:
            self.effective_version = max(self.effective_version, version)
            self.floor = max(self.floor, version)
