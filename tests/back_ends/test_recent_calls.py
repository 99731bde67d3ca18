"""Counts of calls sent lately, and what another process tells of its own."""

from __future__ import annotations

from peppershore.request.back_ends.recent_calls import RecentCalls


def sent(*times: float) -> RecentCalls:
    calls = RecentCalls()
    for at in times:
        calls.add(at)
    return calls


def test_calls_are_counted_until_they_leave_the_window() -> None:
    calls = sent(1.0, 1.0, 2.0, 4.9)
    assert (calls.since(0.9), calls.since(1.5)) == (4, 2)
    calls.add(5.5)
    assert calls.since(0.0) == 3
    assert 6.0 <= calls.leaves_window_at(1, 0.0) <= 6.1


def test_counts_told_by_age_are_counted_by_a_process_that_started_later() -> None:
    told = sent(7.1, 7.2, 8.4, 9.9).by_age(10.0)
    assert sum(told) == 4
    calls = sent(9.9)
    calls.add_earlier(told, 10.0, before=9.5)
    assert calls.since(6.0) == 4
    assert calls.since(9.45) == 1


def test_counts_of_a_time_that_was_counted_here_are_left_out() -> None:
    calls = sent(9.0, 9.5)
    calls.add_earlier((2, 1), 10.0, before=5.0)
    assert calls.since(5.0) == 2


def test_nonsense_from_a_peer_is_bounded() -> None:
    calls = RecentCalls()
    calls.add_earlier((-5, 0, *([1] * 10_000)), 10.0, before=10.0)
    assert calls.since(0.0) <= 8
