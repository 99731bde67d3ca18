"""Real updates and snapshots of three small versions, for the distribution model.

The model's states name versions; what a relay sends and what a node makes of it
come from the product: ``ScopeCatalog.update_since`` and
``ConfigurationHolder.prepare``.  Every pair is worked out once.
"""

from __future__ import annotations

from functools import cache

import msgspec
from returns.result import Failure

from peppershore.process.node.configuration import ConfigurationHolder
from peppershore.version.catalog import ScopeCatalog
from peppershore.version.closure import find_gaps
from peppershore.version.digest import snapshot_digest
from peppershore.version.model import (
    Digest,
    Edit,
    Operation,
    Overrides,
    PutSecret,
    RemoveNode,
    Scope,
    SetOverrides,
    SetZone,
    Snapshot,
    Tree,
    Update,
    Version,
)
from peppershore.version.tree import apply_edit, empty_tree

SCOPE = Scope("till", "pasila")
NOTHING: Version = 0
NEWEST: Version = 3

_EDITS: tuple[tuple[Operation, ...], ...] = (
    (
        SetZone("pasila", "uusimaa"),
        SetOverrides("/kuitti", Overrides()),
        SetOverrides("/till/*/status", Overrides(path_prefix="/status", target="kuitti")),
    ),
    (
        PutSecret("key", b"material"),
        SetOverrides(
            "/till/*/pay",
            Overrides(path_prefix="/pay", target="kuitti", verify_secret="key"),
        ),
    ),
    (RemoveNode("/till/*/pay"),),
)
"""Version 2 adds a route and its secret, version 3 is again what version 1 was."""


@cache
def _trees() -> tuple[Tree, ...]:
    trees = [empty_tree("spec")]
    for number, operations in enumerate(_EDITS, start=1):
        edit = Edit(change_id=str(number), operations=operations)
        trees.append(apply_edit(trees[-1], edit, number).unwrap().tree)
    return tuple(trees)


@cache
def _catalog_at(version: Version) -> ScopeCatalog:
    """A relay's catalog that has the whole history up to ``version``."""
    catalog = ScopeCatalog()
    for tree in _trees()[: version + 1]:
        catalog.load(tree)
        catalog.use(SCOPE)
    return catalog


@cache
def snapshot_at(version: Version) -> Snapshot:
    """What a node must hold at a version."""
    return _catalog_at(version).snapshot(SCOPE)


def digest_at(version: Version) -> Digest:
    """Digest of what a node must hold at a version; 0 when it holds nothing."""
    return 0 if version == NOTHING else snapshot_at(version).digest


def same_content(one: Version, other: Version) -> bool:
    """Whether two versions are the same to the scope."""
    return digest_at(one) == digest_at(other)


def last_change(version: Version) -> Version:
    """The version that last changed the scope's content, up to a version."""
    while version > NOTHING and same_content(version, version - 1):
        version -= 1
    return version


@cache
def update_between(held: Version, digest: Digest, relay: Version) -> Update | None:
    """What a relay at a version sends to a holder; None if nothing is lacking."""
    return _catalog_at(relay).update_since(SCOPE, held, digest)


@cache
def damaged(update: Update) -> Update:
    """The same update with one changed resource missing."""
    return msgspec.structs.replace(update, changed=update.changed[:-1])


class Holding(msgspec.Struct, frozen=True):
    """What a node holds: the version of its snapshot, the version in effect, the floor."""

    content: Version = NOTHING
    effective: Version = NOTHING
    floor: Version = NOTHING


@cache
def refusal(holding: Holding, update: Update) -> str:
    """Why the node's own code refuses an update; empty if it takes it."""
    holder = ConfigurationHolder(SCOPE, holding.floor, _held(holding.content))
    holder.effective_version = holding.effective
    outcome = holder.prepare(update)
    return outcome.failure() if isinstance(outcome, Failure) else ""


@cache
def is_whole_and_closed(base: Version, update: Update) -> bool:
    """Whether what an update makes of a base, taken unchecked, is what it should be."""
    resources = {} if update.full else dict(_resources(base))
    for name in update.removed:
        resources.pop(name, None)
    resources.update({each.name: each for each in update.changed})
    digest = snapshot_digest(SCOPE, resources.values())
    is_closed = not find_gaps(SCOPE, resources.values())
    return digest == digest_at(update.version) and is_closed


def _held(version: Version) -> Snapshot | None:
    return None if version == NOTHING else snapshot_at(version)


def _resources(version: Version):  # type: ignore[no-untyped-def]
    return {} if version == NOTHING else snapshot_at(version).resources
