"""A caller that disconnects midway occupies the links for at most half a second more.

Runs in virtual time; the links' queues model the buffers of the operating systems and of
the network. The answer passes through the product's code: ``PacedAnswer`` at the owner and
at the caller's node, with the window that the caller's node announces.
"""

from __future__ import annotations

import pytest
from benchmarks.call_model import Clock
from tests.data_plane.wire import Wire

from peppershore.connection.http_head import AnswerHead, HeaderList
from peppershore.process.node.data.attempt import AttemptSink
from peppershore.process.node.data.paced_answer import LargeTerms, PacedAnswer
from peppershore.request.outcome import Failed

MAX_OCCUPIED_SECONDS = 0.5
"""The bound promised to operators."""

PATH_SECONDS = 0.0015
LEAVER_BYTES = 4_000_000
OTHER_BYTES = 90_000
READ_BYTES = 16 * 1024
LEAVES_AT = 1.0
TERMS = LargeTerms("frames", 600.0, 0.0, elsewhere=False)


class _NoOp:
    """Empty implementations of the methods of attempts and sinks not needed here."""

    def send_data(self, data: bytes) -> None:
        pass

    def send_end(self, trailers: HeaderList) -> None:
        pass

    def flush(self) -> None:
        pass

    def settle(self) -> bool:
        return False

    def attempt_begun(self) -> None:
        pass

    def answer_head(self, head: AnswerHead) -> None:
        pass

    def answer_batch_ended(self) -> None:
        pass

    def sending_paused(self) -> None:
        pass

    def sending_resumed(self) -> None:
        pass

    def attempt_failed(self, failed: Failed) -> None:
        raise AssertionError(failed)


class BackEnd(_NoOp):
    """Answers at once with ``octets`` bytes, as fast as they are read."""

    def __init__(self, octets: int, sink: AttemptSink) -> None:
        self.left = octets
        self._sink = sink
        self._is_paused = False

    def start(self) -> None:
        self._sink.answer_head(AnswerHead(200, b"OK", [], self.left, True))
        self.resume_answer()

    def cancel(self) -> None:
        self.left = 0
        self._is_paused = True

    def pause_answer(self) -> None:
        self._is_paused = True

    def resume_answer(self) -> None:
        self._is_paused = False
        while self.left and not self._is_paused:
            octets = min(READ_BYTES, self.left)
            self.left -= octets
            self._sink.answer_data(b"x" * octets)
            if not self.left:
                self._sink.answer_ended([])
                return
        self._sink.answer_batch_ended()


class OwnersLink(_NoOp):
    """An attempt of the caller's node, whose answer comes over the owner's link.

    The window of the caller's node bounds the bytes in transit. It grants credit for
    the bytes that it received, except while it is paused.
    """

    def __init__(self, owner: Wire, edge: Wire, octets: int, sink: AttemptSink) -> None:
        self._owner = owner
        self._sink = sink
        self._left = octets
        self._room = edge.scheduler.window_bytes
        self._credit_withheld = 0
        self._is_paused = False
        self._is_owner_paused = False
        self.last_sent_at = 0.0
        self._paced = PacedAnswer(
            owner.scheduler, TERMS, self, lambda paced: BackEnd(octets, paced)
        )

    def start(self) -> None:
        self._owner.clock.after(PATH_SECONDS, self._paced.start)

    def cancel(self) -> None:
        self._owner.clock.after(PATH_SECONDS, self._paced.cancel)

    def pause_answer(self) -> None:
        self._is_paused = True

    def resume_answer(self) -> None:
        self._is_paused = False
        self._grant_credit(0)

    # --- AttemptSink of the owner

    def answer_data(self, data: bytes) -> None:
        self.last_sent_at = self._owner.clock.now + self._owner.link.backlog_seconds
        self._room -= len(data)
        if self._room <= 0 and not self._is_owner_paused:
            self._is_owner_paused = True
            self._paced.pause_answer()
        self._owner.link.carry(len(data), lambda: self._arrived(data))

    def answer_ended(self, trailers: HeaderList) -> None:
        pass

    def _arrived(self, data: bytes) -> None:
        self._left -= len(data)
        self._sink.answer_data(data)
        if self._left:
            self._sink.answer_batch_ended()
        else:
            self._sink.answer_ended([])
        self._grant_credit(len(data))

    def _grant_credit(self, octets: int) -> None:
        self._credit_withheld += octets
        if self._is_paused:
            return
        credit, self._credit_withheld = self._credit_withheld, 0
        self._owner.clock.after(2 * PATH_SECONDS, lambda: self._credited(credit))

    def _credited(self, octets: int) -> None:
        self._room += octets
        if self._room > 0 and self._is_owner_paused:
            self._is_owner_paused = False
            self._paced.resume_answer()


class Caller(_NoOp):
    """Requests an answer of ``octets`` bytes at the edge node, and may disconnect."""

    def __init__(self, owner: Wire, edge: Wire, octets: int) -> None:
        self._edge = edge
        self.ended_at = 0.0
        self.got = 0
        self.last_sent_at = 0.0

        def over_owner(sink: AttemptSink) -> OwnersLink:
            self.owners_link = OwnersLink(owner, edge, octets, sink)
            return self.owners_link

        self._paced = PacedAnswer(edge.scheduler, TERMS, self, over_owner)
        self._paced.start()

    def leave(self) -> None:
        self._paced.cancel()

    def answer_data(self, data: bytes) -> None:
        self.last_sent_at = self._edge.clock.now + self._edge.link.backlog_seconds
        self._edge.link.carry(len(data), lambda: self._received(len(data)))

    def answer_ended(self, trailers: HeaderList) -> None:
        self._edge.link.carry(1, self._completed)

    def _received(self, octets: int) -> None:
        self.got += octets

    def _completed(self) -> None:
        self.ended_at = self._edge.clock.now


@pytest.mark.parametrize(
    ("owner_megabits", "edge_megabits"),
    [(1.0, 1.0), (3.9, 3.9), (6.0, 6.0), (6.0, 1.0), (1.0, 6.0)],
)
def test_a_caller_that_leaves_midway_does_not_occupy_links_for_long(
    owner_megabits: float, edge_megabits: float
) -> None:
    clock = Clock()
    owner, edge = Wire(owner_megabits, clock), Wire(edge_megabits, clock)
    leaver = Caller(owner, edge, LEAVER_BYTES)
    clock.run(LEAVES_AT / 2)
    other = Caller(owner, edge, OTHER_BYTES)
    clock.run(LEAVES_AT)
    assert leaver.got > 0
    assert other.got == 0
    leaver.leave()
    clock.run(60.0)
    assert leaver.last_sent_at <= LEAVES_AT + MAX_OCCUPIED_SECONDS
    assert leaver.owners_link.last_sent_at <= LEAVES_AT + MAX_OCCUPIED_SECONDS
    narrow = min(owner.scheduler.room.rate, edge.scheduler.room.rate)
    alone = OTHER_BYTES / narrow * 1.2
    assert other.got == OTHER_BYTES
    assert other.ended_at <= LEAVES_AT + MAX_OCCUPIED_SECONDS + alone
    for wire in (owner, edge):
        assert (wire.scheduler.room.transfers, wire.scheduler.room.held) == (0, 0)


def test_a_dropped_answer_behind_another_costs_at_most_its_window() -> None:
    """It is sent only while the answer before it waits for credit."""
    clock = Clock()
    owner, edge = Wire(3.9, clock), Wire(3.9, clock)
    first = Caller(owner, edge, OTHER_BYTES)
    window = edge.scheduler.window_bytes
    leaver = Caller(owner, edge, LEAVER_BYTES)
    clock.run(0.01)
    leaver.leave()
    clock.run(60.0)
    assert first.got == OTHER_BYTES
    assert leaver.got == 0
    sent = owner.link.octets - OTHER_BYTES
    assert 0 <= sent <= window
