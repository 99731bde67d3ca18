"""The configuration of a node: one snapshot, and the floor.

The floor is the lowest version that the node may still accept. The node's scope, i.e. its
service and zone, determines which resources a snapshot contains.
"""

from __future__ import annotations

from returns.result import Failure, Result, Success

from peppershore.process.node.refusals import BELOW_FLOOR, NOT_NEWER
from peppershore.version.model import Digest, Scope, Snapshot, Update, Version
from peppershore.version.snapshot import UpdateProblem, apply_update, empty_snapshot


class ConfigurationHolder:
    """The snapshot in use, the floor, and the highest version in effect at a node.

    The version in effect can be above the snapshot's, because changes outside the
    node's scope need no new snapshot.
    """

    def __init__(self, scope: Scope, floor: Version, stored: Snapshot | None) -> None:
        """Start from the stored floor and snapshot; ignore a snapshot of another scope."""
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
        """Whether there is no snapshot in use."""
        return self.snapshot.version == 0

    def prepare(self, update: Update) -> Result[Snapshot, str]:
        """Return the snapshot that an update leads to, or the reason to refuse the update.

        The returned snapshot is not in use yet.
        """
        if not self.holds_nothing and update.version <= self.effective_version:
            return Failure(NOT_NEWER)
        if update.version < self.floor:
            return Failure(BELOW_FLOOR)
        outcome: Result[Snapshot, UpdateProblem] = apply_update(self.snapshot, update)
        if isinstance(outcome, Failure):
            return Failure(outcome.failure().kind)
        return Success(outcome.unwrap())

    def use(self, snapshot: Snapshot) -> None:
        """Put a prepared snapshot into use; its version must be above the current one."""
        assert snapshot.version > self.snapshot.version, "the version would decrease"
        assert snapshot.version >= self.floor, "the version would fall below the floor"
        self.snapshot = snapshot
        self.floor = snapshot.version
        self.effective_version = max(self.effective_version, snapshot.version)

    def confirm_current(self, version: Version) -> None:
        """Note that the snapshot in use is still current as of ``version``."""
        if not self.holds_nothing:
            self.effective_version = max(self.effective_version, version)
            self.floor = max(self.floor, version)
