"""A narrow link receives few large bodies at a time, a wide one any number."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from peppershore.connection.call_link import ReceiveWindow
from peppershore.connection.messages.calls import STREAM_WINDOW_BYTES
from peppershore.request.body_transfers import (
    LEAST_WINDOW_BYTES,
    MIN_TRANSFERS,
    BodyTransfers,
)

NARROW = 3.9
WIDE = 1_000.0


def test_link_of_unknown_rate_sets_no_limit() -> None:
    transfers = BodyTransfers()
    assert all(transfers.begin() for _ in range(10_000))
    assert transfers.window_bytes == STREAM_WINDOW_BYTES


def test_narrow_link_limits_transfers_and_window() -> None:
    transfers = BodyTransfers(NARROW)
    assert [transfers.begin() for _ in range(4)] == [True] * MIN_TRANSFERS + [False] * 2
    assert transfers.window_bytes == LEAST_WINDOW_BYTES
    transfers.end()
    assert transfers.has_room


def test_wide_link_allows_hundreds_of_transfers() -> None:
    transfers = BodyTransfers(WIDE)
    assert all(transfers.begin() for _ in range(400))
    assert transfers.window_bytes == STREAM_WINDOW_BYTES


@given(st.floats(0.001, 100_000.0))
def test_any_link_takes_some(megabits: float) -> None:
    transfers = BodyTransfers(megabits)
    assert transfers.begin()
    assert LEAST_WINDOW_BYTES <= transfers.window_bytes <= STREAM_WINDOW_BYTES


def test_small_window_returns_credit_in_smaller_pieces() -> None:
    window = ReceiveWindow(LEAST_WINDOW_BYTES)
    assert window.taken(LEAST_WINDOW_BYTES // 4 - 1) == 0
    assert window.taken(1) == LEAST_WINDOW_BYTES // 4
