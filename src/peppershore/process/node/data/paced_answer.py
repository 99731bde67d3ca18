"""An attempt whose large answer is buffered here until its turn on the link.

Wraps an attempt and sits between it and the receiver of its answer. The answer is read as
far as there is room to buffer it, if possible to its end, so that the attempt ends and its
slot is free while the answer still waits. It is then forwarded in chunks as the link
carries them.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import msgspec

from peppershore.connection.http_head import AnswerHead, HeaderList
from peppershore.process.node.data.attempt import Attempt, AttemptSink
from peppershore.process.node.data.large_answers import LargeAnswers
from peppershore.request.back_ends.link_room import Transfer
from peppershore.request.outcome import Failed, NotRun

SMALL_ANSWER_BYTES = 4 * 1024
"""A complete answer up to this size is sent at once, even if a large one was expected."""


class LargeTerms(msgspec.Struct, frozen=True):
    """What is known of a large answer before the attempt starts.

    ``due``: when it should be sent completely (monotonic seconds); ``work``: seconds until
    its first bytes, 0 if unknown; ``elsewhere``: whether a call that is refused here may be
    accepted at another back end.
    """

    route: str
    due: float
    work: float
    elsewhere: bool


class PacedAnswer:
    """One attempt, and the buffered part of its answer."""

    __slots__ = (
        "_attempt",
        "_scheduler",
        "_ended",
        "_head",
        "_is_paused",
        "_finished",
        "_pieces",
        "_sink",
        "_terms",
        "_trailers",
        "_transfer",
    )

    def __init__(
        self,
        scheduler: LargeAnswers,
        terms: LargeTerms,
        sink: AttemptSink,
        make: Callable[[AttemptSink], Attempt],
    ) -> None:
        """Create the attempt with ``make``; nothing is sent before ``start``.

        ``scheduler`` decides when the answer is sent, and ``sink`` receives it.
        """
        self._scheduler = scheduler
        self._terms = terms
        self._sink = sink
        self._attempt = make(self)
        self._transfer: Transfer | None = None
        self._head: AnswerHead | None = None
        self._pieces: deque[bytes] = deque()
        self._trailers: HeaderList = []
        self._ended = False
        self._finished = False
        self._is_paused = False

    # --- the interface Attempt

    def start(self) -> None:
        """Reserve room on the link, then start the attempt; fail it if there is none."""
        terms = self._terms
        offered = self._scheduler.offer(terms.route, terms.due, terms.work, self)
        if isinstance(offered, NotRun):
            self._finished = True
            refusal = msgspec.structs.replace(offered, retryable=terms.elsewhere)
            self._sink.attempt_failed(refusal)
            return
        self._transfer = offered
        self._attempt.start()

    def send_data(self, data: bytes) -> None:
        """Queue a chunk of the request's body."""
        self._attempt.send_data(data)

    def send_end(self, trailers: HeaderList) -> None:
        """Queue the end of the request's body."""
        self._attempt.send_end(trailers)

    def flush(self) -> None:
        """Send what is queued of the request."""
        self._attempt.flush()

    def cancel(self) -> None:
        """Cancel the attempt and discard the buffered answer, so others get the link."""
        self._finish(is_complete=False)
        self._attempt.cancel()

    def settle(self) -> bool:
        """Stop at the deadline; return whether the sink will still receive the outcome.

        False if not; the attempt must then be cancelled. Always False once the answer is
        complete here: the attempt has nothing more to report.
        """
        return not self._ended and self._attempt.settle()

    def pause_answer(self) -> None:
        """Pause this answer, as its receiver accepts no more; other answers go on."""
        if self._transfer is not None:
            self._transfer.blocked = True

    def resume_answer(self) -> None:
        """Resume sending the answer."""
        if self._transfer is not None:
            self._transfer.blocked = False
            self._scheduler.send_due()

    # --- AttemptSink (called by the attempt)

    def attempt_begun(self) -> None:
        """Forward that the attempt has begun and accepts the request's body."""
        self._sink.attempt_begun()

    def answer_head(self, head: AnswerHead) -> None:
        """Store the head until the first chunk of the answer is sent."""
        self._head = head
        if head.content_length is not None and self._transfer is not None:
            self._scheduler.room.set_length(self._transfer, head.content_length)

    def answer_data(self, data: bytes) -> None:
        """Buffer a chunk of the answer; pause reading when there is no room for more."""
        if self._finished or self._transfer is None:
            return
        self._pieces.append(bytes(data))
        self._scheduler.received(self._transfer, len(data))
        if not self._is_paused and not self._scheduler.may_buffer_more(self._transfer):
            self._is_paused = True
            self._attempt.pause_answer()
            self._scheduler.pause_until_room(self)

    def answer_batch_ended(self) -> None:
        """Send what the link accepts, as no more can be read for now."""
        self._scheduler.send_due()

    def answer_ended(self, trailers: HeaderList) -> None:
        """Note that the answer is complete here; send a small one at once."""
        if self._finished or self._transfer is None:
            return
        self._ended = True
        self._trailers = trailers
        if self._transfer.held <= SMALL_ANSWER_BYTES and not self._transfer.blocked:
            self.send_up_to(SMALL_ANSWER_BYTES)
        else:
            self._scheduler.send_due()

    def attempt_failed(self, failed: Failed) -> None:
        """Discard the buffered answer and forward the failure."""
        if self._finished:
            return
        self._finish(is_complete=False)
        self._sink.attempt_failed(failed)

    def sending_paused(self) -> None:
        """Forward that the back end accepts no more of the request's body for now."""
        self._sink.sending_paused()

    def sending_resumed(self) -> None:
        """Forward that the back end accepts the request's body again."""
        self._sink.sending_resumed()

    # --- LargeSender

    def send_up_to(self, octets: int) -> None:
        """Forward up to ``octets`` bytes of the answer, and its end after the last."""
        transfer = self._transfer
        assert transfer is not None
        data = self._take_pieces(octets)
        self._scheduler.forwarded(transfer, len(data))
        if self._head is not None:
            head = self._head
            self._head = None
            self._sink.answer_head(head)
        if data:
            self._sink.answer_data(data)
        if self._ended and not transfer.held:
            self._finish(is_complete=True)
            self._sink.answer_ended(self._trailers)
        else:
            self._sink.answer_batch_ended()
            self._resume_if_small()

    def resume_reading(self) -> None:
        """Resume reading the answer from the back end if that was paused."""
        if self._is_paused and not self._finished:
            self._is_paused = False
            self._attempt.resume_answer()

    # --- internal

    def _resume_if_small(self) -> None:
        """Resume reading if little of this answer is buffered, whatever others have."""
        if self._transfer is not None and self._scheduler.may_buffer_more(self._transfer):
            self.resume_reading()

    def _take_pieces(self, octets: int) -> bytes:
        taken: list[bytes] = []
        while self._pieces and octets > 0:
            piece = self._pieces.popleft()
            if len(piece) > octets:
                self._pieces.appendleft(piece[octets:])
                piece = piece[:octets]
            octets -= len(piece)
            taken.append(piece)
        return b"".join(taken)

    def _finish(self, *, is_complete: bool) -> None:
        if self._finished:
            return
        self._finished = True
        self._pieces.clear()
        if self._transfer is not None:
            self._scheduler.finished(self._transfer, is_complete)
            self._transfer = None
