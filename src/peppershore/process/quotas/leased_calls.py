"""Granted calls that are not used yet, and requests for grants that are not answered yet.

A node requests grants from a relay, and a relay requests them from the control group's
leader. A grant permits a number of calls until its lease expires.
"""

from __future__ import annotations

import math
from collections import deque

import msgspec

MIN_REMAINING_SECONDS = 0.005
"""A grant whose lease has less time left counts as expired, as it could expire in
transit."""


class _Batch(msgspec.Struct):
    expires_at: float
    calls: int


class LeasedCalls:
    """Granted calls of one tenant, each valid until the lease of its batch expires."""

    __slots__ = ("_batches", "calls")

    def __init__(self) -> None:
        """Start without granted calls."""
        self.calls = 0
        self._batches: deque[_Batch] = deque()

    def add(self, calls: int, expires_at: float) -> None:
        """Add a batch of calls whose lease expires at ``expires_at``."""
        if calls > 0:
            self._batches.append(_Batch(expires_at, calls))
            self.calls += calls

    def drop_expired(self, now: float) -> None:
        """Drop the calls whose lease expired; they are not returned to the leader."""
        if any(batch.expires_at <= now + MIN_REMAINING_SECONDS for batch in self._batches):
            left = [
                batch
                for batch in self._batches
                if batch.expires_at > now + MIN_REMAINING_SECONDS
            ]
            self._batches = deque(left)
            self.calls = sum(batch.calls for batch in left)

    def take(self, max_calls: int, now: float) -> tuple[int, float]:
        """Remove up to ``max_calls`` calls, the oldest first.

        Return the number removed and the earliest expiry of their leases, which is
        infinity if there were none.
        """
        self.drop_expired(now)
        taken, expires_at = 0, math.inf
        while self._batches and taken < max_calls:
            batch = self._batches[0]
            part = min(max_calls - taken, batch.calls)
            taken += part
            batch.calls -= part
            expires_at = min(expires_at, batch.expires_at)
            if not batch.calls:
                self._batches.popleft()
        self.calls -= taken
        return taken, expires_at


class OpenRequest(msgspec.Struct):
    """Calls by tenant of a request that may still be answered.

    ``asked`` holds the tenants without an answer; ``wanted`` holds those of them that
    count as outstanding, so it is empty once the request is overdue.
    """

    sent_at: float
    wanted: dict[str, int]
    asked: dict[str, int]


class OpenRequests:
    """Unanswered requests by number, and the outstanding calls of each tenant.

    An answer is valid for one lease after its request was sent. After ``overdue_seconds``
    the calls no longer count as outstanding, so that they are requested again. ``lease``
    is in seconds, as of the last answer.
    """

    def __init__(self, overdue_seconds: float, lease_seconds: float) -> None:
        """Start without requests; ``lease_seconds`` applies until the first answer."""
        self.lease = lease_seconds
        self._overdue_seconds = overdue_seconds
        self._number = 0
        self._requests: dict[int, OpenRequest] = {}
        self._calls: dict[str, int] = {}

    def outstanding(self, tenant: str) -> int:
        """Return the number of a tenant's calls requested and not yet answered."""
        return self._calls.get(tenant, 0)

    def open(self, wanted: dict[str, int], now: float) -> int:
        """Record a request for the ``wanted`` calls by tenant; return its number."""
        self._number += 1
        self._requests[self._number] = OpenRequest(now, dict(wanted), dict(wanted))
        for tenant, calls in wanted.items():
            self._calls[tenant] = self._calls.get(tenant, 0) + calls
        return self._number

    def answered(self, number: int, tenant: str) -> tuple[float, int] | None:
        """Record an answer for one tenant.

        Return when its request was sent and the number of calls requested, or None if no
        answer was expected.
        """
        request = self._requests.get(number)
        if request is None or tenant not in request.asked:
            return None
        asked = request.asked.pop(tenant)
        self._settle(request, tenant)
        if not request.asked:
            del self._requests[number]
        return request.sent_at, asked

    def refused(self, number: int) -> tuple[str, ...]:
        """Remove a request that no replica could answer; return its unanswered tenants."""
        request = self._requests.pop(number, None)
        if request is None:
            return ()
        for tenant in list(request.wanted):
            self._settle(request, tenant)
        return tuple(request.asked)

    def overdue(self, now: float) -> list[str]:
        """Return the tenants whose requests became overdue since the last query.

        A request is removed once an answer to it could no longer be valid.
        """
        tenants: list[str] = []
        for number, request in list(self._requests.items()):
            age = now - request.sent_at
            if age < self._overdue_seconds:
                break
            for tenant in list(request.wanted):
                self._settle(request, tenant)
                tenants.append(tenant)
            if age >= max(self.lease, self._overdue_seconds):
                del self._requests[number]
        return tenants

    def next_overdue_at(self) -> float | None:
        """Return when the next request becomes overdue, or None if there is none."""
        for request in self._requests.values():
            if request.wanted:
                return request.sent_at + self._overdue_seconds
        return None

    def _settle(self, request: OpenRequest, tenant: str) -> None:
        calls = request.wanted.pop(tenant, 0)
        left = self._calls.get(tenant, 0) - calls
        if left > 0:
            self._calls[tenant] = left
        else:
            self._calls.pop(tenant, None)
