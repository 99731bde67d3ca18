"""The table of change ids: the first outcome of each, up to a horizon."""

from __future__ import annotations

import msgspec

from peppershore.version.model import EditOutcome, Version


class RecordedOutcome(msgspec.Struct, frozen=True, array_like=True):
    """An outcome and the log index of the entry that recorded it."""

    index: int
    outcome: EditOutcome


class OutcomeTable:
    """Outcomes by change id, oldest first; equal on all replicas."""

    def __init__(self, capacity: int) -> None:
        """Keep up to ``capacity`` outcomes."""
        self.horizon_version: Version = 0
        self._capacity = capacity
        self._recorded: dict[str, RecordedOutcome] = {}

    def find(self, change_id: str) -> EditOutcome | None:
        """The first outcome under that id, if it is kept."""
        recorded = self._recorded.get(change_id)
        return None if recorded is None else recorded.outcome

    def record(self, index: int, outcome: EditOutcome) -> None:
        """Record the first outcome; drop the oldest ones beyond the capacity."""
        if outcome.change_id in self._recorded:
            return
        self._recorded[outcome.change_id] = RecordedOutcome(index, outcome)
        while len(self._recorded) > self._capacity:
            oldest = next(iter(self._recorded))
            self.horizon_version = self._recorded.pop(oldest).index

    def all_recorded(self) -> tuple[RecordedOutcome, ...]:
        """Everything kept, oldest first."""
        return tuple(self._recorded.values())

    def restore(
        self, horizon_version: Version, recorded: tuple[RecordedOutcome, ...]
    ) -> None:
        """Replace the table by one that was encoded before."""
        self.horizon_version = horizon_version
        self._recorded = {each.outcome.change_id: each for each in recorded}
