"""Early refusal of tenants who are over their share, by target service."""

from __future__ import annotations

from collections.abc import Callable

from peppershore.request.classification import CallPlan
from peppershore.request.outcome import LOAD_REASONS, Failed, NotRun
from peppershore.request.picker import RandomSource
from peppershore.request.tenants.entry_shares import EntryShares, Kind
from peppershore.request.waiting import line_of


class EarlyRefusals:
    """What this node knows of the shares of tenants at each service.

    Calls that back ends make are never refused here: what runs already waits for them.
    """

    def __init__(self, random: RandomSource) -> None:
        """Start without knowledge of any service."""
        self._random = random
        self._services: dict[str, EntryShares] = {}

    def refusal(self, plan: CallPlan, now: float) -> NotRun | None:
        """Count a call that came; give why it is refused at once, if it is."""
        if not plan.is_counted:
            return None
        shares = self._services.get(plan.target)
        if shares is None:
            shares = self._services[plan.target] = EntryShares(self._random)
        return shares.refusal(_kind(plan), plan.is_client_retry, now)

    def answered(self, plan: CallPlan, now: float) -> None:
        """A call was answered."""
        shares = self._services.get(plan.target)
        if shares is not None and plan.is_counted:
            shares.answered(_kind(plan), now)

    def failed(self, plan: CallPlan, failed: Failed, now: float) -> None:
        """A call got no answer; what counts is that there was no slot for it."""
        shares = self._services.get(plan.target)
        if shares is None or not plan.is_counted or failed.reason not in LOAD_REASONS:
            return
        shares.refused(_kind(plan), now)

    def keep_only(self, is_there: Callable[[str], bool]) -> None:
        """Forget services that are there no more."""
        for service in [name for name in self._services if not is_there(name)]:
            del self._services[service]


def _kind(plan: CallPlan) -> Kind:
    return (plan.tenant, line_of(plan.call_class, plan.priority))
