"""Unit tests of quotas: bucket terms, leader, relay, node and retry times."""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from peppershore.connection.messages.quotas import (
    QuotaAsked,
    QuotaGranted,
    TenantAsk,
    TenantGrant,
)
from peppershore.process.commands import Command, SendMessage
from peppershore.process.quotas.decider import AHEAD_SECONDS, RELAY_EXPIRY_SECONDS, Decider
from peppershore.process.quotas.limits import Limit, tenant_limits
from peppershore.process.quotas.node_grants import (
    Denied,
    Granted,
    NodeGrants,
    Unanswered,
    Waiter,
)
from peppershore.process.quotas.relay_pool import RelayPool
from peppershore.process.quotas.relay_tenant import RelayTenant
from peppershore.process.quotas.terms import lease_seconds, most_calls, terms_of
from peppershore.process.quotas.turns import MAX_RETRY_SECONDS, Turns
from peppershore.process.settings import QuotaSettings
from peppershore.version.model import Tenant
from peppershore.version.tree import empty_tree

QUOTAS = QuotaSettings(window_seconds=5.0, overshoot=0.1, slack=20.0)
LEASE = 0.4
SOURCE = 1
NODE, OTHER_NODE = 2, 4
START = 1_000.0
ONE = (TenantAsk("studio", 1),)
MUCH = 10_000


# --- terms


@given(
    st.floats(0.01, 50_000),
    st.floats(0, 100_000),
    st.floats(0.5, 60),
    st.floats(0, 1),
    st.floats(0, 200),
)
def test_terms_never_allow_more_than_the_bound(
    rate: float, burst: float, window: float, overshoot: float, slack: float
) -> None:
    quotas = QuotaSettings(window_seconds=window, overshoot=overshoot, slack=slack)
    terms = terms_of(rate, burst, quotas)
    counted = window + lease_seconds(quotas)
    most = terms.capacity + terms.rate * counted + terms.ahead
    assert most <= most_calls(rate, burst, quotas) * (1.0 + 1e-9) + 1e-6
    assert 0.0 <= terms.rate <= rate
    assert terms.ahead >= 0


@pytest.mark.parametrize("rate", [1.0, 2.0, 10.0, 40.0, 350.0, 3_000.0])
@pytest.mark.parametrize("burst_seconds", [0.0, 0.1, 1.0, 3.0])
def test_a_limit_fills_as_fast_as_it_says(rate: float, burst_seconds: float) -> None:
    terms = terms_of(rate, rate * burst_seconds, QUOTAS)
    assert terms.rate == rate
    assert terms.capacity >= rate * burst_seconds


# --- the leader


def decider(*, rate: float = 40.0, burst: float = 40.0) -> Decider:
    deciding = Decider(QUOTAS, 3, START)
    deciding.use_limits({"studio": Limit(rate, burst), "free": Limit(0.0, 0.0)}, START)
    return deciding


def grant_of(
    deciding: Decider, now: float, calls: int = MUCH, asker: str = "r1/1"
) -> TenantGrant:
    asks = (TenantAsk("studio", calls),)
    return deciding.answer(asker, 1, asks, now).grants[0]


def test_a_bucket_starts_empty_and_returns_the_wait_for_one_call() -> None:
    grant = grant_of(decider(), START)
    assert (grant.calls, grant.wait_milliseconds) == (0, 25)


def test_a_bucket_never_holds_more_than_its_capacity() -> None:
    grant = grant_of(decider(), START + 3_600.0)
    assert grant.calls == int(terms_of(40.0, 40.0, QUOTAS).capacity)


def test_a_tenant_without_limit_is_granted_all() -> None:
    answer = decider().answer("r1/1", 1, (TenantAsk("free", 70),), START)
    assert answer.grants == (TenantGrant("free", 70),)


def test_an_unknown_tenant_is_granted_nothing() -> None:
    answer = decider().answer("r1/1", 1, (TenantAsk("nobody", 1),), START)
    assert answer.grants[0].calls == 0
    assert answer.grants[0].wait_milliseconds > 0


def test_a_relay_grants_in_advance_only_after_a_window_in_each_incarnation() -> None:
    deciding = decider()
    wait = QUOTAS.window_seconds + 2.0 * AHEAD_SECONDS
    grant_of(deciding, START)
    assert grant_of(deciding, START + wait - 0.01).ahead == 0
    alone = grant_of(deciding, START + wait).ahead
    assert alone == terms_of(40.0, 40.0, QUOTAS).ahead
    reborn = START + wait + 1.0
    assert grant_of(deciding, reborn, asker="r1/2").ahead == 0
    assert grant_of(deciding, reborn).ahead == alone // 2
    assert grant_of(deciding, reborn + wait - 0.01, asker="r1/2").ahead == 0
    assert grant_of(deciding, reborn + wait, asker="r1/2").ahead == alone // 2


def test_shares_of_all_relays_stay_within_the_advance_grants() -> None:
    deciding = decider()
    askers = [f"r{number}/1" for number in range(11)]
    for asker in askers:
        grant_of(deciding, START, asker=asker)
    later = START + 8.0
    shares = [grant_of(deciding, later, asker=asker).ahead for asker in askers]
    assert sum(shares) <= terms_of(40.0, 40.0, QUOTAS).ahead
    assert all(shares)


def test_an_epoch_changes_with_limits_with_new_relays_and_with_expired_ones() -> None:
    deciding = decider()

    def epoch(now: float, asker: str = "r1/1") -> int:
        return deciding.answer(asker, 1, ONE, now).epoch

    first = epoch(START)
    assert epoch(START + 1.0) == first
    second = epoch(START + 2.0, "r2/1")
    deciding.use_limits({"studio": Limit(1.0, 1.0)}, START + 3.0)
    third = epoch(START + 3.0)
    silence = QUOTAS.window_seconds + RELAY_EXPIRY_SECONDS
    fourth = epoch(START + silence + 4.0)
    assert len({first, second, third, fourth}) == 4
    assert Decider(QUOTAS, 4, START).answer("r1/1", 1, ONE, START).epoch > fourth


def test_limits_of_a_tree_are_read_with_none_where_nothing_is_set() -> None:
    tree = empty_tree("c")
    tree.tenants["a"] = Tenant(keys=("k",), rate_per_second=3.0, burst=4.0)
    tree.tenants["b"] = Tenant(keys=("l",))
    assert tenant_limits(tree) == {"a": Limit(3.0, 4.0), "b": Limit(0.0, 0.0)}


# --- the relay


def sent(commands: list[Command], link: int) -> list[QuotaAsked | QuotaGranted]:
    return [
        each.message  # type: ignore[misc]
        for each in commands
        if isinstance(each, SendMessage) and each.link == link
    ]


def asked_by(pool: RelayPool, calls: int, now: float, number: int = 1) -> list[Command]:
    ask = QuotaAsked(number, (TenantAsk("studio", calls),))
    return pool.node_asked(NODE, ask, SOURCE, now)


def granted(number: int, calls: int, wait: int = 0, ahead: int = 0) -> QuotaGranted:
    grants = (TenantGrant("studio", calls, wait, ahead),)
    return QuotaGranted(number, grants, round(LEASE * 1_000), epoch=5)


def relay_with(calls: int, ahead: int = 0) -> RelayPool:
    """Return a relay whose request at START was granted ``calls`` calls too many."""
    pool = RelayPool(QUOTAS)
    (ask,) = sent(asked_by(pool, 1, START), SOURCE)
    pool.granted(granted(ask.number, 1 + calls, ahead=ahead), SOURCE, START + 0.01)
    return pool


def test_calls_held_by_a_relay_are_granted_for_the_rest_of_their_lease() -> None:
    pool = relay_with(3)
    (answer,) = sent(asked_by(pool, 2, START + 0.3, 9), NODE)
    assert isinstance(answer, QuotaGranted)
    assert (answer.number, answer.grants) == (9, (TenantGrant("studio", 2),))
    assert answer.lease_milliseconds <= 100


def test_calls_held_by_a_relay_expire_one_lease_after_their_request() -> None:
    pool = relay_with(3)
    assert sent(asked_by(pool, 1, START + LEASE, 9), NODE) == []


def test_an_answer_that_arrives_after_its_lease_grants_nothing() -> None:
    pool = RelayPool(QUOTAS)
    (ask,) = sent(asked_by(pool, 1, START), SOURCE)
    late = START + LEASE + 0.01
    assert sent(pool.granted(granted(ask.number, 5), SOURCE, late), NODE) == []
    assert sent(asked_by(pool, 1, late, 9), NODE) == []


def test_an_answer_counts_once() -> None:
    pool = relay_with(0)
    pool.granted(granted(1, 9), SOURCE, START + 0.02)
    assert sent(asked_by(pool, 1, START + 0.03, 9), NODE) == []


def test_a_relay_grants_no_more_in_advance_than_it_was_allowed() -> None:
    pool = relay_with(0, ahead=2)
    first = sent(asked_by(pool, 1, START + 0.02, 7), NODE)
    second = sent(asked_by(pool, 1, START + 0.03, 8), NODE)
    third = sent(asked_by(pool, 1, START + 0.04, 9), NODE)
    assert [len(first), len(second), len(third)] == [1, 1, 0]


def test_grants_cover_debts_before_anything_else() -> None:
    pool = relay_with(0, ahead=1)
    asked_by(pool, 1, START + 0.02, 7)
    (ask,) = sent(asked_by(pool, 1, START + 0.1, 8), SOURCE)
    assert isinstance(ask, QuotaAsked)
    assert ask.asks[0].calls >= 2
    out = pool.granted(granted(ask.number, 1, wait=50), SOURCE, START + 0.11)
    (answer,) = sent(out, NODE)
    assert isinstance(answer, QuotaGranted)
    assert answer.grants[0].calls == 0
    assert answer.grants[0].wait_milliseconds >= 50


def test_a_grant_covers_no_debt_made_after_its_request() -> None:
    """The grant may be older than the call, and one window could then hold too many."""
    state = RelayTenant()
    state.ahead = 2
    state.grant(1, is_ahead_valid=True, now=START)
    state.grant(1, is_ahead_valid=True, now=START + 0.2)
    assert state.cover_debts(2, sent_at=START + 0.1) == 1
    assert list(state.debts) == [START + 0.2]


def test_nothing_is_granted_in_advance_without_a_recent_answer() -> None:
    pool = relay_with(0, ahead=5)
    at = START + AHEAD_SECONDS + 0.01
    assert sent(asked_by(pool, 1, at, 9), NODE) == []


def test_a_new_epoch_ends_the_allowed_advance_grants() -> None:
    pool = relay_with(0, ahead=5)
    (ask,) = sent(asked_by(pool, 6, START + 0.05, 8), SOURCE)
    other = QuotaGranted(ask.number, (TenantGrant("studio", 0, 1, 0),), 400, epoch=6)
    pool.granted(other, SOURCE, START + 0.06)
    assert sent(asked_by(pool, 1, START + 0.2, 9), NODE) == []


def test_a_denial_is_forwarded_at_once_while_it_lasts() -> None:
    pool = RelayPool(QUOTAS)
    (ask,) = sent(asked_by(pool, 1, START), SOURCE)
    pool.granted(granted(ask.number, 0, wait=300), SOURCE, START + 0.01)
    out = asked_by(pool, 1, START + 0.1, 9)
    (answer,) = sent(out, NODE)
    assert isinstance(answer, QuotaGranted)
    assert answer.grants == (TenantGrant("studio", 0, 210),)
    assert sent(out, SOURCE) == []
    assert sent(asked_by(pool, 1, START + 0.32, 10), SOURCE)


def test_requests_of_many_nodes_are_sent_as_one() -> None:
    pool = RelayPool(QUOTAS)
    asked_by(pool, 1, START)
    for number in range(20):
        ask = QuotaAsked(number, (TenantAsk(f"t{number % 4}", 1),))
        assert sent(pool.node_asked(OTHER_NODE, ask, SOURCE, START + 0.001), SOURCE) == []
    (ask,) = sent(pool.timer(SOURCE, START + 0.011), SOURCE)
    assert isinstance(ask, QuotaAsked)
    assert sorted(each.tenant for each in ask.asks) == ["t0", "t1", "t2", "t3"]


def test_a_relay_waits_after_an_answer_that_no_replica_can_grant() -> None:
    pool = RelayPool(QUOTAS)
    (ask,) = sent(asked_by(pool, 1, START), SOURCE)
    unknown = QuotaGranted(ask.number, (), 0, is_known=False)
    assert sent(pool.granted(unknown, SOURCE, START + 0.01), SOURCE) == []
    assert sent(pool.timer(SOURCE, START + 0.02), SOURCE) == []
    assert sent(pool.timer(SOURCE, START + 0.07), SOURCE)


def test_an_idle_tenant_is_dropped_while_its_request_is_open() -> None:
    pool = RelayPool(QUOTAS)
    assert sent(asked_by(pool, 1, START), SOURCE)
    pool.link_closed(NODE)
    pool.timer(SOURCE, START + 10.0)
    pool.timer(SOURCE, START + 30.0)
    assert sent(asked_by(pool, 1, START + 31.0), SOURCE)


# --- the node


def test_a_removed_tenant_is_dropped_while_its_request_is_open() -> None:
    grants = NodeGrants(QUOTAS)
    grants.take("studio", Waiter("only", START + 0.1), START)
    assert grants.due_ask(START) is not None
    grants.expired(START + 0.1)
    grants.keep_only(frozenset())
    assert grants.due_ask(START + 0.2) is None


def node_with(calls: int, lease_milliseconds: int = 400) -> NodeGrants:
    grants = NodeGrants(QUOTAS)
    grants.take("studio", Waiter("first", START + 1.0), START)
    ask = grants.due_ask(START)
    assert ask is not None
    answer = (TenantGrant("studio", calls + 1),)
    grants.answered(QuotaGranted(ask.number, answer, lease_milliseconds), START + 0.01)
    return grants


def test_a_node_uses_each_grant_once_and_within_its_lease() -> None:
    grants = node_with(2)
    late = Waiter("late", START + 1.0)
    assert grants.take("studio", late, START + 0.1) == Granted()
    assert grants.take("studio", late, START + LEASE) is None


def test_waiting_calls_share_a_request_and_are_decided_in_order() -> None:
    grants = NodeGrants(QUOTAS)
    waiters = [Waiter(number, START + 1.0) for number in range(3)]
    for waiter in waiters:
        assert grants.take("studio", waiter, START) is None
    ask = grants.due_ask(START)
    assert ask is not None
    assert ask.asks == (TenantAsk("studio", 3),)
    answer = QuotaGranted(ask.number, (TenantGrant("studio", 2, 70),), 400)
    decided = grants.answered(answer, START + 0.002)
    assert [each[0].call for each in decided] == [0, 1, 2]
    assert [type(each[1]) for each in decided] == [Granted, Granted, Denied]
    assert isinstance(grants.take("studio", waiters[0], START + 0.01), Denied)
    assert grants.take("studio", waiters[0], START + 0.08) is None


def _denied(grants: NodeGrants, calls: int, now: float) -> None:
    for number in range(calls):
        grants.take("studio", Waiter(number, now + 1.0), now)
    ask = grants.due_ask(now)
    assert ask is not None
    answer = QuotaGranted(ask.number, (TenantGrant("studio", 0, 10),), 400)
    assert len(grants.answered(answer, now + 0.001)) == calls


def test_far_over_the_limit_retries_send_no_request_and_first_attempts_do() -> None:
    grants = NodeGrants(QUOTAS)
    _denied(grants, 6, START)
    repeat = Waiter("repeat", START + 1.0, is_repeat=True)
    assert isinstance(grants.take("studio", repeat, START + 0.1), Denied)
    assert grants.due_ask(START + 0.1) is None
    assert grants.take("studio", Waiter("first", START + 1.0), START + 0.1) is None
    assert grants.due_ask(START + 0.1) is not None


def test_a_retry_after_one_denied_clump_is_requested() -> None:
    grants = NodeGrants(QUOTAS)
    _denied(grants, 1, START)
    repeat = Waiter("repeat", START + 1.0, is_repeat=True)
    assert grants.take("studio", repeat, START + 0.1) is None


def test_retries_are_requested_again_once_the_limit_denies_no_more() -> None:
    grants = NodeGrants(QUOTAS)
    _denied(grants, 6, START)
    repeat = Waiter("repeat", START + 9.0, is_repeat=True)
    assert grants.take("studio", repeat, START + 5.0) is None


def test_a_call_without_an_answer_is_decided_at_its_wait_timeout() -> None:
    grants = NodeGrants(QUOTAS)
    grants.take("studio", Waiter("only", START + 0.3), START)
    assert grants.due_ask(START) is not None
    assert grants.due_ask(START + 0.05) is None
    assert grants.due_ask(START + 0.11) is not None
    assert grants.expired(START + 0.29) == []
    ((waiter, decision, _),) = grants.expired(START + 0.3)
    assert (waiter.call, decision) == ("only", Unanswered())
    assert grants.next_due(START + 1.0) is None or grants.due_ask(START + 1.0) is None


def test_an_answer_to_a_request_older_than_the_lease_grants_nothing() -> None:
    grants = NodeGrants(QUOTAS)
    grants.take("studio", Waiter("only", START + 9.0), START)
    ask = grants.due_ask(START)
    assert ask is not None
    answer = QuotaGranted(ask.number, (TenantGrant("studio", 1),), 400)
    assert grants.answered(answer, START + 5.0) == []


# --- retry times


def test_refused_callers_are_told_to_come_back_in_turn() -> None:
    turns = Turns()
    for call in range(20):
        turns.granted(START + call * 0.05)
    now = START + 1.0
    advice = [turns.book(0.05, 0.0, now) for _ in range(10)]
    assert advice == sorted(advice)
    assert all(later > earlier for earlier, later in zip(advice, advice[1:], strict=False))
    assert turns.book(0.05, 1.0, now) > turns.book(0.05, 0.0, now)


def test_no_advice_is_longer_than_its_bound_however_many_are_refused() -> None:
    turns = Turns()
    advice = [turns.book(2.0, 0.5, START) for _ in range(1_000)]
    assert max(advice) <= MAX_RETRY_SECONDS
    assert not math.isnan(sum(advice))
