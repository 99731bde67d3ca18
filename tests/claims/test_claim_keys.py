"""Validation of idempotency keys: length, characters, and the age of a UUID version 7."""

import uuid

from hypothesis import given
from hypothesis import strategies as st
from returns.pipeline import is_successful

from peppershore.process.claims.keys import CLOCK_MARGIN_MILLISECONDS, check_key

DAY = 86_400_000
NOW = 1_790_000_000_000


def timed_key(unix_milliseconds: int) -> str:
    return str(uuid.UUID(int=(unix_milliseconds << 80) | (7 << 76) | (2 << 62) | 12345))


def test_a_key_older_than_the_horizon_is_refused():
    oldest = NOW - DAY + CLOCK_MARGIN_MILLISECONDS
    assert is_successful(check_key(timed_key(oldest), NOW, DAY))
    assert not is_successful(check_key(timed_key(oldest - 1), NOW, DAY))


def test_a_key_from_the_future_is_refused():
    latest = NOW + CLOCK_MARGIN_MILLISECONDS
    assert is_successful(check_key(timed_key(latest), NOW, DAY))
    assert not is_successful(check_key(timed_key(latest + 1), NOW, DAY))


def test_keys_without_a_time_are_bounded_only():
    assert is_successful(check_key("payout-2026-000017", NOW, DAY))
    for bad in ("short", "x" * 201, "pay\n00000001", "påyout-0000001"):
        assert not is_successful(check_key(bad, NOW, DAY))


@given(st.text(max_size=300))
def test_no_text_raises(key):
    check_key(key, NOW, DAY)


@given(st.integers(4, DAY), st.integers(-DAY, DAY), st.integers(-DAY, DAY))
def test_a_timed_key_is_taken_within_one_horizon_only(horizon, first, second):
    """Whenever two nodes take the same key, its first record is still kept."""
    key = timed_key(NOW)
    if all(is_successful(check_key(key, NOW + at, horizon)) for at in (first, second)):
        assert abs(first - second) <= horizon


def test_a_short_horizon_still_takes_fresh_keys():
    assert is_successful(check_key(timed_key(NOW), NOW, 600_000))
    assert is_successful(check_key(timed_key(NOW - 449_000), NOW, 600_000))
    assert not is_successful(check_key(timed_key(NOW - 451_000), NOW, 600_000))
