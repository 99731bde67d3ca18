"""Callers' retries: told apart from first sends, served after them, spread over time."""

from __future__ import annotations

import itertools

import pytest

from peppershore.connection.messages.endpoints import Endpoint
from peppershore.process.randomness import Randomness
from peppershore.request.admission import Admission, Dispatch, Waiting
from peppershore.request.client_retries import (
    MAX_ADVICE_SECONDS,
    MIN_ADVICE_SECONDS,
    ClientRetryPace,
    UsualDeadline,
    UsualDeadlines,
)
from peppershore.request.outcome import NO_SLOT_IN_TIME, NotRun
from peppershore.request.waiting import Ticket
from peppershore.version.model import ServiceSettings

SLOTS = 4
WORK_SECONDS = 0.1
SETTINGS = ServiceSettings(slow_start_milliseconds=0)


def test_a_call_with_less_time_than_usual_is_a_retry() -> None:
    usual = UsualDeadline()
    assert not any(usual.is_client_retry(time) for time in (4.0, 3.999, 4.0, 4.0))
    assert usual.is_client_retry(3.6)
    assert not usual.is_client_retry(3.998)


@pytest.mark.parametrize("retries", [0, 1, 2])
def test_neither_many_retries_nor_a_few_long_time_outs_change_the_usual_one(
    retries: int,
) -> None:
    usual = UsualDeadline()
    times = [4.0] * 24 + [3.5] * 24 * retries + [8.0] * (1 + retries)
    shuffled = [times[(each * 29) % len(times)] for each in range(len(times) * 3)]
    for time in shuffled:
        usual.is_client_retry(time)
    assert not usual.is_client_retry(4.0)
    assert usual.is_client_retry(3.5)


def test_a_changed_time_out_of_callers_is_learned() -> None:
    usual = UsualDeadline()
    for _ in range(100):
        usual.is_client_retry(4.0)
    assert usual.is_client_retry(2.0)
    for _ in range(100):
        usual.is_client_retry(2.0)
    assert not usual.is_client_retry(2.0)


def test_each_route_has_its_own_and_a_removed_route_is_forgotten() -> None:
    times = UsualDeadlines()
    assert not times.is_client_retry("kassa", "pay", 4.0)
    assert not times.is_client_retry("kassa", "ledger", 0.6)
    assert times.is_client_retry("kassa", "pay", 0.6)
    assert not times.is_client_retry("kassa", "pay", None)
    times.keep_only(lambda *name: name == ("kassa", "ledger"))
    assert not times.is_client_retry("kassa", "pay", 0.6)


def test_retry_advice_is_spread_by_the_rate_of_answers() -> None:
    pace = ClientRetryPace()
    for number in range(200):
        pace.answered(number / 20)
    advice = [pace.book(0.1, 10.0) for _ in range(6)]
    assert advice[0] == pytest.approx(MIN_ADVICE_SECONDS)
    gaps = [later - earlier for earlier, later in itertools.pairwise(advice)]
    assert all(0.05 < gap < 0.2 for gap in gaps)
    assert pace.book(0.1, 12.0) == pytest.approx(MIN_ADVICE_SECONDS)


def test_advice_is_bounded_and_never_before_a_slot_is_likely() -> None:
    pace = ClientRetryPace()
    assert [pace.book(1.3, 1.0) for _ in range(3)] == pytest.approx([1.3] * 3)
    pace.answered(1.0)
    advised = [pace.book(1.3, 1.0) for _ in range(100)]
    assert all(1.3 - 1e-9 <= each <= MAX_ADVICE_SECONDS for each in advised)
    assert advised[-1] == MAX_ADVICE_SECONDS
    assert pace.book(0.1, 1.0 + 2 * MAX_ADVICE_SECONDS) < MAX_ADVICE_SECONDS


class QueueHarness:
    """One back end whose slots are all in use, and the calls that wait for it."""

    def __init__(self) -> None:
        endpoint = Endpoint("n1", "k", "a", 1, 1, "ready", "10.0.0.1:1", "", SLOTS, 130)
        self.admission = Admission("k", SETTINGS, "a", Randomness(1))
        self.admission.use_endpoints((endpoint,), 0.0)
        self._numbers = itertools.count(1)
        for _ in range(3):
            held = [self._dispatched() for _ in range(SLOTS)]
            for dispatch in held:
                self.admission.finished(dispatch, WORK_SECONDS, "good", 0.0)
        self.held = [self._dispatched() for _ in range(SLOTS)]

    def offer(
        self,
        *,
        is_client_retry: bool = False,
        wait_seconds: float = 10.0,
        deadline: float = 10.0,
    ) -> Dispatch | Waiting | NotRun:
        ticket = Ticket(
            next(self._numbers),
            "normal",
            deadline,
            start_by=wait_seconds,
            is_client_retry=is_client_retry,
        )
        return self.admission.offer(ticket, 0.0)

    def _dispatched(self) -> Dispatch:
        dispatch = self.offer()
        assert isinstance(dispatch, Dispatch)
        return dispatch


def test_a_first_send_goes_before_a_retry_with_less_time_left() -> None:
    harness = QueueHarness()
    assert isinstance(harness.offer(is_client_retry=True, deadline=3.0), Waiting)
    assert isinstance(harness.offer(deadline=4.0), Waiting)
    harness.admission.finished(harness.held.pop(), WORK_SECONDS, "good", 0.0)
    (started,) = harness.admission.ready(0.0)
    assert not started.ticket.is_client_retry


def test_a_call_is_refused_at_once_if_no_slot_is_expected_in_time() -> None:
    harness = QueueHarness()
    waiting = 0
    while isinstance(outcome := harness.offer(wait_seconds=WORK_SECONDS), Waiting):
        waiting += 1
    assert isinstance(outcome, NotRun)
    assert outcome.reason == NO_SLOT_IN_TIME
    assert SLOTS <= waiting <= 3 * SLOTS
    assert outcome.retry_after_milliseconds >= 1_000 * WORK_SECONDS


def test_a_waiting_call_is_given_up_after_its_wait_time_out() -> None:
    harness = QueueHarness()
    assert isinstance(harness.offer(wait_seconds=0.05), Waiting)
    assert isinstance(harness.offer(), Waiting)
    assert harness.admission.take_timed_out(0.04) == []
    (given_up,) = harness.admission.take_timed_out(0.05)
    assert given_up.start_by == 0.05
    assert harness.admission.waiting == 1
