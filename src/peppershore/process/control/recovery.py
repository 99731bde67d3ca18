"""Makes a new control group from one replica's store after permanent loss of a majority.

The store's replica becomes the only member. What other replicas accepted and this store
lacks is lost, so the recovered tree gets a version above any that a proxy may hold: no
proxy has to go back, and each accepts the recovered tree as a newer one. The group gets
another identity, so that a lost replica that comes back is refused.
"""

from __future__ import annotations

from pathlib import Path

import msgspec
from returns.result import Failure, Result, Success

from peppershore.connection.messages.consensus import EntryKind, Membership, ReplicaMember
from peppershore.process.consensus.membership import group_id_of
from peppershore.process.consensus.records import (
    HardState,
    InstallSnapshot,
    Record,
    SaveGroup,
    SaveHardState,
    SnapshotPart,
    StateSnapshot,
    StoredState,
)
from peppershore.process.control.core import HISTORY_CAPACITY
from peppershore.process.control.state import ControlState
from peppershore.process.settings import ControlSettings
from peppershore.process.storage.errors import StoreFailed, StoreRefused
from peppershore.process.storage.opening import open_store
from peppershore.version.model import Version

SKIPPED_VERSIONS = 1_000_000
"""How far the recovered tree's version is above the newest log index in the store. It is
more than a group accepts during the age of any store that one would recover from: 71 days
at 14,000 a day."""


class NothingToRecover(msgspec.Struct, frozen=True):
    """The store can't become a new control group; ``reason`` says why."""

    reason: str


class Recovered(msgspec.Struct, frozen=True):
    """A store that was made a new control group.

    ``kept_version`` is the newest edit in the store, ``version`` the new version of its
    tree.
    """

    replica: str
    kept_version: Version
    version: Version


RecoveryRefused = StoreRefused | StoreFailed | NothingToRecover


def recover_store(settings: ControlSettings) -> Result[Recovered, RecoveryRefused]:
    """Make the stopped replica of these settings the only member of a new group."""
    address = _listed_address(settings)
    if not address:
        reason = f"the settings list no address of {settings.replica} in [[replicas]]"
        return Failure(NothingToRecover(reason))
    opened = open_store(Path(settings.data_folder), settings.cluster, settings.replica)
    if isinstance(opened, Failure):
        return Failure(opened.failure())
    store, stored = opened.unwrap().store, opened.unwrap().stored
    try:
        if stored.group_id == 0:
            return Failure(NothingToRecover("the store is blank"))
        state = _replay(settings, stored)
        kept_version = state.tree.version
        written = store.write(_recovery_records(settings.replica, address, stored, state))
        if isinstance(written, Failure):
            return Failure(written.failure())
    finally:
        store.close()
    return Success(Recovered(settings.replica, kept_version, state.tree.version))


def _listed_address(settings: ControlSettings) -> str:
    found = [each for each in settings.replicas if each.name == settings.replica]
    return found[0].address if found else ""


def _replay(settings: ControlSettings, stored: StoredState) -> ControlState:
    """Return the state after all stored entries, even if not known to be committed."""
    state = ControlState(settings.cluster, settings.change_id_horizon, HISTORY_CAPACITY)
    applied = 0
    if stored.snapshot is not None:
        state.restore(stored.snapshot.state)
        applied = stored.snapshot.index
    for entry in stored.entries:
        if entry.index > applied and entry.kind is EntryKind.COMMAND:
            state.apply(entry.index, entry.payload)
    return state


def _recovery_records(
    replica: str, address: str, stored: StoredState, state: ControlState
) -> list[Record]:
    index = _last_index(stored) + SKIPPED_VERSIONS
    term = stored.hard_state.term + 1
    state.begin_history(index)
    membership = Membership((ReplicaMember(replica, address, stored.identity),))
    parts = (SnapshotPart(1, state.snapshot()),)
    return [
        SaveGroup(_new_group_id(stored.group_id, membership)),
        SaveHardState(HardState(term)),
        InstallSnapshot(StateSnapshot(index, term, membership, parts)),
    ]


def _last_index(stored: StoredState) -> int:
    if stored.entries:
        return stored.entries[-1].index
    assert stored.snapshot is not None, "a store of a group holds entries or a snapshot"
    return stored.snapshot.index


def _new_group_id(former: int, membership: Membership) -> int:
    """Return an identity other than the former group's, even if that had one member."""
    return (group_id_of(membership) ^ (former >> 1)) | 1
