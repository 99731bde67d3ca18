"""Granted calls that are not used yet, and the asks that are not answered yet."""

from __future__ import annotations

import math
from collections import deque

import msgspec

LEAST_LEFT_SECONDS = 0.005
"""A grant that ends sooner is as good as ended: it could end on its way."""


class _Lot(msgspec.Struct):
    ends_at: float
    calls: int


class Lots:
    """Granted calls of one tenant, each counting until its lot ends."""

    __slots__ = ("_lots", "calls")

    def __init__(self) -> None:
        """Hold nothing."""
        self.calls = 0
        self._lots: deque[_Lot] = deque()

    def add(self, calls: int, ends_at: float) -> None:
        """Hold calls that end then."""
        if calls > 0:
            self._lots.append(_Lot(ends_at, calls))
            self.calls += calls

    def drop_ended(self, now: float) -> None:
        """Forget what ended: it is lost and never given back."""
        if any(lot.ends_at <= now + LEAST_LEFT_SECONDS for lot in self._lots):
            left = [lot for lot in self._lots if lot.ends_at > now + LEAST_LEFT_SECONDS]
            self._lots = deque(left)
            self.calls = sum(lot.calls for lot in left)

    def take(self, most: int, now: float) -> tuple[int, float]:
        """Give the calls taken, the oldest first, and when the first of them ends."""
        self.drop_ended(now)
        taken, ends_at = 0, math.inf
        while self._lots and taken < most:
            lot = self._lots[0]
            part = min(most - taken, lot.calls)
            taken += part
            lot.calls -= part
            ends_at = min(ends_at, lot.ends_at)
            if not lot.calls:
                self._lots.popleft()
        self.calls -= taken
        return taken, ends_at


class OpenAsk(msgspec.Struct):
    """An ask that may still be answered; ``wanted`` is empty where it is overdue."""

    sent_at: float
    wanted: dict[str, int]
    asked: dict[str, int]


class OpenAsks:
    """Asks by their numbers, and how many calls of each tenant they are for.

    An answer counts for one lease after its ask; after ``overdue_seconds`` what it asked
    for is asked for again.  ``lease`` is in seconds, by the last answer.
    """

    def __init__(self, overdue_seconds: float, lease_seconds: float) -> None:
        """Begin without asks."""
        self.lease = lease_seconds
        self._overdue_seconds = overdue_seconds
        self._number = 0
        self._asks: dict[int, OpenAsk] = {}
        self._calls: dict[str, int] = {}

    def under_way(self, tenant: str) -> int:
        """Count the calls of a tenant that were asked for and not answered."""
        return self._calls.get(tenant, 0)

    def open(self, wanted: dict[str, int], now: float) -> int:
        """Remember an ask; give its number."""
        self._number += 1
        self._asks[self._number] = OpenAsk(now, dict(wanted), dict(wanted))
        for tenant, calls in wanted.items():
            self._calls[tenant] = self._calls.get(tenant, 0) + calls
        return self._number

    def answered(self, number: int, tenant: str) -> tuple[float, int] | None:
        """Take the answer for one tenant; give when its ask was sent, and its calls."""
        ask = self._asks.get(number)
        if ask is None or tenant not in ask.asked:
            return None
        asked = ask.asked.pop(tenant)
        self._settle(ask, tenant)
        if not ask.asked:
            del self._asks[number]
        return ask.sent_at, asked

    def refused(self, number: int) -> tuple[str, ...]:
        """Nobody could answer that ask; give its tenants."""
        ask = self._asks.pop(number, None)
        if ask is None:
            return ()
        for tenant in list(ask.wanted):
            self._settle(ask, tenant)
        return tuple(ask.asked)

    def overdue(self, now: float) -> list[str]:
        """Give the tenants for which an ask is overdue from now on."""
        tenants: list[str] = []
        for number, ask in list(self._asks.items()):
            age = now - ask.sent_at
            if age < self._overdue_seconds:
                break
            for tenant in list(ask.wanted):
                self._settle(ask, tenant)
                tenants.append(tenant)
            if age >= max(self.lease, self._overdue_seconds):
                del self._asks[number]
        return tenants

    def next_overdue(self) -> float | None:
        """Give when the next ask is overdue."""
        for ask in self._asks.values():
            if ask.wanted:
                return ask.sent_at + self._overdue_seconds
        return None

    def _settle(self, ask: OpenAsk, tenant: str) -> None:
        calls = ask.wanted.pop(tenant, 0)
        left = self._calls.get(tenant, 0) - calls
        if left > 0:
            self._calls[tenant] = left
        else:
            self._calls.pop(tenant, None)
