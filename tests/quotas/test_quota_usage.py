"""Usage of limits: refusals reported to the leader, and the table shown to operators."""

from __future__ import annotations

from peppershore.command.tenant_usage_command import format_usage
from peppershore.connection.messages.operators import TenantUsage, TenantUsageAnswered
from peppershore.connection.messages.quotas import (
    QuotaAsked,
    QuotaGranted,
    TenantAsk,
    TenantGrant,
)
from peppershore.process.commands import SendMessage
from peppershore.process.quotas.decider import Decider
from peppershore.process.quotas.limits import Limit
from peppershore.process.quotas.node_grants import NodeGrants, Waiter
from peppershore.process.quotas.relay_pool import RelayPool
from peppershore.process.quotas.usage import (
    NOT_BINDING_SECONDS,
    LimitBegan,
    LimitEnded,
    Usage,
)
from peppershore_lab.quota_world import QUOTAS

START = 100.0
NODE, SOURCE = 2, 1
WINDOW = QUOTAS.window_seconds


def test_a_node_reports_each_refused_call_once_with_its_next_request() -> None:
    grants = NodeGrants(QUOTAS)
    for number in range(3):
        grants.take("studio", Waiter(number, START + 9.0), START)
    first = grants.due_ask(START)
    assert first is not None
    denied = QuotaGranted(first.number, (TenantGrant("studio", 1, 50),), 400)
    grants.answered(denied, START + 0.01)
    grants.take("studio", Waiter("early", START + 9.0), START + 0.02)
    told: list[int] = []
    for at in (START + 0.1, START + 0.3):
        grants.take("studio", Waiter("next", START + 9.0), at)
        ask = grants.due_ask(at)
        assert ask is not None
        told.append(ask.asks[0].refused)
    assert told == [3, 0]


def test_a_relay_forwards_the_refusals_of_its_nodes() -> None:
    pool = RelayPool(QUOTAS)
    told: list[int] = []
    for number, refused in enumerate((4, 5, -1)):
        ask = QuotaAsked(number, (TenantAsk("studio", 1, refused),))
        out = pool.node_asked(NODE, ask, SOURCE, START + number)
        sent = [each.message for each in out if isinstance(each, SendMessage)]
        told += [each.asks[0].refused for each in sent if isinstance(each, QuotaAsked)]
    assert told == [4, 5, 0]


def test_a_limit_begins_and_ends_to_bind_once_each() -> None:
    usage = Usage(WINDOW)
    usage.add("studio", 10, 0, START)
    assert usage.changes(START) == []
    for turn in range(4):
        usage.add("studio", 5, 3, START + 1.0 + turn)
    assert usage.changes(START + 4.0) == [LimitBegan("studio")]
    assert usage.changes(START + 4.0 + 0.9 * NOT_BINDING_SECONDS) == []
    ended = LimitEnded("studio", 3.0, 20, 12)
    assert usage.changes(START + 4.0 + NOT_BINDING_SECONDS) == [ended]
    assert usage.changes(START + 60.0) == []
    usage.add("studio", 0, 1, START + 70.0)
    assert usage.changes(START + 70.0) == [LimitBegan("studio")]


def test_usage_is_that_of_the_last_whole_window_and_fades() -> None:
    decider = Decider(QUOTAS, 1, START)
    decider.use_limits({"studio": Limit(100.0, 50.0), "free": Limit(0.0, 0.0)}, START)
    decider.answer("r/1", 1, (TenantAsk("studio", 40, 2),), START + 2.0)
    (now,) = decider.usage(START + 2.0)
    assert (now.tenant, now.used_per_second) == ("studio", 0.0)
    assert (now.admitted, now.refused, now.is_binding) == (40, 2, True)
    (later,) = decider.usage(START + 2.0 + 1.1 * WINDOW)
    assert later.used_per_second == 40 / WINDOW
    (silent,) = decider.usage(START + 2.0 + 3.0 * WINDOW)
    assert (silent.used_per_second, silent.admitted) == (0.0, 40)


def test_a_tenant_without_a_limit_any_more_is_forgotten() -> None:
    decider = Decider(QUOTAS, 1, START)
    decider.use_limits({"studio": Limit(100.0, 50.0)}, START)
    decider.answer("r/1", 1, (TenantAsk("studio", 40, 2),), START + 2.0)
    decider.use_limits({}, START + 3.0)
    assert decider.usage(START + 3.0) == ()
    decider.use_limits({"studio": Limit(100.0, 50.0)}, START + 4.0)
    (anew,) = decider.usage(START + 4.0)
    assert (anew.admitted, anew.refused) == (0, 0)


def test_the_table_has_those_at_their_limit_first_and_shares_of_all() -> None:
    tenants = (
        TenantUsage("calm", 100.0, 50.0, 10.0, 300, 0, False),
        TenantUsage("idle", 10.0, 0.0),
        TenantUsage("busy", 20.0, 10.0, 20.0, 100, 400, True),
    )
    shown = format_usage(TenantUsageAnswered("c1", True, 31.0, tenants)).splitlines()
    assert shown[0] == "counted by c1 for 31 s"
    assert [line.split()[0] for line in shown[1:]] == ["TENANT", "busy", "calm", "idle"]
    assert shown[2].split() == [
        "busy", "20.0", "20", "10", "100%", "100", "400", "25.0%", "yes",
    ]  # fmt: skip
    assert shown[4].split()[4:] == ["0%", "0", "0", "0.0%", "no"]


def test_the_table_says_so_where_nothing_is_counted() -> None:
    assert "no [quotas]" in format_usage(TenantUsageAnswered("c1", False, 0.0, ()))
    assert "no tenant" in format_usage(TenantUsageAnswered("c1", True, 3.0, ()))
