"""The table of edits' outcomes: the first outcome under each retained change id."""

from __future__ import annotations

import msgspec

from peppershore.version.model import EditOutcome, Version


class RecordedOutcome(msgspec.Struct, frozen=True, array_like=True):
    """An edit's outcome and the index of the log entry that recorded it."""

    index: int
    outcome: EditOutcome


class OutcomeTable:
    """Outcomes of edits by change id, oldest first; identical on all replicas.

    ``horizon_version`` is the log index of the newest outcome that was dropped, or 0.
    """

    def __init__(self, capacity: int) -> None:
        """Retain up to ``capacity`` outcomes."""
        self.horizon_version: Version = 0
        self._capacity = capacity
        self._recorded: dict[str, RecordedOutcome] = {}

    def find(self, change_id: str) -> EditOutcome | None:
        """Return the first outcome under that id, or None if none is retained."""
        recorded = self._recorded.get(change_id)
        return None if recorded is None else recorded.outcome

    def record(self, index: int, outcome: EditOutcome) -> None:
        """Record an id's first outcome; drop the oldest ones beyond the capacity."""
        if outcome.change_id in self._recorded:
            return
        self._recorded[outcome.change_id] = RecordedOutcome(index, outcome)
        while len(self._recorded) > self._capacity:
            oldest = next(iter(self._recorded))
            self.horizon_version = self._recorded.pop(oldest).index

    def all_recorded(self) -> tuple[RecordedOutcome, ...]:
        """Return all retained outcomes, oldest first."""
        return tuple(self._recorded.values())

    def restore(
        self, horizon_version: Version, recorded: tuple[RecordedOutcome, ...]
    ) -> None:
        """Replace the outcomes by those of a snapshot."""
        self.horizon_version = horizon_version
        self._recorded = {each.outcome.change_id: each for each in recorded}
