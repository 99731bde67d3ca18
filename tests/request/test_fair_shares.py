"""Fair shares of tenants that wait for slots: which calls are served or evicted."""

from __future__ import annotations

import itertools
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from peppershore.connection.messages.endpoints import Endpoint
from peppershore.process.randomness import Randomness
from peppershore.request.admission import Admission, Dispatch, Waiting
from peppershore.request.outcome import QUEUE_FULL, NotRun
from peppershore.request.tenants.weights import (
    DEMAND_PART,
    ConfiguredWeights,
    ShareWeights,
)
from peppershore.request.waiting import Ticket, WaitingQueue
from peppershore.version.model import CallClass, ServiceSettings, TenantResource

SLOTS = 4
WORK_SECONDS = 0.1
ROOM_PER_SECOND = SLOTS / WORK_SECONDS


def _limits(**rates: float) -> ConfiguredWeights:
    weights = ConfiguredWeights()
    weights.use({name: TenantResource(name, (), rate) for name, rate in rates.items()})
    return weights


class Owner:
    """A back end's local node in virtual time; each call runs for ``WORK_SECONDS``."""

    def __init__(self, weights: ConfiguredWeights | None = None, queue: int = 100) -> None:
        settings = ServiceSettings(slow_start_milliseconds=0, queue_limit=queue)
        self.admission = Admission("s", settings, "a", Randomness(1), weights=weights)
        endpoint = Endpoint("k", "s", "a", 1, 1, "ready", "10.0.0.1:1", "", SLOTS, 130)
        self.admission.use_endpoints((endpoint,), 0.0)
        self.now = 0.0
        self.served: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self._numbers = itertools.count(1)
        self._running: list[tuple[float, Dispatch]] = []

    def offer(
        self,
        tenant: str,
        call_class: CallClass = "normal",
        priority: int = 1,
        is_client_retry: bool = False,
        wait: float = 0.15,
    ) -> Dispatch | Waiting | NotRun:
        ticket = Ticket(
            next(self._numbers),
            call_class,
            self.now + 2.0,
            priority=priority,
            start_by=self.now + wait,
            is_client_retry=is_client_retry,
            tenant=tenant,
        )
        decision = self.admission.offer(ticket, self.now)
        if isinstance(decision, Dispatch):
            self._begin(decision)
        elif isinstance(decision, NotRun):
            self.refused[tenant] += 1
        elif decision.evicted is not None:
            self.refused[decision.evicted.tenant] += 1
        return decision

    def fill(self) -> None:
        """Occupy all slots with calls without a tenant."""
        for _ in range(SLOTS):
            assert isinstance(self.offer(""), Dispatch)

    def run_load(self, rates: dict[str, float], seconds: float) -> Counter[str]:
        """Let tenants call evenly at these rates; return the calls served meanwhile."""
        before = Counter(self.served)
        arrivals = sorted(
            (self.now + (index + (place + 0.5) / len(rates)) / rate, tenant)
            for place, (tenant, rate) in enumerate(rates.items())
            for index in range(int(rate * seconds))
        )
        end = self.now + seconds
        for at, tenant in arrivals:
            self.run_until(at)
            self.offer(tenant)
        self.run_until(end)
        return self.served - before

    def run_until(self, until: float) -> None:
        """Finish the calls that end by then, and start waiting ones."""
        while self._running and self._running[0][0] <= until:
            self.now, dispatch = self._running.pop(0)
            self.admission.finished(dispatch, WORK_SECONDS, "good", self.now)
            for given_up in self.admission.take_timed_out(self.now):
                self.refused[given_up.tenant] += 1
            for started in self.admission.ready(self.now):
                self._begin(started)
        self.now = until

    def _begin(self, dispatch: Dispatch) -> None:
        self.served[dispatch.ticket.tenant] += 1
        self._running.append((self.now + WORK_SECONDS, dispatch))


def test_a_tenant_at_nine_times_its_usual_rate_does_not_affect_others() -> None:
    owner = Owner()
    usual = {f"t{number}": 4.0 for number in range(8)}
    owner.run_load(usual, 2.0)
    served = owner.run_load({**usual, "t0": 36.0}, 5.0)
    others = [served[name] / (4.0 * 5.0) for name in usual if name != "t0"]
    assert min(others) >= 0.95
    assert served["t0"] >= 0.9 * (ROOM_PER_SECOND - 28.0) * 5.0
    assert sum(served.values()) >= 0.98 * ROOM_PER_SECOND * 5.0


def test_by_deadline_alone_the_others_pay_for_one_at_nine_times() -> None:
    """By deadline alone, calls without a tenant are refused: the reason for fair shares."""
    owner = Owner()
    served = Counter[str]()
    for _ in range(250):
        for _ in range(2):
            served["many"] += not isinstance(owner.offer(""), NotRun)
        owner.run_until(owner.now + 0.02)
    assert owner.refused[""] > 0
    assert owner.admission.waiting > 0


def test_two_tenants_share_by_weight_and_demand() -> None:
    owner = Owner(_limits(large=90.0, small=30.0))
    served = owner.run_load({"large": 80.0, "small": 80.0}, 10.0)
    ratio = served["large"] / served["small"]
    by_weight, by_demand = 3.0, 1.0
    large = (1.0 - DEMAND_PART) * by_weight / 4 + DEMAND_PART * by_demand / 2
    assert abs(ratio - large / (1.0 - large)) < 0.3


def test_a_large_tenant_is_served_at_least_half_as_often_as_the_average() -> None:
    owner = Owner()
    rates = {"large": 60.0, **{f"t{number}": 4.0 for number in range(10)}}
    served = owner.run_load(rates, 10.0)
    share_of_all = sum(served.values()) / (sum(rates.values()) * 10.0)
    assert served["large"] / (60.0 * 10.0) >= 0.5 * share_of_all
    assert min(served[name] for name in rates) > 0


def test_an_unused_share_goes_to_the_others_within_a_second() -> None:
    owner = Owner()
    owner.run_load({"one": 60.0, "other": 60.0}, 4.0)
    owner.run_until(owner.now + 0.2)
    served = owner.run_load({"one": 60.0}, 1.0)
    assert served["one"] >= 0.9 * ROOM_PER_SECOND


def test_no_tenant_is_refused_while_there_is_capacity() -> None:
    owner = Owner()
    rates = {"many": 27.0, "few": 1.0, "some": 4.0}
    served = owner.run_load(rates, 10.0)
    assert not owner.refused
    assert served["many"] == 270


def test_use_of_idle_capacity_is_not_charged_later() -> None:
    owner = Owner()
    owner.run_load({"many": 36.0, "few": 1.0}, 5.0)
    served = owner.run_load({"many": 60.0, "few": 60.0}, 5.0)
    assert 0.8 < served["many"] / served["few"] < 1.25


def test_a_tenant_is_served_in_full_once_its_burst_is_over() -> None:
    owner = Owner()
    usual = {"burst": 8.0, "one": 8.0, "other": 8.0}
    owner.run_load({**usual, "burst": 90.0}, 5.0)
    owner.run_load(usual, 0.5)
    owner.refused.clear()
    served = owner.run_load(usual, 3.0)
    assert not owner.refused
    assert served["burst"] >= 23


def test_retries_go_after_first_sends_of_any_tenant() -> None:
    owner = Owner()
    owner.fill()
    owner.offer("few", is_client_retry=True, wait=9.0)
    for _ in range(3):
        owner.offer("many", wait=9.0)
    owner.run_until(WORK_SECONDS)
    assert owner.served["many"] == 3
    assert owner.served["few"] == 1
    assert [dispatch.ticket.tenant for _, dispatch in owner._running] == ["many"] * 3 + [
        "few"
    ]


def test_more_urgent_calls_of_one_tenant_go_before_less_urgent_ones_of_another() -> None:
    queue = WaitingQueue()
    late = Ticket(1, "normal", 9.0, priority=2, tenant="few")
    urgent = [Ticket(2 + n, "normal", 9.0, priority=1, tenant="many") for n in range(3)]
    nested = Ticket(9, "critical", 9.0, priority=0, tenant="many")
    for ticket in (late, *urgent, nested):
        queue.push(ticket)
    order = []
    while (ticket := queue.peek()) is not None:
        queue.taken(ticket)
        order.append(ticket)
    assert order == [nested, *urgent, late]


def test_a_full_queue_evicts_a_call_of_the_tenant_that_holds_most() -> None:
    owner = Owner(queue=4)
    owner.fill()
    for _ in range(4):
        assert isinstance(owner.offer("many", wait=9.0), Waiting)
    decision = owner.offer("few", wait=9.0)
    assert isinstance(decision, Waiting)
    assert decision.evicted is not None
    assert decision.evicted.tenant == "many"
    refused = owner.offer("many", wait=9.0)
    assert isinstance(refused, NotRun)
    assert refused.reason == QUEUE_FULL


def test_tenants_that_hold_equal_shares_do_not_evict_each_other() -> None:
    owner = Owner(queue=4)
    owner.fill()
    for tenant in ("one", "other", "one", "other"):
        owner.offer(tenant, wait=9.0)
    assert isinstance(owner.offer("one", wait=9.0), NotRun)
    assert isinstance(owner.offer("other", wait=9.0), NotRun)


def test_a_tenant_with_few_queued_calls_has_few_calls_ahead() -> None:
    queue = WaitingQueue()
    for number in range(20):
        queue.push(Ticket(number, "normal", 9.0, tenant="many"))
    assert queue.ahead_of(Ticket(20, "normal", 9.5, tenant="many")) == 20
    assert queue.ahead_of(Ticket(21, "normal", 9.5, tenant="few")) == 0
    queue.taken(queue.peek() or Ticket(0, "normal", 0.0))
    assert queue.ahead_of(Ticket(22, "normal", 9.5, tenant="few")) == 0


def test_withdrawn_calls_cost_a_tenant_nothing() -> None:
    queue = WaitingQueue()
    gone = [Ticket(number, "normal", 1.0, tenant="one") for number in range(50)]
    for ticket in gone:
        queue.push(ticket)
    queue.push(Ticket(60, "normal", 5.0, tenant="other"))
    for ticket in gone:
        queue.remove(ticket)
    queue.push(Ticket(61, "normal", 2.0, tenant="one"))
    first = queue.peek()
    assert first is not None
    assert first.tenant == "one"


@given(st.lists(st.tuples(st.floats(0, 100), st.sampled_from([1, 2]), st.booleans())))
def test_without_tenants_the_order_is_by_rank_and_deadline(
    calls: list[tuple[float, int, bool]],
) -> None:
    queue = WaitingQueue()
    tickets = [
        Ticket(number, "normal", due, priority=priority, is_client_retry=repeat)
        for number, (due, priority, repeat) in enumerate(calls)
    ]
    for ticket in tickets:
        ahead = sum(
            other.waiting and (other.rank, other.deadline) <= (ticket.rank, ticket.deadline)
            for other in tickets
        )
        assert queue.ahead_of(ticket) == ahead
        queue.push(ticket)
    order = []
    while (first := queue.peek()) is not None:
        queue.remove(first)
        order.append(first)
    assert order == sorted(tickets, key=lambda t: (t.rank, t.deadline, t.number))


@given(
    st.lists(
        st.tuples(st.sampled_from(["push", "take", "remove"]), st.sampled_from("abc")),
        max_size=80,
    )
)
def test_no_ticket_is_lost_or_served_twice(steps: list[tuple[str, str]]) -> None:
    queue = WaitingQueue()
    inside: dict[int, Ticket] = {}
    for number, (step, tenant) in enumerate(steps):
        if step == "push":
            inside[number] = Ticket(number, "normal", float(number % 7), tenant=tenant)
            queue.push(inside[number])
        elif inside:
            first = queue.peek()
            assert first is not None
            ticket = first if step == "take" else next(iter(inside.values()))
            assert inside.pop(ticket.number) is ticket
            (queue.taken if step == "take" else queue.remove)(ticket)
        assert len(queue) == len(inside)
    assert (queue.peek() is None) == (not inside)


def test_weights_follow_limits_and_demand_and_are_forgotten() -> None:
    shares = ShareWeights(_limits(large=30.0, small=10.0))
    for _ in range(30):
        shares.asked("large", 0.0)
    for _ in range(10):
        shares.asked("small", 0.0)
    assert abs(shares.weight("large") - 0.75) < 1e-9
    assert abs(shares.weight("small") - 0.25) < 1e-9
    shares.asked("small", 60.0)
    assert len(shares) == 1
    assert shares.weight("large") > 0.0


def test_weights_stay_finite_over_days_without_calls() -> None:
    shares = ShareWeights(ConfiguredWeights())
    for now in (0.0, 3.9, 8.0, 100_000.0, 200_000.0):
        shares.asked("one", now)
        assert abs(shares.weight("one") - 1.0) < 1e-9
