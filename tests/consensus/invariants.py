"""Raft invariants that must hold on all replicas after every step."""

from __future__ import annotations

from peppershore.connection.messages.consensus import EntryKind
from peppershore.process.commands import Notice
from peppershore.process.consensus.notices import LeadershipStarted
from peppershore.process.control.core import ControlCore
from peppershore.process.control.state import EditAdmitted, decode_command

AppliedEntry = tuple[int, bytes]


class Invariants:
    """Checks election safety, leader completeness, state machine safety, change ids."""

    def __init__(self) -> None:
        self.applied: dict[int, AppliedEntry] = {}
        self.accepted: dict[str, int] = {}
        self._seen: dict[str, tuple[ControlCore, int]] = {}
        self._leaders: dict[int, str] = {}

    def noticed(self, name: str, notice: Notice) -> None:
        if isinstance(notice, LeadershipStarted):
            first = self._leaders.setdefault(notice.term, name)
            assert first == name, f"two leaders in term {notice.term}"

    def check(self, name: str, core: ControlCore) -> None:
        known, seen = self._seen.get(name, (core, 0))
        if known is not core:
            seen = 0
        for index in range(seen + 1, core.applied_index + 1):
            self._check_applied(core, index)
        self._seen[name] = (core, core.applied_index)
        if core.leads and core.consensus.term == max(self._leaders):
            self._check_complete(core)

    def _check_applied(self, core: ControlCore, index: int) -> None:
        log = core.consensus.log
        if not log.base_index < index:
            return
        entry = log.entry_at(index)
        applied = (entry.term, entry.payload)
        assert self.applied.setdefault(index, applied) == applied, "state machine safety"
        if entry.kind is EntryKind.COMMAND:
            self._check_command(index, entry.payload)

    def _check_command(self, index: int, payload: bytes) -> None:
        command = decode_command(payload)
        if isinstance(command, EditAdmitted):
            first = self.accepted.setdefault(command.edit.change_id, index)
            assert first == index, "a change id was accepted twice"

    def _check_complete(self, core: ControlCore) -> None:
        log = core.consensus.log
        newest = max(self.applied, default=0)
        assert log.last_index >= newest, "the leader lacks a committed entry"
        for index in range(max(log.base_index + 1, newest - 3), newest + 1):
            assert log.term_at(index) == self.applied[index][0], "leader completeness"

    def check_logs_match(self, cores: list[ControlCore]) -> None:
        """Check log matching: entries of equal index and term imply equal earlier logs."""
        for left in cores:
            for right in cores:
                self._check_pair(left, right)

    def _check_pair(self, left: ControlCore, right: ControlCore) -> None:
        first = max(left.consensus.log.base_index, right.consensus.log.base_index) + 1
        last = min(left.consensus.log.last_index, right.consensus.log.last_index)
        agreed = False
        for index in range(last, first - 1, -1):
            mine = left.consensus.log.entry_at(index)
            other = right.consensus.log.entry_at(index)
            agreed = agreed or mine.term == other.term
            assert not agreed or mine == other, "log matching"
