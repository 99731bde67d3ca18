"""Slots of one back end, shared by its local node with nodes that call it directly.

The local node (the lender) keeps the sum of the slots it has lent and those it uses itself
within the total. A loan ends only when the borrower confirms, or when its lease and the
longest call begun under it are over. Time is passed in, in monotonic seconds of the process
that reads it.
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
"""Number of a grant that answers no request: no call may begin under it any more."""

RESERVED_SHARE = 0.25
"""Share of the slots that is never lent: it is for calls that must pass through the
authority, the back end's local node."""


class _Loan(msgspec.Struct):
    """A loan to one borrower.

    ``slots`` is how many the borrower may be using, ``number`` identifies its latest grant,
    and ``lease_ends`` is in monotonic seconds.
    """

    slots: int
    number: int
    lease_ends: float


class Lender:
    """Slots that a back end's local node has lent, by borrower.

    ``longest_call_seconds`` bounds the duration of a call begun under a loan: lent slots
    count as in use until that long after the lease's end.
    """

    def __init__(self, slots: int, longest_call_seconds: float) -> None:
        """Start without loans; ``slots`` is the back end's number of slots."""
        self.longest_call_seconds = longest_call_seconds
        self._slots = slots
        self._loans: dict[int, _Loan] = {}
        self._wanted_slots: dict[int, int] = {}
        self._orphaned_loans: list[_Loan] = []

    @property
    def lendable(self) -> int:
        """Maximum number of slots that may be lent at a time."""
        return self._slots - max(1, math.ceil(self._slots * RESERVED_SHARE))

    def lent(self, now: float) -> int:
        """Return the number of slots that borrowers may be using now."""
        self._orphaned_loans = [
            loan for loan in self._orphaned_loans if self._counts(loan, now)
        ]
        held = sum(loan.slots for loan in self._loans.values() if self._counts(loan, now))
        return held + sum(loan.slots for loan in self._orphaned_loans)

    def asked(self, borrower: int, number: int, wanted: int, free: int, now: float) -> int:
        """Return how many slots ``borrower`` may hold now, under grant ``number``.

        ``wanted`` is the number of slots that it requested. ``free`` is the number of slots
        used neither by the lender nor by a loan; a loan grows only into those.
        """
        self._wanted_slots[borrower] = wanted
        loan = self._loans.setdefault(borrower, _Loan(0, 0, now))
        room = max(0, min(self.lendable - self.lent(now), free))
        granted = min(wanted, self._fair_share(), loan.slots + room)
        loan.slots = max(loan.slots, granted)
        loan.number = number
        loan.lease_ends = now + LEASE_SECONDS
        return granted

    def recall(self) -> None:
        """Recall all loans, since the back end is leaving: each is to shrink to zero."""
        for loan in self._loans.values():
            loan.number = RECALL_NUMBER

    def returned(self, borrower: int, number: int, kept: int) -> None:
        """Record the borrower's confirmation that it keeps ``kept`` slots under a grant.

        A confirmation of an older grant than the latest one is ignored.
        """
        loan = self._loans.get(borrower)
        if loan is not None and loan.number == number:
            loan.slots = min(loan.slots, kept)

    def borrower_lost(self, borrower: int) -> None:
        """Record that the link to a borrower closed; its calls may run on for a while."""
        self._wanted_slots.pop(borrower, None)
        loan = self._loans.pop(borrower, None)
        if loan is not None and loan.slots > 0:
            self._orphaned_loans.append(loan)

    def _counts(self, loan: _Loan, now: float) -> bool:
        return now < loan.lease_ends + self.longest_call_seconds

    def _fair_share(self) -> int:
        """Return the equal share of each borrower that wants slots, at least one."""
        asking = sum(1 for wanted in self._wanted_slots.values() if wanted > 0)
        return max(1, self.lendable // max(1, asking))


class Borrower:
    """Slots of one back end that this node has borrowed."""

    def __init__(self) -> None:
        """Start without slots."""
        self.in_use = 0
        self.life = ""
        """Incarnation of the back end that the slots belong to."""
        self._held = 0
        self._until = 0.0
        self._number = 0
        self._asked = 0
        self._asked_at: dict[int, float] = {}
        self._last_asked_at = 0.0
        self._peak = 0

    @property
    def number(self) -> int:
        """Number of the grant held."""
        return self._number

    def allowance(self, now: float) -> int:
        """Return how many connections this node may hold to the back end: one per slot."""
        held = self._held if now < self._until else 0
        return max(held, self.in_use)

    def take(self, now: float) -> bool:
        """Use one slot and return True, or return False if none is held and free."""
        self._peak = max(self._peak, self.in_use + 1)
        if now >= self._until or self.in_use >= self._held:
            return False
        self.in_use += 1
        return True

    def give_back(self) -> int | None:
        """Free one slot.

        Return the number of slots kept, to be confirmed, if more were in use than the loan
        allows by now, else None.
        """
        self.in_use -= 1
        return self.in_use if self.in_use >= self._held else None

    def ask(self, now: float) -> SlotsAsked | None:
        """Return the request to send now, or None if there is nothing to request."""
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
        """Apply a grant and return the confirmation of the slots that are kept."""
        asked_at = self._asked_at.get(grant.number, 0.0)
        self._asked_at = {
            number: at for number, at in self._asked_at.items() if number > grant.number
        }
        lease = grant.lease_milliseconds / MILLISECONDS
        self._held = grant.slots
        self.life = grant.life
        self._number = grant.number
        self._until = asked_at + lease * (1.0 - CLOCK_DRIFT_SHARE) if asked_at else 0.0
        return SlotsReturned(grant.number, max(grant.slots, self.in_use))

    def lost(self) -> None:
        """Record that the link closed: no call may begin under the loan any more."""
        self._held = 0
        self._until = 0.0
        self._asked = 0
        self._asked_at.clear()
