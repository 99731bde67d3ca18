"""Application of updates by their receiver: an update is applied completely or rejected."""

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
    """Why an update was rejected; the receiver keeps its snapshot.

    The kind "not-newer" is normal when updates arrive reordered. After any other
    ``kind`` the receiver needs a full update.
    """

    kind: UpdateProblemKind
    detail: str


def empty_snapshot(scope: Scope) -> Snapshot:
    """Return the snapshot of a node that has received nothing yet."""
    return Snapshot(scope=scope, version=0, digest=NOTHING_HELD, resources={})


def apply_update(current: Snapshot, update: Update) -> Result[Snapshot, UpdateProblem]:
    """Return the snapshot after ``update``, or why the update is rejected.

    ``current`` is never changed.
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
    after = Snapshot(update.scope, update.version, digest, resources)
    after.__dict__[_CONTENTS_ATTRIBUTE] = contents
    return Success(after)


def open_snapshot(snapshot: Snapshot) -> ActiveConfiguration:
    """Return the decoded form of a snapshot whose resources were validated before."""
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
    """Return the digest of the resources after the update.

    It is computed from the change alone only if all of ``current`` has been checked
    against its digest, else from all resources.
    """
    if update.full or _known_contents(current) is None:
        return snapshot_digest(update.scope, resources.values())
    names = (*update.removed, *(each.name for each in update.changed))
    former_resources = {
        name: current.resources[name] for name in names if name in current.resources
    }
    return changed_digest(current.digest, former_resources.values(), update.changed)


def _contents(
    current: Snapshot, update: Update, resources: dict[str, Resource]
) -> SnapshotContents:
    """Return the decoded contents after the update.

    They are derived from the contents of ``current`` if those are cached and the change
    is small, else decoded from all resources.
    """
    known = None if update.full else _known_contents(current)
    changes = len(update.removed) + len(update.changed)
    if known is None or known.is_rebuild_cheaper(changes):
        return SnapshotContents(update.scope, resources.values())
    return known.changed(update.removed, update.changed)


def _known_contents(snapshot: Snapshot) -> SnapshotContents | None:
    """Return the contents cached by ``apply_update``; None for any other snapshot."""
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
