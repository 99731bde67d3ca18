"""Which tenants a node refuses early, and the retry advice that it gives them."""

from __future__ import annotations

from benchmarks.entry_shares import (
    LATEST_RETURN_SECONDS,
    LEAST_ENDS,
    LEAST_PART,
    MEMORY_SECONDS,
    OVER_SHARE,
    PROBE,
    SOONEST_RETURN_SECONDS,
    EntryShares,
    Kind,
)

from peppershore.process.randomness import Randomness
from peppershore.request.outcome import NotRun

HOT, USUAL, SMALL = ("hot", 2), ("usual", 2), ("small", 2)


class Node:
    """A node whose owners serve a given number of forwarded calls a second of each kind."""

    def __init__(self, served: dict[Kind, float]) -> None:
        self.shares = EntryShares(Randomness(1))
        self.served = served
        self.now = 0.0
        self._room: dict[Kind, tuple[float, float]] = {}

    def run_load(
        self, rates: dict[Kind, float], seconds: float, is_client_retry: bool = False
    ) -> dict[Kind, list[NotRun]]:
        """Offer calls at even intervals; return the early refusals."""
        arrivals = sorted(
            (self.now + (index + 0.5) / rate, kind)
            for kind, rate in rates.items()
            for index in range(int(rate * seconds))
        )
        end = self.now + seconds
        refusals: dict[Kind, list[NotRun]] = {kind: [] for kind in rates}
        for self.now, kind in arrivals:
            refusal = self.shares.refusal(kind, is_client_retry, self.now)
            if refusal is not None:
                refusals[kind].append(refusal)
                continue
            if self._has_room(kind):
                self.shares.answered(kind, self.now)
            else:
                self.shares.refused(kind, self.now)
        self.now = end
        return refusals

    def _has_room(self, kind: Kind) -> bool:
        room, at = self._room.get(kind, (1.0, 0.0))
        room = min(1.5, room + (self.now - at) * self.served[kind])
        self._room[kind] = (room - 1.0 if room >= 1.0 else room, self.now)
        return room >= 1.0


def test_tenant_far_above_its_share_is_refused_early_and_others_are_not() -> None:
    node = Node({HOT: 8.0, USUAL: 14.0, SMALL: 0.7})
    refusals = node.run_load({HOT: 40.0, USUAL: 15.0, SMALL: 0.8}, 10.0)
    part_refused = len(refusals[HOT]) / 400
    sent_on = max(LEAST_PART, PROBE * 8.0 / 40.0)
    assert abs(part_refused - (1.0 - sent_on)) < 0.1
    assert part_refused > 0.1
    assert {refusal.reason for refusal in refusals[HOT]} == {OVER_SHARE}
    assert not refusals[USUAL]
    assert not refusals[SMALL]


def test_enough_calls_are_forwarded_to_use_freed_capacity() -> None:
    node = Node({HOT: 10.0, USUAL: 15.0})
    refusals = node.run_load({HOT: 40.0, USUAL: 15.0}, 10.0)
    assert 400 - len(refusals[HOT]) >= 1.5 * 10.0 * 10.0


def test_no_early_refusal_if_all_tenants_are_refused_equally_often() -> None:
    node = Node({HOT: 20.0, USUAL: 7.5})
    refusals = node.run_load({HOT: 40.0, USUAL: 15.0}, 10.0)
    assert not refusals[HOT]
    assert not refusals[USUAL]


def test_without_shortage_nobody_is_refused() -> None:
    node = Node({HOT: 90.0, USUAL: 2.0})
    assert not any(node.run_load({HOT: 90.0, USUAL: 2.0}, 10.0).values())


def test_a_tenant_of_few_calls_is_never_refused_early() -> None:
    node = Node({SMALL: 0.0, USUAL: 30.0})
    rate = 0.5 * LEAST_ENDS / MEMORY_SECONDS
    assert not node.run_load({SMALL: rate, USUAL: 30.0}, 20.0)[SMALL]


def test_the_only_tenant_of_a_node_is_not_refused_early() -> None:
    node = Node({HOT: 8.0})
    assert not node.run_load({HOT: 40.0}, 5.0)[HOT]


def test_freed_capacity_is_used_within_a_second() -> None:
    node = Node({HOT: 8.0, USUAL: 15.0})
    node.run_load({HOT: 40.0, USUAL: 15.0}, 5.0)
    node.served[HOT] = 40.0
    node.run_load({HOT: 40.0, USUAL: 15.0}, 1.0)
    assert not node.run_load({HOT: 40.0, USUAL: 15.0}, 3.0)[HOT]


def test_retries_are_refused_more_than_first_sends() -> None:
    rates = {HOT: 40.0, USUAL: 15.0}
    first, again = (Node({HOT: 8.0, USUAL: 15.0}) for _ in range(2))
    refused_first = len(first.run_load(rates, 10.0)[HOT])
    refused_again = len(again.run_load(rates, 10.0, is_client_retry=True)[HOT])
    assert refused_again > refused_first


def test_retry_advice_is_spread_and_bounded() -> None:
    node = Node({HOT: 8.0, USUAL: 15.0})
    advice = [
        refusal.retry_after_milliseconds
        for refusal in node.run_load({HOT: 40.0, USUAL: 15.0}, 5.0)[HOT]
    ]
    assert min(advice) >= SOONEST_RETURN_SECONDS * 1_000
    assert max(advice) <= LATEST_RETURN_SECONDS * 1_000
    assert len(set(advice)) > 0.5 * min(1_200, len(advice))


def test_priorities_of_a_tenant_are_decided_separately() -> None:
    urgent = ("hot", 0)
    node = Node({HOT: 8.0, USUAL: 15.0, urgent: 10.0})
    refusals = node.run_load({HOT: 40.0, USUAL: 15.0, urgent: 10.0}, 5.0)
    assert refusals[HOT]
    assert not refusals[urgent]


def test_idle_tenants_are_forgotten() -> None:
    shares = EntryShares(Randomness(1))
    for number in range(500):
        shares.refusal((f"t{number}", 2), False, 0.0)
    for now in (11.0, 22.0, 33.0):
        shares.refusal(USUAL, False, now)
    assert len(shares) == 1


def test_sums_stay_in_range_if_no_call_is_answered() -> None:
    """Sums that decay at different times differ by rounding errors."""
    node = Node({HOT: 0.0, USUAL: 0.0, SMALL: 0.0})
    refusals = node.run_load({HOT: 37.1, USUAL: 13.7, SMALL: 3.3}, 60.0)
    assert not any(refusals.values())
