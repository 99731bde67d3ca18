"""Slots of one back end, shared between its own node and nodes that call it directly.

The back end's node (the lender) keeps the sum of what it lent and what it uses
itself within the slots.  A loan is taken back only when the borrower confirms,
or when its lease and the longest call begun under it are over.  Time is passed
in, monotonic seconds of the side that reads it.
"""

from __future__ import annotations

import math

import msgspec

from peppershore.connection.messages.calls import SlotsAsked, SlotsLent, SlotsReturned

LEASE_SECONDS = 3.0
RENEW_SECONDS = 1.0
CLOCK_DRIFT_SHARE = 0.01
"""Bound on how much faster one process's clock may run than another's."""

MILLISECONDS = 1_000

RECALL_NUMBER = 0
"""Number of a grant that answers no ask: nothing more may begin under it."""

RESERVED_SHARE = 0.25
"""Share of the slots never lent: for calls that must pass the authority."""


class _Loan(msgspec.Struct):
    """``number`` names the latest grant; ``slots`` is what may be in use."""

    slots: int
    number: int
    lease_ends: float


class Lender:
    """What the back end's own node has lent to whom.

    ``longest_call_seconds`` bounds a call begun under a loan: what was lent
    counts as in use until so long after the lease's end.
    """

    def __init__(self, slots: int, longest_call_seconds: float) -> None:
        """Nothing is lent."""
        self.longest_call_seconds = longest_call_seconds
        self._slots = slots
        self._loans: dict[int, _Loan] = {}
        self._wanted: dict[int, int] = {}
        self._lost: list[_Loan] = []

    @property
    def lendable(self) -> int:
        """Most slots that may be lent at a time."""
        return self._slots - max(1, math.ceil(self._slots * RESERVED_SHARE))

    def lent(self, now: float) -> int:
        """Slots that others may be using now."""
        self._lost = [loan for loan in self._lost if self._counts(loan, now)]
        held = sum(loan.slots for loan in self._loans.values() if self._counts(loan, now))
        return held + sum(loan.slots for loan in self._lost)

    def asked(self, borrower: int, number: int, wanted: int, free: int, now: float) -> int:
        """Give how many slots ``borrower`` may hold now, as grant ``number``.

        ``free`` is how many neither the authority nor a loan uses; a loan only
        grows into those.
        """
        self._wanted[borrower] = wanted
        loan = self._loans.setdefault(borrower, _Loan(0, 0, now))
        room = max(0, min(self.lendable - self.lent(now), free))
        granted = min(wanted, self._fair_share(), loan.slots + room)
        loan.slots = max(loan.slots, granted)
        loan.number = number
        loan.lease_ends = now + LEASE_SECONDS
        return granted

    def recall(self) -> None:
        """The back end leaves: every loan is to shrink to nothing."""
        for loan in self._loans.values():
            loan.number = RECALL_NUMBER

    def returned(self, borrower: int, number: int, kept: int) -> None:
        """The borrower confirmed that under grant ``number`` it keeps ``kept``."""
        loan = self._loans.get(borrower)
        if loan is not None and loan.number == number:
            loan.slots = min(loan.slots, kept)

    def borrower_lost(self, borrower: int) -> None:
        """The link is gone: calls may still run under the loan for a while."""
        self._wanted.pop(borrower, None)
        loan = self._loans.pop(borrower, None)
        if loan is not None and loan.slots > 0:
            self._lost.append(loan)

    def _counts(self, loan: _Loan, now: float) -> bool:
        return now < loan.lease_ends + self.longest_call_seconds

    def _fair_share(self) -> int:
        """Give what each may hold when all that ask share alike, at least one."""
        asking = sum(1 for wanted in self._wanted.values() if wanted > 0)
        return max(1, self.lendable // max(1, asking))


class Borrower:
    """What this node holds of one back end's slots."""

    def __init__(self) -> None:
        """Nothing is held."""
        self.in_use = 0
        self._held = 0
        self._until = 0.0
        self._number = 0
        self._asked = 0
        self._asked_at: dict[int, float] = {}
        self._last_asked_at = 0.0
        self._peak = 0

    @property
    def number(self) -> int:
        """The grant held."""
        return self._number

    def allowance(self, now: float) -> int:
        """Connections that this node may hold to the back end now: one a slot."""
        held = self._held if now < self._until else 0
        return max(held, self.in_use)

    def take(self, now: float) -> bool:
        """Use one slot, if one is held and free."""
        self._peak = max(self._peak, self.in_use + 1)
        if now >= self._until or self.in_use >= self._held:
            return False
        self.in_use += 1
        return True

    def give_back(self) -> int | None:
        """Free one slot; give what to confirm if the loan had shrunk below use."""
        self.in_use -= 1
        return self.in_use if self.in_use >= self._held else None

    def ask(self, now: float) -> SlotsAsked | None:
        """Give what to ask for now, or None to ask for nothing."""
        due = now - self._last_asked_at >= RENEW_SECONDS
        if not due and self._peak <= self._asked:
            return None
        if self._peak == 0 and self._asked == 0 and self._held == 0:
            return None
        self._asked = self._peak
        if due:
            self._peak = self.in_use
        number = max(self._asked_at, default=self._number) + 1
        self._asked_at[number] = now
        self._last_asked_at = now
        return SlotsAsked(number, self._asked)

    def lent(self, grant: SlotsLent) -> SlotsReturned:
        """Take what was granted; give the confirmation of what is kept."""
        asked_at = self._asked_at.get(grant.number, 0.0)
        self._asked_at = {
            number: at for number, at in self._asked_at.items() if number > grant.number
        }
        lease = grant.lease_milliseconds / MILLISECONDS
        self._held = grant.slots
        self._number = grant.number
        self._until = asked_at + lease * (1.0 - CLOCK_DRIFT_SHARE) if asked_at else 0.0
        return SlotsReturned(grant.number, max(grant.slots, self.in_use))

    def lost(self) -> None:
        """The link is gone: start nothing more under the loan."""
        self._held = 0
        self._until = 0.0
        self._asked = 0
        self._asked_at.clear()
