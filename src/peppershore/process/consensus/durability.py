"""Delays actions until the records that they depend on are durable."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import msgspec

from peppershore.process.consensus.outputs import Persist
from peppershore.process.consensus.records import Record

Action = Callable[[], None]


class _DelayedAction(msgspec.Struct, frozen=True):
    token: int
    action: Action


class _Issued(msgspec.Struct, frozen=True):
    token: int
    records: tuple[Record, ...]


class DurabilityQueue:
    """Batches the replica's records into numbered disk writes; runs dependent actions.

    Actions run in the order in which they were added.

    A failed write is retained and issued again later, so the rest of the core
    treats a disk that refuses writes like a very slow one.
    """

    def __init__(self) -> None:
        """Start without records to write and without actions that wait for a write."""
        self._collected: list[Record] = []
        self._issued: deque[_Issued] = deque()
        self._waiting_actions: deque[_DelayedAction] = deque()
        self._last_token = 0

    def add(self, record: Record) -> None:
        """Add a record to the next write."""
        self._collected.append(record)

    def when_durable(self, action: Action) -> None:
        """Run the action once all records added so far are durable; at once if they are."""
        if not self._collected and not self._issued:
            action()
            return
        token = self._last_token + 1 if self._collected else self._last_token
        self._waiting_actions.append(_DelayedAction(token, action))

    def issue(self) -> Persist | None:
        """Return a write of the records added since the last write; None without any."""
        if not self._collected:
            return None
        return self._issue(tuple(self._collected))

    def reissue(self) -> Persist | None:
        """Return one write of all records that are not durable; None without any."""
        records = [record for issued in self._issued for record in issued.records]
        records += self._collected
        self._issued.clear()
        if not records:
            return None
        return self._issue(tuple(records))

    def persisted(self, token: int) -> None:
        """Mark the writes up to number ``token`` durable; run the actions that waited."""
        while self._issued and self._issued[0].token <= token:
            self._issued.popleft()
        while self._waiting_actions and self._waiting_actions[0].token <= token:
            self._waiting_actions.popleft().action()

    @property
    def idle(self) -> bool:
        """Whether all added records are durable."""
        return not self._collected and not self._issued

    def _issue(self, records: tuple[Record, ...]) -> Persist:
        self._collected.clear()
        self._last_token += 1
        self._issued.append(_Issued(self._last_token, records))
        return Persist(self._last_token, records)
