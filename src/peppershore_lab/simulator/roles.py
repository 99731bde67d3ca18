"""The kinds of simulated processes: which core they run and what their disk keeps."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from peppershore.connection.messages.consensus import LogEntry
from peppershore.process import commands
from peppershore.process.consensus.records import (
    InstallSnapshot,
    PersistLog,
    Record,
    SaveEntries,
    SaveGroup,
    SaveHardState,
    SaveSnapshot,
    SaveSnapshotPart,
    StoredState,
)
from peppershore.process.core import Core
from peppershore.process.node.commands import (
    ConfigurationSwapped,
    DrainBackend,
    EndpointsSwapped,
    PersistSnapshot,
    QuarantineChanged,
)
from peppershore.process.node.core import NodeCore, NodeMemory
from peppershore.process.node.inputs import BackendDrained
from peppershore.process.settings import NodeSettings
from peppershore.version.model import Snapshot
from peppershore_lab.simulator.process import SimulatedProcess

MakeReplicaCore = Callable[[StoredState], Core]
MakeNodeCore = Callable[[NodeSettings, NodeMemory], NodeCore]


class PlainRole:
    """A process without disk and without commands of its own."""

    def __init__(self, make_core: Callable[[], Core]) -> None:
        """Boot cores with ``make_core``."""
        self._make_core = make_core

    def boot(self) -> Core:
        """Make a core that remembers nothing."""
        return self._make_core()

    def write(self, command: commands.PersistRecords) -> None:
        """Such a process has no disk."""
        raise AssertionError(f"{type(command).__name__} without a disk")

    def stands_alone(self, command: commands.PersistRecords) -> bool:
        """Such a process has no disk."""
        raise AssertionError(f"{type(command).__name__} without a disk")

    def execute(self, process: SimulatedProcess, command: commands.Command) -> None:
        """Such a process has no commands of its own."""
        del process
        raise AssertionError(f"nobody carries out {type(command).__name__}")

    def lose_disk(self) -> None:
        """There is none."""


class ReplicaRole:
    """A replica of a group and its log on disk."""

    def __init__(
        self,
        make_core: MakeReplicaCore,
        new_identity: Callable[[], int],
    ) -> None:
        """Begin with a blank store."""
        self._make_core = make_core
        self._new_identity = new_identity
        self._stored = StoredState(new_identity())

    def boot(self) -> Core:
        """Make a core from the stored log."""
        return self._make_core(self._stored)

    def write(self, command: commands.PersistRecords) -> None:
        """Take the records of one write, all together."""
        assert isinstance(command, PersistLog)
        stored = self._stored
        for record in command.records:
            stored = _with_record(stored, record)
        self._stored = stored

    def stands_alone(self, command: commands.PersistRecords) -> bool:
        """Only a retry, which holds all that was refused, as in ``ReplicaShell``."""
        assert isinstance(command, PersistLog)
        return command.retry

    def execute(self, process: SimulatedProcess, command: commands.Command) -> None:
        """A replica has no commands of its own."""
        del process
        raise AssertionError(f"nobody carries out {type(command).__name__}")

    def lose_disk(self) -> None:
        """Start over with a blank store of another identity."""
        self._stored = StoredState(self._new_identity())


class NodeRole:
    """A node, with or without a disk for its last snapshot."""

    def __init__(
        self,
        settings: NodeSettings,
        make_core: MakeNodeCore,
        next_incarnation: Callable[[], int],
    ) -> None:
        """Begin with an empty disk."""
        self.settings = settings
        self._make_core = make_core
        self._next_incarnation = next_incarnation
        self._stored: Snapshot | None = None

    def boot(self) -> Core:
        """Make a core from the stored snapshot."""
        floor = 0 if self._stored is None else self._stored.version
        memory = NodeMemory(self._next_incarnation(), floor, self._stored)
        return self._make_core(self.settings, memory)

    def write(self, command: commands.PersistRecords) -> None:
        """Replace the stored snapshot."""
        assert isinstance(command, PersistSnapshot)
        self._stored = command.snapshot

    def stands_alone(self, command: commands.PersistRecords) -> bool:
        """Every snapshot is whole."""
        del command
        return True

    def execute(self, process: SimulatedProcess, command: commands.Command) -> None:
        """Stand in for the data plane: nothing runs, so drains end at once."""
        match command:
            case ConfigurationSwapped() | EndpointsSwapped() | QuarantineChanged():
                pass
            case DrainBackend():
                process.take(BackendDrained())
            case _:
                raise AssertionError(f"nobody carries out {type(command).__name__}")

    def lose_disk(self) -> None:
        """Forget the stored snapshot."""
        self._stored = None


def _with_record(stored: StoredState, record: Record) -> StoredState:
    match record:
        case SaveHardState():
            return msgspec.structs.replace(stored, hard_state=record.hard_state)
        case SaveGroup():
            return msgspec.structs.replace(stored, group_id=record.group_id)
        case SaveEntries():
            entries = _replaced_tail(stored.entries, record.entries)
            return msgspec.structs.replace(stored, entries=entries)
        case SaveSnapshot():
            first = record.first_kept_index
            kept = tuple(entry for entry in stored.entries if entry.index >= first)
            return msgspec.structs.replace(stored, snapshot=record.snapshot, entries=kept)
        case SaveSnapshotPart():
            return stored  # counts only once a snapshot names it
        case InstallSnapshot():
            return msgspec.structs.replace(stored, snapshot=record.snapshot, entries=())


def _replaced_tail(
    entries: tuple[LogEntry, ...], tail: tuple[LogEntry, ...]
) -> tuple[LogEntry, ...]:
    if not tail:
        return entries
    first = tail[0].index
    return tuple(entry for entry in entries if entry.index < first) + tail
