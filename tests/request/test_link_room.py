"""A link accepts what it can carry in time, one by one; small messages are not delayed."""

from __future__ import annotations

import pytest
from benchmarks.call_model import Clock
from benchmarks.link_model import Pipe

from peppershore.request.back_ends.link_room import (
    BYTES_PER_MEGABIT,
    LEAST_SHARE,
    LINK_QUEUE_SECONDS,
    MARGIN_SECONDS,
    PIECE_SECONDS,
    TYPICAL_BYTES,
    USABLE_SHARE,
    LinkPace,
    LinkRoom,
    Transfer,
)

MEGABITS = 6.0
OBJECTIVE_SECONDS = 1.0
RATES = (1.0, 3.9, 6.0)


def _accepted(room: LinkRoom, due: float, now: float = 0.0, work: float = 0.0) -> Transfer:
    offered = room.offer("frames", due, work, now)
    assert isinstance(offered, Transfer)
    return offered


def _arrived(room: LinkRoom, octets: int, due: float) -> Transfer:
    """Return an accepted transfer whose bytes have all arrived."""
    transfer = _accepted(room, due)
    room.set_length(transfer, octets)
    room.received(transfer, octets, 0.0)
    return transfer


@pytest.mark.parametrize("megabits", RATES)
def test_only_transfers_that_complete_in_time_are_accepted(megabits: float) -> None:
    room = LinkRoom(megabits)
    due = 8 * TYPICAL_BYTES / room.rate + MARGIN_SECONDS + 0.001
    for _ in range(8):
        _accepted(room, due)
    late = room.offer("frames", due, 0.0, 0.0)
    assert isinstance(late, float)
    assert late == pytest.approx(TYPICAL_BYTES / room.rate, abs=0.01)
    assert room.transfers == 8


def test_a_refusal_returns_the_expected_lateness() -> None:
    room = LinkRoom(MEGABITS)
    assert room.offer("frames", 0.0, 0.5, 0.0) == pytest.approx(
        0.5 + TYPICAL_BYTES / room.rate + MARGIN_SECONDS
    )
    assert room.transfers == 0


def test_a_removed_transfer_makes_room_for_another() -> None:
    room = LinkRoom(MEGABITS)
    due = 1.5 * TYPICAL_BYTES / room.rate
    gone = _accepted(room, due)
    assert isinstance(room.offer("frames", due, 0.0, 0.0), float)
    room.over(gone, is_whole=False)
    _accepted(room, due)


def test_work_overlaps_with_transfers_ahead() -> None:
    """Transfers ahead and the call's own work overlap: the longer of the two counts."""
    room = LinkRoom(MEGABITS)
    one = TYPICAL_BYTES / room.rate
    _accepted(room, OBJECTIVE_SECONDS)
    _accepted(room, 2.0 * one + MARGIN_SECONDS + 0.001, work=one)


def test_a_begun_transfer_is_completed_before_one_due_sooner() -> None:
    room = LinkRoom(MEGABITS)
    first = _arrived(room, 20_000, 5.0)
    assert room.next(0.0) is first
    room.forwarded(first, 5_000)
    sooner = _arrived(room, 20_000, 2.0)
    assert room.next(0.0) is first
    room.forwarded(first, 15_000)
    room.over(first, is_whole=True)
    assert room.next(0.0) is sooner


def test_transfers_that_can_be_in_time_go_before_late_ones() -> None:
    room = LinkRoom(MEGABITS)
    late = _arrived(room, 100_000, 0.5)
    in_time = _arrived(room, 100_000, 2.0)
    assert room.next(1.0) is in_time
    room.over(in_time, is_whole=True)
    assert room.next(1.0) is late


def test_a_blocked_receiver_does_not_delay_others() -> None:
    room = LinkRoom(MEGABITS)
    slow = _arrived(room, 20_000, 1.0)
    other = _arrived(room, 20_000, 2.0)
    room.forwarded(slow, 1_000)
    slow.blocked = True
    assert room.next(0.0) is other
    slow.blocked = False
    assert room.next(0.0) is slow


def test_sizes_of_a_route_are_learned() -> None:
    room = LinkRoom(MEGABITS)
    for _ in range(20):
        transfer = _arrived(room, 90_000, 9.0)
        room.forwarded(transfer, 90_000)
        room.over(transfer, is_whole=True)
    assert room.size_of("frames") == pytest.approx(90_000)
    assert room.size_of("other") == pytest.approx(90_000)
    assert room.wait(0.0) == pytest.approx(90_000 / room.rate)


def test_a_length_that_becomes_known_counts_at_once() -> None:
    room = LinkRoom(MEGABITS)
    transfer = _accepted(room, 9.0)
    before = room.wait(0.0)
    room.set_length(transfer, 10 * TYPICAL_BYTES)
    assert room.wait(0.0) == pytest.approx(before + 9 * TYPICAL_BYTES / room.rate)


def test_small_messages_reduce_the_rate_for_large_ones() -> None:
    room = LinkRoom(MEGABITS)
    room.small_sent(int(room.rate / 2), 1.0)
    assert room.left_rate == pytest.approx(room.rate / 2, rel=0.01)
    room.small_sent(int(room.rate * 3), 1.0)
    assert room.left_rate == pytest.approx(room.rate * LEAST_SHARE)


def _small_waits(megabits: float, large_bytes: int, small_every: float) -> list[float]:
    """Return how long each small message waited behind large answers on the link."""
    clock = Clock()
    link = Pipe(clock, megabits)
    pace = LinkPace(megabits * BYTES_PER_MEGABIT * USABLE_SHARE, 0.0)
    left = [large_bytes]
    waits: list[float] = []

    def tick() -> None:
        while left[0] and pace.may_send(clock.now):
            octets = min(pace.piece, left[0])
            left[0] -= octets
            pace.sent(octets)
            link.carry(octets, lambda: None)
        if left[0]:
            clock.after(pace.pause, tick)

    def small() -> None:
        waits.append(link.backlog_seconds)
        link.carry(100, lambda: None)
        pace.sent(100)
        if left[0]:
            clock.after(small_every, small)

    tick()
    clock.after(0.0005, small)
    clock.run(60.0)
    assert left == [0]
    return waits


@pytest.mark.parametrize("megabits", RATES)
def test_a_small_message_waits_no_longer_than_the_bound(megabits: float) -> None:
    """The bytes in the system's buffers count too: they are the link's queue here."""
    waits = _small_waits(megabits, 1_000_000, 0.0071)
    assert len(waits) > 50
    assert max(waits) <= LINK_QUEUE_SECONDS + PIECE_SECONDS


@pytest.mark.parametrize("megabits", RATES)
def test_the_link_is_kept_busy(megabits: float) -> None:
    clock = Clock()
    pace = LinkPace(megabits * BYTES_PER_MEGABIT * USABLE_SHARE, 0.0)
    sent = 0
    while clock.now < 10.0:
        while pace.may_send(clock.now):
            pace.sent(pace.piece)
            sent += pace.piece
        clock.run(clock.now + pace.pause)
    assert sent >= 0.97 * pace.rate * 10.0
