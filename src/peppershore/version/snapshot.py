"""The holder's side of distribution: an update is taken whole or not at all."""

from __future__ import annotations

from typing import Literal

from returns.result import Failure, Result, Success

from peppershore.version.active import ActiveConfiguration
from peppershore.version.closure import find_gaps
from peppershore.version.digest import NOTHING_HELD, changed_digest, snapshot_digest
from peppershore.version.model import (
    Digest,
    Resource,
    Scope,
    Snapshot,
    Update,
    Value,
)
from peppershore.version.resource_codec import decode_resource
from peppershore.version.snapshot_contents import SnapshotContents

__all__ = [
    "ActiveConfiguration",
    "UpdateProblem",
    "UpdateProblemKind",
    "apply_update",
    "empty_snapshot",
    "open_snapshot",
]

_CONTENTS_ATTRIBUTE = "contents"

UpdateProblemKind = Literal[
    "other-scope",
    "not-newer",
    "other-base",
    "malformed",
    "digest-mismatch",
    "open-closure",
]


class UpdateProblem(Value, frozen=True):
    """Why an update was refused; the holder keeps what it had.

    "not-newer" is normal when updates cross each other; after any other kind
    the holder needs full state.
    """

    kind: UpdateProblemKind
    detail: str


def empty_snapshot(scope: Scope) -> Snapshot:
    """Give what a node holds before it has received anything."""
    return Snapshot(scope=scope, version=0, digest=NOTHING_HELD, resources={})


def apply_update(current: Snapshot, update: Update) -> Result[Snapshot, UpdateProblem]:
    """Give the snapshot that ``update`` makes of ``current``, or why it is refused.

    The new snapshot is built aside; ``current`` is never touched.
    """
    problem = _check_envelope(current, update)
    if problem is not None:
        return Failure(problem)
    for resource in update.changed:
        undecodable = decode_resource(resource).swap().value_or(None)
        if undecodable is not None:
            detail = f"{undecodable.subject}: {undecodable.reason}"
            return Failure(UpdateProblem("malformed", detail))
    resources = _merge(current, update)
    digest = _digest(current, update, resources)
    if digest != update.digest:
        detail = f"digest {digest:016x}, expected {update.digest:016x}"
        return Failure(UpdateProblem("digest-mismatch", detail))
    contents = _contents(current, update, resources)
    if not contents.is_closed:
        gaps = find_gaps(update.scope, resources.values())
        return Failure(UpdateProblem("open-closure", "; ".join(gaps)))
    made = Snapshot(update.scope, update.version, digest, resources)
    made.__dict__[_CONTENTS_ATTRIBUTE] = contents
    return Success(made)


def open_snapshot(snapshot: Snapshot) -> ActiveConfiguration:
    """Give a snapshot, whose resources are known to be good, as its holder uses it."""
    contents = _known_contents(snapshot)
    if contents is None:
        contents = SnapshotContents(snapshot.scope, snapshot.resources.values())
    active = ActiveConfiguration(
        scope=snapshot.scope,
        version=snapshot.version,
        digest=snapshot.digest,
        routes=tuple(contents.routes),
        services=contents.services,
        secrets=contents.secrets,
        tenants=contents.tenants,
    )
    active.use_index(contents.index, contents.by_name)
    return active


def _digest(current: Snapshot, update: Update, resources: dict[str, Resource]) -> Digest:
    """Give the digest of what the update makes.

    From the change alone only where all of ``current`` was checked against its digest.
    """
    if update.full or _known_contents(current) is None:
        return snapshot_digest(update.scope, resources.values())
    names = (*update.removed, *(each.name for each in update.changed))
    gone = {name: current.resources[name] for name in names if name in current.resources}
    return changed_digest(current.digest, gone.values(), update.changed)


def _contents(
    current: Snapshot, update: Update, resources: dict[str, Resource]
) -> SnapshotContents:
    """Give what the update makes, decoded; worked out from the change if it is small."""
    known = None if update.full else _known_contents(current)
    changes = len(update.removed) + len(update.changed)
    if known is None or known.is_changed_at_large(changes):
        return SnapshotContents(update.scope, resources.values())
    return known.changed(update.removed, update.changed)


def _known_contents(snapshot: Snapshot) -> SnapshotContents | None:
    """Give what was worked out when the snapshot was made by an update."""
    contents: SnapshotContents | None = snapshot.__dict__.get(_CONTENTS_ATTRIBUTE)
    return contents


def _check_envelope(current: Snapshot, update: Update) -> UpdateProblem | None:
    if update.scope != current.scope:
        detail = f"{update.scope} is not {current.scope}"
        return UpdateProblem("other-scope", detail)
    if update.version <= current.version:
        detail = f"version {update.version} is not above {current.version}"
        return UpdateProblem("not-newer", detail)
    if not update.full and update.base_digest != current.digest:
        detail = f"base {update.base_digest:016x} is not {current.digest:016x}"
        return UpdateProblem("other-base", detail)
    if update.full and update.removed:
        return UpdateProblem("malformed", "full state that removes something")
    if len({resource.name for resource in update.changed}) != len(update.changed):
        return UpdateProblem("malformed", "a resource comes twice")
    return None


def _merge(current: Snapshot, update: Update) -> dict[str, Resource]:
    resources = {} if update.full else dict(current.resources)
    for name in update.removed:
        resources.pop(name, None)
    for resource in update.changed:
        resources[resource.name] = resource
    return resources
