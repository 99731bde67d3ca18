"""The sends that reach the local back end, and the repeats that its node grants."""

from __future__ import annotations

from peppershore.connection.messages.endpoints import Endpoint
from peppershore.request.outcome import NotRun, unpaid
from peppershore.request.send_kind import ArrivalCounts, SendKind
from peppershore.request.shared_retries import RetryBound, SharedRetryBudget


class GrantedRepeats:
    """Counts arrivals by kind, and charges repeats to this node's part of the bound.

    Times are in monotonic seconds.
    """

    def __init__(self, service: str, bound: RetryBound | None, now: float) -> None:
        """Start at ``now``, when the process starts; without ``bound`` grant everything."""
        self.arrivals = ArrivalCounts()
        """Sends that reached the back end since the start of this process."""
        self._service = service
        self._budget = None if bound is None else SharedRetryBudget(bound, now)

    def arrived(self, kind: SendKind, now: float) -> None:
        """Record that a send has reached the back end."""
        self.arrivals.add(kind)
        if kind == "first" and self._budget is not None:
            self._budget.first_arrived(now)

    def covers(self, kind: SendKind, now: float) -> bool:
        """Report whether a send would be granted now."""
        return kind == "first" or self._budget is None or self._budget.has_room(now)

    def refusal(self, kind: SendKind, now: float) -> NotRun | None:
        """Return and count the refusal of a send that would not be granted, else None."""
        if self.covers(kind, now):
            return None
        self.arrivals.unpaid += 1
        return unpaid()

    def charge(self, kind: SendKind, now: float) -> NotRun | None:
        """Charge a send to the budget; return the refusal if it is not covered."""
        refusal = self.refusal(kind, now)
        if refusal is None and kind != "first" and self._budget is not None:
            self._budget.spend(now)
        return refusal

    def use_endpoints(self, endpoints: tuple[Endpoint, ...], now: float) -> None:
        """Use the number of known back ends of this service, which share the bound."""
        if self._budget is not None:
            nodes = {each.node for each in endpoints if each.service == self._service}
            self._budget.share_among(len(nodes), now)

    def sharers(self, now: float) -> int:
        """Return the number of nodes by which the slack of the bound is divided."""
        return 0 if self._budget is None else self._budget.sharers(now)
