"""The limiter of calls to a back end: no window that must comply holds too many calls."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from peppershore.request.back_ends.rate_limit import RateLimit

WINDOW_SECONDS = 4.0
MOST_SHARE, MOST_CALLS = 1.5, 5
STEP_SECONDS = 0.01


def breaches(sent: list[float], rate: float, since: float) -> list[str]:
    """Name the windows that end after ``since`` and hold more than a back end takes."""
    allowed = rate * WINDOW_SECONDS * MOST_SHARE + MOST_CALLS
    found = []
    for end in (at for at in sent if at >= since):
        counted = sum(end - WINDOW_SECONDS < at <= end for at in sent)
        if counted > allowed:
            found.append(f"{counted} in the window to {end:.2f} s")
    return found


def send(
    limit: RateLimit, demand: float, since: float, until: float, random: Random
) -> list[float]:
    """Let callers come at random from ``since`` to ``until``; give when calls went out."""
    sent: list[float] = []
    now = since
    while now < until:
        for _ in range(
            int(random.random() < demand * STEP_SECONDS) * random.choice((1, 1, 4))
        ):
            if limit.room(now) > 0:
                limit.sent(now)
                sent.append(now)
        now += STEP_SECONDS
    return sent


@given(
    rate=st.floats(0.0, 60.0),
    before=st.floats(0.0, 4.0),
    apply_seconds=st.sampled_from((2.5, 3.0, 4.0, 6.0)),
    seed=st.integers(0, 2**32),
)
def test_every_window_complies_once_the_limit_binds(
    rate: float, before: float, apply_seconds: float, seed: int
) -> None:
    """The back end got up to four times its limit until then; callers come in clumps."""
    random = Random(seed)
    limit = RateLimit(apply_seconds)
    sent = send(limit, rate * before, 0.0, 6.0, random)
    limit.named(rate, 6.0)
    sent += send(limit, 100.0, 6.0, 20.0, random)
    assert breaches(sent, rate, 6.0 + apply_seconds) == []


@pytest.mark.parametrize("rate", [0.4, 5.0, 13.2, 40.0])
def test_a_steady_limit_is_used_to_the_full(rate: float) -> None:
    limit = RateLimit(3.0)
    limit.named(rate, 0.0)
    sent = send(limit, 100.0, 0.0, 60.0, Random(1))
    assert len(sent) >= 0.95 * 60.0 * rate


def test_a_limit_that_falls_binds_at_once() -> None:
    limit = RateLimit(3.0)
    limit.named(20.0, 0.0)
    sent = send(limit, 200.0, 0.0, 10.0, Random(1))
    limit.named(5.0, 10.0)
    later = send(limit, 200.0, 10.0, 30.0, Random(2))
    assert breaches(sent + later, 5.0, 10.0) == []
    assert len(later) >= 0.8 * 20.0 * 5.0


def test_calls_still_go_to_a_back_end_that_takes_none_so_that_its_end_is_seen() -> None:
    limit = RateLimit(3.0)
    limit.named(0.0, 0.0)
    sent = send(limit, 200.0, 0.0, 20.0, Random(1))
    assert 5 <= len(sent) <= 20
    assert breaches(sent, 0.0, 0.0) == []


def test_only_an_answer_to_a_later_call_ends_the_limit() -> None:
    limit = RateLimit(3.0)
    limit.named(5.0, 10.0)
    assert not limit.not_named(sent_at=9.9)
    assert limit.rate == 5.0
    assert limit.not_named(sent_at=10.2)
    assert limit.rate is None
    assert limit.room(10.3) > 1_000


def test_a_limit_that_is_named_again_at_once_gives_no_new_time_to_comply() -> None:
    limit = RateLimit(3.0)
    limit.named(5.0, 0.0)
    sent = send(limit, 200.0, 0.0, 8.0, Random(1))
    limit.not_named(sent_at=8.0)
    limit.named(5.0, 8.1)
    sent += send(limit, 200.0, 8.1, 20.0, Random(2))
    assert breaches(sent, 5.0, 3.0) == []


@pytest.mark.parametrize("calls", [1, 3, 10])
def test_the_wait_that_is_told_is_the_wait_until_there_is_room(calls: int) -> None:
    limit = RateLimit(3.0)
    random = Random(3)
    send(limit, 60.0, 0.0, 5.0, random)
    limit.named(10.0, 5.0)
    now = 5.0
    told = limit.wait(calls, now)
    taken = 0
    while taken < calls:
        now += STEP_SECONDS
        while limit.room(now) > 0 and taken < calls:
            limit.sent(now)
            taken += 1
    assert now - 5.0 == pytest.approx(told, abs=0.5, rel=0.3)
