"""While large answers are sent, a small message waits no longer than its bound on any link.

Runs in virtual time; the link's queue models the buffers of the operating system and of the
network.
"""

from __future__ import annotations

import pytest
from tests.data_plane.wire import SMALL_BYTES, Wire

from peppershore.request.back_ends.link_room import (
    LINK_QUEUE_SECONDS,
    PIECE_SECONDS,
    Transfer,
)
from peppershore.request.outcome import LINK_FULL, NotRun

RATES = (1.0, 3.9, 6.0)


class Sender:
    """A large answer that is completely buffered."""

    def __init__(self, wire: Wire, octets: int, due: float) -> None:
        self.wire = wire
        self.left = octets
        self.through_at = 0.0
        self.resumed_count = 0
        offered = wire.scheduler.offer("frames", due, 0.0, self)
        self.refusal = offered if isinstance(offered, NotRun) else None
        self.transfer: Transfer | None = None
        if isinstance(offered, Transfer):
            self.transfer = offered
            wire.scheduler.room.set_length(offered, octets)
            wire.scheduler.received(offered, octets)
            wire.scheduler.send_due()

    def send_up_to(self, octets: int) -> None:
        assert self.transfer is not None
        octets = min(octets, self.left)
        self.left -= octets
        self.wire.scheduler.forwarded(self.transfer, octets)
        self.wire.link.carry(octets, self._arrived)
        if not self.left:
            self.wire.scheduler.finished(self.transfer, is_complete=True)

    def resume_reading(self) -> None:
        self.resumed_count += 1

    def _arrived(self) -> None:
        if not self.left and not self.through_at:
            self.through_at = self.wire.clock.now


@pytest.mark.parametrize("megabits", RATES)
def test_a_small_message_waits_no_longer_than_the_bound(megabits: float) -> None:
    wire = Wire(megabits)
    senders = [Sender(wire, 90_000, 60.0) for _ in range(6)]
    wire.send_small(0.0073, 5.0)
    wire.clock.run(60.0)
    assert all(sender.through_at for sender in senders)
    assert max(wire.waits) <= LINK_QUEUE_SECONDS + PIECE_SECONDS


@pytest.mark.parametrize("megabits", RATES)
def test_large_answers_are_sent_in_sequence_and_keep_the_link_busy(megabits: float) -> None:
    wire = Wire(megabits)
    senders = [Sender(wire, 90_000, 60.0) for _ in range(5)]
    wire.clock.run(60.0)
    ends = [sender.through_at for sender in senders]
    assert ends == sorted(ends)
    one = 90_000 / wire.scheduler.room.rate
    for earlier, later in zip(ends, ends[1:], strict=False):
        assert later - earlier == pytest.approx(one, rel=0.1)


@pytest.mark.parametrize("megabits", RATES)
def test_a_large_answer_proceeds_while_small_messages_fill_the_link(
    megabits: float,
) -> None:
    """Large answers still proceed, at the share of the link reserved for them."""
    wire = Wire(megabits)
    every = SMALL_BYTES / (wire.scheduler.room.rate * 0.9)
    sender = Sender(wire, 30_000, 600.0)
    wire.send_small(every, 60.0)
    wire.clock.run(60.0)
    assert sender.through_at


def test_a_refusal_advises_when_to_retry() -> None:
    wire = Wire(6.0)
    senders = [Sender(wire, 90_000, 0.5) for _ in range(20)]
    refused = [sender.refusal for sender in senders if sender.refusal is not None]
    assert 10 <= len(refused) < 20
    assert {refusal.reason for refusal in refused} == {LINK_FULL}
    assert all(refusal.retryable for refusal in refused)
    assert all(refusal.retry_after_milliseconds >= 100 for refusal in refused)


def test_buffering_is_bounded_but_each_answer_may_buffer_a_little() -> None:
    wire = Wire(6.0)
    senders = [Sender(wire, 200_000, 60.0) for _ in range(5)]
    last = senders[-1]
    assert last.transfer is not None
    assert not wire.scheduler.may_buffer_more(last.transfer)
    wire.scheduler.pause_until_room(last)
    little = wire.scheduler.offer("frames", 60.0, 0.0, last)
    assert isinstance(little, Transfer)
    assert wire.scheduler.may_buffer_more(little)
    wire.clock.run(60.0)
    assert last.resumed_count == 1


def test_the_window_of_an_answer_shrinks_with_answers_in_progress() -> None:
    wire = Wire(6.0)
    alone = wire.scheduler.window_bytes
    Sender(wire, 90_000, 60.0)
    assert wire.scheduler.window_bytes == pytest.approx(alone / 2, rel=0.01)


def test_the_reported_wait_covers_the_accepted_answers() -> None:
    wire = Wire(6.0)
    assert wire.scheduler.wait_milliseconds == 0
    transfer = Sender(wire, 90_000, 60.0).transfer
    assert transfer is not None
    expected = (
        transfer.left + wire.scheduler.room.size_of("frames")
    ) / wire.scheduler.room.rate
    assert wire.scheduler.wait_milliseconds == pytest.approx(expected * 1_000, rel=0.1)
