"""Calls of tenants with a limit run as granted, are refused beyond it, and wait briefly."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec
import pytest
from tests.data_plane.stage import PUBLIC_ROUTE

from peppershore.connection.messages.quotas import QuotaAsked, QuotaGranted, TenantGrant
from peppershore.process.commands import Notice
from peppershore.process.node.data.notices import OverLimit
from peppershore.process.node.data.quota_gate import (
    LEAST_WAIT_SECONDS,
    LONGEST_WAIT_SECONDS,
    QuotaGate,
    wait_until,
)
from peppershore.process.node.data.quota_metrics import MAX_LABELLED_TENANTS, QuotaMetrics
from peppershore.process.quotas.refusal_lines import LINE_SECONDS, MOST_LINES, RefusalLines
from peppershore.process.randomness import Randomness
from peppershore.process.settings import QuotaSettings
from peppershore.request.classification import CallPlan
from peppershore.request.outcome import NotRun
from peppershore.version.active import ActiveConfiguration
from peppershore.version.model import Scope, TenantResource

QUOTAS = QuotaSettings(window_seconds=5.0, overshoot=0.1, slack=20.0)
LIMITED = TenantResource("studio", (), 40.0, 40.0)
FREE = TenantResource("free", ())
SHORT_SECONDS = 0.02
LONG_SECONDS = 60.0
ROUNDING_SECONDS = 1e-9
"""Tolerance: an event loop's clock counts seconds since the start of the machine, and sums
with it are rounded."""


class Stage:
    """A gate, its requests for grants, and the decisions that its calls received."""

    def __init__(self, quotas: QuotaSettings | None = QUOTAS) -> None:
        loop = asyncio.get_running_loop()
        self.now = loop.time
        self.notices: list[Notice] = []
        self.gate = QuotaGate(quotas, loop, Randomness(1), self.notices.append)
        self.asks: list[QuotaAsked] = []
        self.decisions: list[NotRun | None] = []
        self.gate.on_request = self.asks.append
        tenants = {each.name: each for each in (LIMITED, FREE)}
        scope = Scope("edge", "pasila")
        self.gate.use_configuration(ActiveConfiguration(scope, 1, 1, (), {}, {}, tenants))

    def take(self, tenant: str = "studio", *, patience: float = LONG_SECONDS) -> None:
        self.gate.take(self.plan(tenant, patience=patience), self.decided)

    def decided(self, refusal: NotRun | None) -> bool:
        self.decisions.append(refusal)
        return True

    def plan(
        self, tenant: str, *, is_counted: bool = True, patience: float = LONG_SECONDS
    ) -> CallPlan:
        return CallPlan(
            service="kassa",
            route="all",
            target="kassa",
            call_class="default",
            repeatable=True,
            hop="owner",
            deadline=self.now() + LONG_SECONDS,
            settings=PUBLIC_ROUTE,
            start_by=self.now() + patience,
            tenant=tenant,
            is_counted=is_counted,
        )

    def counted(self) -> dict[tuple[str, str], float]:
        return counted(self.gate.figures)

    def answer(self, calls: int, wait: int = 0) -> None:
        ask = self.asks[-1]
        grants = tuple(TenantGrant(each.tenant, calls, wait) for each in ask.asks)
        self.gate.answered(QuotaGranted(ask.number, grants, 400))


def play(scene: Callable[[Stage], None], quotas: QuotaSettings | None = QUOTAS) -> None:
    async def begin() -> None:
        stage = Stage(quotas)
        scene(stage)
        stage.gate.close()

    asyncio.run(begin())


def test_without_the_setting_no_call_waits_and_no_grant_is_requested() -> None:
    def scene(stage: Stage) -> None:
        stage.take()
        assert (stage.decisions, stage.asks) == ([None], [])

    play(scene, quotas=None)


def test_calls_without_a_limit_need_no_grant() -> None:
    def scene(stage: Stage) -> None:
        stage.take("free")
        stage.take("")
        stage.gate.take(stage.plan("studio", is_counted=False), stage.decided)
        assert (stage.decisions, stage.asks) == ([None, None, None], [])

    play(scene)


def test_a_call_with_a_limit_runs_when_granted() -> None:
    def scene(stage: Stage) -> None:
        stage.take()
        assert stage.decisions == []
        stage.answer(1)
        assert stage.decisions == [None]

    play(scene)


def test_beyond_the_limit_a_call_is_refused_at_once_with_retry_advice() -> None:
    def scene(stage: Stage) -> None:
        stage.take()
        stage.answer(0, wait=700)
        stage.take()
        assert len(stage.asks) == 1
        for refusal in stage.decisions:
            assert refusal is not None
            assert (refusal.status, refusal.reason) == (429, "over-limit")
            assert 600 <= refusal.retry_after_milliseconds <= 5_000

    play(scene)


def test_a_grant_of_a_call_that_has_ended_goes_to_the_next() -> None:
    def scene(stage: Stage) -> None:
        stage.gate.take(stage.plan("studio"), lambda refusal: False)
        stage.take()
        stage.answer(1)
        assert stage.decisions == [None]

    play(scene)


def test_a_call_whose_request_for_a_grant_is_not_answered_is_refused_as_retryable() -> None:
    async def scene() -> None:
        stage = Stage()
        stage.take(patience=SHORT_SECONDS)
        async with asyncio.timeout(LONG_SECONDS):
            while not stage.decisions:  # noqa: ASYNC110
                await asyncio.sleep(0.005)
        (refusal,) = stage.decisions
        assert refusal is not None
        assert (refusal.status, refusal.reason) == (503, "limit-not-known")
        assert refusal.retryable
        assert refusal.retry_after_milliseconds > 0
        stage.gate.close()

    asyncio.run(scene())


def test_a_call_waits_long_enough_for_a_request_for_grants_to_be_retried() -> None:
    """Its wait time-out for a slot may be far shorter: 80 ms at an objective of 400 ms."""

    def scene(stage: Stage) -> None:
        now = stage.now()
        plan = stage.plan("studio", patience=0.08)
        waits = {
            seconds: wait_until(msgspec.structs.replace(plan, deadline=now + seconds), now)
            for seconds in (2.0, 0.2, 0.0, -1.0)
        }
        assert waits[2.0] == now + LEAST_WAIT_SECONDS
        assert waits[0.2] == pytest.approx(now + 0.1, rel=0.0, abs=ROUNDING_SECONDS)
        assert waits[0.0] == waits[-1.0] == now
        patient = stage.plan("studio")
        assert wait_until(patient, now) == now + LONGEST_WAIT_SECONDS

    play(scene)


def test_a_refusal_is_logged_with_its_cause_and_further_ones_are_not() -> None:
    def scene(stage: Stage) -> None:
        stage.take()
        stage.answer(0, wait=700)
        stage.take()
        stage.take()
        (line,) = stage.notices
        assert isinstance(line, OverLimit)
        assert (line.tenant, line.reason, line.knowledge) == (
            "studio",
            "over-limit",
            "used-up",
        )
        assert (line.rate_per_second, line.burst, line.left_out) == (40.0, 40.0, 0)
        assert line.knowledge_age_milliseconds >= 0
        assert stage.counted() == {("studio", "over-limit"): 3.0}

    play(scene)


def test_granted_calls_are_counted_and_not_logged() -> None:
    def scene(stage: Stage) -> None:
        stage.gate.take(stage.plan("studio"), lambda refusal: False)
        stage.take()
        stage.take("free")
        stage.answer(1)
        assert stage.notices == []
        assert stage.counted() == {("studio", "granted"): 1.0}

    play(scene)


def test_log_lines_of_refusals_are_bounded_for_each_tenant_and_overall() -> None:
    lines = RefusalLines()
    assert lines.refused("studio", 100.0) == 0
    assert [lines.refused("studio", 101.0) for _ in range(3)] == [None] * 3
    assert lines.refused("studio", 100.0 + LINE_SECONDS) == 3
    assert lines.refused("studio", 100.0 + 2 * LINE_SECONDS) == 0
    many = [lines.refused(f"t{number}", 111.0) for number in range(3 * MOST_LINES)]
    assert sum(each is not None for each in many) == MOST_LINES - 1
    lines.keep_only(frozenset())
    assert lines.refused("t59", 111.0 + LINE_SECONDS) == 0


def test_series_of_tenants_are_bounded_however_many_there_are() -> None:
    figures = QuotaMetrics()
    for number in range(3 * MAX_LABELLED_TENANTS):
        figures.decided(f"t{number}", "granted")
    figures.decided("t0", "granted")
    found = counted(figures)
    assert len(found) == MAX_LABELLED_TENANTS + 1
    assert found["t0", "granted"] == 2.0
    assert found["(others)", "granted"] == 2.0 * MAX_LABELLED_TENANTS


def counted(figures: QuotaMetrics) -> dict[tuple[str, str], float]:
    (family,) = figures.collect()
    return {
        (each.labels["tenant"], each.labels["outcome"]): each.value
        for each in family.samples
        if each.name.endswith("_total")
    }


def test_a_tenant_whose_limit_is_removed_is_no_longer_counted() -> None:
    def scene(stage: Stage) -> None:
        lifted = msgspec.structs.replace(LIMITED, rate_per_second=0.0)
        scope = Scope("edge", "pasila")
        changed = ActiveConfiguration(scope, 2, 2, (), {}, {}, {"studio": lifted})
        stage.gate.use_configuration(changed)
        stage.take()
        assert (stage.decisions, stage.asks) == ([None], [])

    play(scene)
