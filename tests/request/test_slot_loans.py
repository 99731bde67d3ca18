"""Slot loans: the total is never exceeded, despite reordering, lost links and leases."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from peppershore.connection.messages.calls import SlotsAsked, SlotsLent, SlotsReturned
from peppershore.request.slot_loans import LEASE_SECONDS, Borrower, Lender

SLOTS = 8
CALL_SECONDS = 2.0


def test_borrower_uses_what_it_was_lent_until_the_lease_ends() -> None:
    lender, borrower = Lender(SLOTS, CALL_SECONDS), Borrower()
    assert not borrower.take(10.0)
    ask = borrower.ask(10.0)
    assert ask == SlotsAsked(1, 1)
    granted = lender.asked(1, ask.number, ask.wanted, SLOTS, 10.0)
    borrower.lent(SlotsLent(ask.number, granted, 3_000))
    assert borrower.take(10.1)
    assert not borrower.take(10.1)
    borrower.give_back()
    assert not borrower.take(10.0 + LEASE_SECONDS)


def test_lost_borrower_counts_until_its_longest_call_is_over() -> None:
    lender = Lender(SLOTS, CALL_SECONDS)
    assert lender.asked(1, 1, 4, SLOTS, 0.0) == 4
    lender.borrower_lost(1)
    end = LEASE_SECONDS + CALL_SECONDS
    assert lender.lent(end - 0.01) == 4
    assert lender.lent(end) == 0


def test_borrowers_share_equally() -> None:
    lender = Lender(SLOTS, CALL_SECONDS)
    assert lender.asked(1, 1, 6, SLOTS, 0.0) == 6
    assert lender.asked(2, 1, 6, SLOTS - 6, 0.0) == 0
    assert lender.asked(1, 2, 6, 0, 0.0) == 3
    assert lender.lent(0.0) == 6, (
        "lent slots count until the borrower confirms their return"
    )
    lender.returned(1, 2, 3)
    assert lender.lent(0.0) == 3
    assert lender.asked(2, 2, 6, SLOTS - 3, 0.0) == 3


def test_borrower_confirms_a_smaller_loan_only_as_its_calls_end() -> None:
    borrower = Borrower()
    asked = borrower.ask(1.0) if not borrower.take(1.0) else None
    assert asked == SlotsAsked(1, 1)
    borrower.lent(SlotsLent(1, 3, 3_000))
    assert [borrower.take(1.1) for _ in range(4)] == [True, True, True, False]
    assert borrower.ask(2.5) == SlotsAsked(2, 4)
    assert borrower.lent(SlotsLent(2, 1, 3_000)) == SlotsReturned(2, 3)
    assert not borrower.take(2.6)
    assert [borrower.give_back() for _ in range(3)] == [2, 1, None]


def test_confirmation_of_an_older_grant_is_ignored() -> None:
    lender = Lender(SLOTS, CALL_SECONDS)
    lender.asked(1, 1, 1, SLOTS, 0.0)
    lender.asked(1, 2, 5, SLOTS, 0.0)
    lender.returned(1, 1, 1)
    assert lender.lent(0.0) == 5


class LoanMachine(RuleBasedStateMachine):
    """Two borrowers over links that delay; the back end must never see too many."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.slots = 4
        self.lender = Lender(self.slots, CALL_SECONDS)
        self.own_in_use = 0
        self.borrowers = [Borrower(), Borrower()]
        self.calls: list[tuple[int, float]] = []
        self.to_lender: list[list[SlotsAsked | SlotsReturned]] = [[], []]
        self.to_borrower: list[list[SlotsLent]] = [[], []]
        self.generation = [0, 0]

    def _name(self, index: int) -> int:
        return index + 10 * self.generation[index]

    @rule(index=st.integers(0, 1), count=st.integers(1, 4))
    def call(self, index: int, count: int) -> None:
        borrower = self.borrowers[index]
        for _ in range(count):
            if borrower.take(self.now):
                self.calls.append((index, self.now + CALL_SECONDS))
        ask = borrower.ask(self.now)
        if ask is not None:
            self.to_lender[index].append(ask)

    @precondition(lambda self: self.calls)
    @rule(data=st.data())
    def call_ends(self, data: st.DataObject) -> None:
        index, _ = self.calls.pop(data.draw(st.integers(0, len(self.calls) - 1)))
        kept = self.borrowers[index].give_back()
        if kept is not None:
            number = self.borrowers[index].number
            self.to_lender[index].append(SlotsReturned(number, kept))

    @rule()
    def own_calls_take_all_that_is_free(self) -> None:
        free = self.slots - self.own_in_use - self.lender.lent(self.now)
        self.own_in_use += max(0, free)

    @precondition(lambda self: self.own_in_use)
    @rule()
    def own_calls_end(self) -> None:
        self.own_in_use = 0

    @rule(index=st.integers(0, 1), count=st.integers(1, 3))
    def exchange(self, index: int, count: int) -> None:
        """Some messages arrive in turn; the rest stays under way."""
        for _ in range(count):
            self.lender_receives(index)
            self.borrower_receives(index)

    @rule(index=st.integers(0, 1))
    def lender_receives(self, index: int) -> None:
        if not self.to_lender[index]:
            return
        message = self.to_lender[index].pop(0)
        if isinstance(message, SlotsReturned):
            self.lender.returned(self._name(index), message.number, message.kept)
            return
        free = self.slots - self.own_in_use - self.lender.lent(self.now)
        slots = self.lender.asked(
            self._name(index), message.number, message.wanted, free, self.now
        )
        lease = int(LEASE_SECONDS * 1_000)
        self.to_borrower[index].append(SlotsLent(message.number, slots, lease))

    @rule(index=st.integers(0, 1))
    def borrower_receives(self, index: int) -> None:
        if self.to_borrower[index]:
            grant = self.to_borrower[index].pop(0)
            self.to_lender[index].append(self.borrowers[index].lent(grant))

    @rule(index=st.integers(0, 1))
    def link_lost_to_the_lender_only(self, index: int) -> None:
        """A silent cut: the borrower notices nothing yet."""
        self.lender.borrower_lost(self._name(index))
        self.generation[index] += 1
        self.to_lender[index].clear()
        self.to_borrower[index].clear()

    @rule(index=st.integers(0, 1))
    def link_lost(self, index: int) -> None:
        self.link_lost_to_the_lender_only(index)
        self.borrowers[index].lost()

    @rule(seconds=st.floats(0.0, 1.5))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        for index, ends in [call for call in self.calls if call[1] <= self.now]:
            self.calls.remove((index, ends))
            self.borrowers[index].give_back()

    @invariant()
    def slots_hold_over_all(self) -> None:
        assert len(self.calls) + self.own_in_use <= self.slots

    @invariant()
    def some_slots_stay_with_the_authority(self) -> None:
        assert self.lender.lent(self.now) <= self.lender.lendable


TestLoanMachine = LoanMachine.TestCase
TestLoanMachine.settings = settings(max_examples=300, stateful_step_count=60)
