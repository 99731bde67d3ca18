"""Decisions about a call: deadline, class, outcome, rate, budget, retry delay."""

from __future__ import annotations

import pytest
from returns.result import Failure, Success

from peppershore.connection.http_head import RequestHead
from peppershore.process.randomness import Randomness
from peppershore.request.caller_rate import CallerRates
from peppershore.request.classification import classify, prioritize_nested
from peppershore.request.deadline import parse_remaining, remaining_milliseconds
from peppershore.request.outcome import NotRun, Unknown, worse
from peppershore.request.retry_budget import (
    MAX_DELAY_SECONDS,
    RESERVE_TOKENS,
    RetryBudget,
    retry_delay,
)
from peppershore.version.active import ActiveConfiguration
from peppershore.version.model import RouteResource, RouteSettings, Scope

RANDOM = Randomness(1)


def _configuration(**settings: object) -> ActiveConfiguration:
    route = RouteSettings(path_prefix="/pay", methods=("POST",), **settings)  # type: ignore[arg-type]
    routes = (RouteResource("kassa", "pay", route),)
    return ActiveConfiguration(Scope("edge", "a"), 3, 1, routes, {}, {})


def _head(length: int | None = 0, **headers: str) -> RequestHead:
    fields = [
        (name.replace("_", "-").encode(), value.encode()) for name, value in headers.items()
    ]
    return RequestHead(b"POST", b"/pay/1?x=/other", fields, length)


def test_plan_takes_its_settings_from_the_route() -> None:
    planned = classify(_configuration(call_class="critical"), _head(), 5.0, RANDOM).unwrap()
    assert (planned.target, planned.route, planned.call_class) == (
        "kassa",
        "pay",
        "critical",
    )
    assert planned.deadline == 15.0
    assert not planned.repeatable


@pytest.mark.parametrize(
    ("header", "expected"),
    [("200", 5.2), ("999999", 15.0), ("-1", 15.0), ("1e9", 15.0), ("9" * 30, 15.0)],
)
def test_callers_deadline_shortens_and_never_lengthens(
    header: str, expected: float
) -> None:
    head = _head(peppershore_deadline_milliseconds=header)
    assert classify(_configuration(), head, 5.0, RANDOM).unwrap().deadline == pytest.approx(
        expected
    )


def test_refusals_of_classification() -> None:
    assert classify(None, _head(), 0.0, RANDOM).failure().reason == "no-configuration"
    get = RequestHead(b"GET", b"/pay", [], 0)
    assert classify(_configuration(), get, 0.0, RANDOM).failure() == NotRun(404, "no-route")
    large = classify(_configuration(max_body_bytes=10), _head(11), 0.0, RANDOM)
    assert large.failure() == NotRun(413, "body-too-large")


def test_idempotency_key_counts_only_for_calls_unsafe_to_retry() -> None:
    head = _head(idempotency_key="k-1")
    assert classify(_configuration(), head, 0.0, RANDOM).unwrap().key == "k-1"
    assert classify(_configuration(repeatable=True), head, 0.0, RANDOM).unwrap().key == ""


def test_deadline_shrinks_at_each_of_seven_hops_down_to_zero() -> None:
    remaining = 15
    seen = []
    for _ in range(7):
        remaining = remaining_milliseconds(0.0, (parse_remaining(b"%d" % remaining) or 0.0))
        seen.append(remaining)
    assert seen == sorted(seen, reverse=True)
    assert seen[0] < 15
    assert seen[-1] < 3
    assert remaining_milliseconds(10.0, 1.0) == 0


def test_unknown_overrides_not_run() -> None:
    not_run, unknown = NotRun(503, "x"), Unknown(502, "y")
    assert worse(unknown, not_run) is unknown
    assert worse(not_run, unknown) is unknown
    assert worse(None, not_run) is not_run


def test_caller_rate_is_per_caller_and_refills() -> None:
    rates = CallerRates()
    waits = [rates.wait_seconds("r", "a", 2, 0.0) for _ in range(3)]
    assert waits[:2] == [0.0, 0.0]
    assert 0.0 < waits[2] <= 0.5
    assert rates.wait_seconds("r", "b", 2, 0.0) == 0.0
    assert rates.wait_seconds("r", "a", 2, 0.5) == 0.0


def test_callers_remembered_are_bounded() -> None:
    rates = CallerRates(max_callers=10)
    for number in range(100):
        rates.wait_seconds("r", str(number), 1, 0.0)
    assert len(rates) == 10


def test_retries_are_a_share_of_calls() -> None:
    budget = RetryBudget()
    retries = 0
    for _ in range(1_000):
        budget.earn(10)
        retries += budget.spend()
    assert retries <= 100 + RESERVE_TOKENS
    assert retries > 90


def test_retry_delay_is_fully_jittered_and_bounded() -> None:
    random = Randomness(3)
    delays = [retry_delay(attempt, random) for attempt in range(1, 30)]
    assert all(0.0 <= delay < MAX_DELAY_SECONDS for delay in delays)
    assert len(set(delays)) == len(delays)
    assert max(retry_delay(1, random) for _ in range(100)) < 0.005


def test_results_are_values() -> None:
    assert isinstance(classify(_configuration(), _head(), 0.0, RANDOM), Success)
    assert isinstance(classify(None, _head(), 0.0, RANDOM), Failure)


def test_nested_call_goes_first_and_waits_longer() -> None:
    latency = _configuration(target_latency_milliseconds=100, timeout_milliseconds=600)
    outer = classify(latency, _head(), 5.0, RANDOM).unwrap()
    assert (outer.call_class, outer.start_by) == ("normal", pytest.approx(5.02))
    inner = prioritize_nested(outer, 5.0)
    assert (inner.call_class, inner.start_by) == ("critical", pytest.approx(5.24))
    assert inner.deadline == outer.deadline
