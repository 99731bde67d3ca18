"""One seed of calls that may run once: faults, healing, then calls succeed again."""

from __future__ import annotations

from peppershore_lab.simulator.fault_kinds import FaultPlan
from peppershore_lab.simulator.faults import FaultInjector
from peppershore_lab.simulator.payout_calls import Told
from peppershore_lab.simulator.payout_site import PayoutSite
from peppershore_lab.simulator.violations import require

SERVED_AGAIN = "after the faults calls are soon answered again"
SLICE_SECONDS = 0.1
ANSWERED_AGAIN = 30
"""So many answers after the faults show that calls are served again."""


class PayoutRun:
    """The phases of one run."""

    def __init__(self, site: PayoutSite, plan: FaultPlan) -> None:
        """Plan the first fault."""
        self.convergence_seconds = 0.0
        self.injector = FaultInjector(site, plan)
        self._site = site

    def play(self, fault_seconds: float, bound_seconds: float) -> None:
        """Run all phases; raises ``PromiseBrokenError`` if a promise breaks."""
        site = self._site
        scheduler = site.scheduler
        site.start()
        scheduler.run_until(scheduler.now + fault_seconds)
        self.injector.heal()
        healed_at = scheduler.now
        wanted = site.journal.told[Told.ANSWERED] + ANSWERED_AGAIN
        while site.replacements or site.journal.told[Told.ANSWERED] < wanted:
            scheduler.run_until(scheduler.now + SLICE_SECONDS)
            self.convergence_seconds = scheduler.now - healed_at
            told = dict(site.journal.told)
            require(self.convergence_seconds < bound_seconds, SERVED_AGAIN, f"{told}")
        site.is_active = False
        scheduler.run_until(scheduler.now + bound_seconds)
