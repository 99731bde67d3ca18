"""Holds back what may only happen once records are durable."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import msgspec

from peppershore.process.consensus.outputs import Persist
from peppershore.process.consensus.records import Record

Action = Callable[[], None]


class _Held(msgspec.Struct, frozen=True):
    token: int
    action: Action


class _Issued(msgspec.Struct, frozen=True):
    token: int
    records: tuple[Record, ...]


class DurabilityQueue:
    """Collects records, numbers their writes, and releases actions in order.

    A refused write is kept and issued again later: to the rest of the core a
    disk that refuses is a disk that takes very long.
    """

    def __init__(self) -> None:
        """Start with nothing to write."""
        self._collected: list[Record] = []
        self._issued: deque[_Issued] = deque()
        self._held: deque[_Held] = deque()
        self._last_token = 0

    def add(self, record: Record) -> None:
        """Collect a record for the next write."""
        self._collected.append(record)

    def when_durable(self, action: Action) -> None:
        """Run the action once all records collected so far are durable."""
        if not self._collected and not self._issued:
            action()
            return
        token = self._last_token + 1 if self._collected else self._last_token
        self._held.append(_Held(token, action))

    def issue(self) -> Persist | None:
        """Give the write of the records collected since the last one, if any."""
        if not self._collected:
            return None
        return self._issue(tuple(self._collected))

    def issue_again(self) -> Persist | None:
        """Give one write of all records that are not durable."""
        records = [record for issued in self._issued for record in issued.records]
        records += self._collected
        self._issued.clear()
        if not records:
            return None
        return self._issue(tuple(records))

    def persisted(self, token: int) -> None:
        """Take note that the writes up to ``token`` are durable; run what waited."""
        while self._issued and self._issued[0].token <= token:
            self._issued.popleft()
        while self._held and self._held[0].token <= token:
            self._held.popleft().action()

    @property
    def idle(self) -> bool:
        """Whether everything collected is durable."""
        return not self._collected and not self._issued

    def _issue(self, records: tuple[Record, ...]) -> Persist:
        self._collected.clear()
        self._last_token += 1
        self._issued.append(_Issued(self._last_token, records))
        return Persist(self._last_token, records)
