"""An attempt whose large answer waits here for its turn on the link.

Stands between an attempt and whoever takes its answer.  The answer is read whole, as far
as there is room to hold it, so that the attempt ends and its slot is free while the
answer still waits; then it is handed on in pieces, as the link carries them.
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
"""A whole answer up to this size is no large one, whatever was expected: it goes now."""


class LargeTerms(msgspec.Struct, frozen=True):
    """What is known of a large answer beforehand.

    ``due``: when it should be through (monotonic seconds); ``work``: seconds until its
    first bytes, 0 if unknown; ``elsewhere``: refused here, it may fit at another back end.
    """

    route: str
    due: float
    work: float
    elsewhere: bool


class PacedAnswer:
    """One attempt, and its answer as far as it is here."""

    __slots__ = (
        "_attempt",
        "_desk",
        "_ended",
        "_head",
        "_is_paused",
        "_over",
        "_pieces",
        "_sink",
        "_terms",
        "_trailers",
        "_transfer",
    )

    def __init__(
        self,
        desk: LargeAnswers,
        terms: LargeTerms,
        sink: AttemptSink,
        make: Callable[[AttemptSink], Attempt],
    ) -> None:
        """Nothing happens before ``start``; ``make`` gives the attempt for a sink."""
        self._desk = desk
        self._terms = terms
        self._sink = sink
        self._attempt = make(self)
        self._transfer: Transfer | None = None
        self._head: AnswerHead | None = None
        self._pieces: deque[bytes] = deque()
        self._trailers: HeaderList = []
        self._ended = False
        self._over = False
        self._is_paused = False

    # --- Attempt

    def start(self) -> None:
        """Ask for room on the link, then go."""
        terms = self._terms
        offered = self._desk.offer(terms.route, terms.due, terms.work, self)
        if isinstance(offered, NotRun):
            self._over = True
            refusal = msgspec.structs.replace(offered, retryable=terms.elsewhere)
            self._sink.attempt_failed(refusal)
            return
        self._transfer = offered
        self._attempt.start()

    def send_data(self, data: bytes) -> None:
        """Queue a piece of the request's body."""
        self._attempt.send_data(data)

    def send_end(self, trailers: HeaderList) -> None:
        """Queue the request's end."""
        self._attempt.send_end(trailers)

    def flush(self) -> None:
        """Send what is queued."""
        self._attempt.flush()

    def cancel(self) -> None:
        """Give the attempt up and drop what waits: the link is free for others."""
        self._leave(is_whole=False)
        self._attempt.cancel()

    def settle(self) -> bool:
        """Nobody knows more once the answer is here."""
        return not self._ended and self._attempt.settle()

    def pause_answer(self) -> None:
        """Whoever takes the answer takes no more for now: others go on."""
        if self._transfer is not None:
            self._transfer.blocked = True

    def resume_answer(self) -> None:
        """Go on with the answer."""
        if self._transfer is not None:
            self._transfer.blocked = False
            self._desk.kick()

    # --- AttemptSink of the attempt

    def attempt_begun(self) -> None:
        """The request's body may be given now."""
        self._sink.attempt_begun()

    def answer_head(self, head: AnswerHead) -> None:
        """Keep the head until the first piece goes."""
        self._head = head
        if head.content_length is not None and self._transfer is not None:
            self._desk.room.sized(self._transfer, head.content_length)

    def answer_data(self, data: bytes) -> None:
        """Hold a piece of the answer."""
        if self._over or self._transfer is None:
            return
        self._pieces.append(bytes(data))
        self._desk.came(self._transfer, len(data))
        if not self._is_paused and not self._desk.may_hold_more(self._transfer):
            self._is_paused = True
            self._attempt.pause_answer()
            self._desk.hold_back(self)

    def answer_batch_ended(self) -> None:
        """No more is at hand for now: send what the link takes."""
        self._desk.kick()

    def answer_ended(self, trailers: HeaderList) -> None:
        """The answer is whole here; one that is small goes at once."""
        if self._over or self._transfer is None:
            return
        self._ended = True
        self._trailers = trailers
        if self._transfer.held <= SMALL_ANSWER_BYTES and not self._transfer.blocked:
            self.send_some(SMALL_ANSWER_BYTES)
        else:
            self._desk.kick()

    def attempt_failed(self, failed: Failed) -> None:
        """There will be no whole answer."""
        if self._over:
            return
        self._leave(is_whole=False)
        self._sink.attempt_failed(failed)

    def sending_paused(self) -> None:
        """Hand the back end's slowness on."""
        self._sink.sending_paused()

    def sending_resumed(self) -> None:
        """The back end reads again."""
        self._sink.sending_resumed()

    # --- LargeSender

    def send_some(self, octets: int) -> None:
        """Hand on up to so many bytes, and the end behind the last."""
        transfer = self._transfer
        assert transfer is not None
        data = self._taken(octets)
        self._desk.went(transfer, len(data))
        if self._head is not None:
            head = self._head
            self._head = None
            self._sink.answer_head(head)
        if data:
            self._sink.answer_data(data)
        if self._ended and not transfer.held:
            self._leave(is_whole=True)
            self._sink.answer_ended(self._trailers)
        else:
            self._sink.answer_batch_ended()
            self._read_on_if_little()

    def read_on(self) -> None:
        """Read on from the back end."""
        if self._is_paused and not self._over:
            self._is_paused = False
            self._attempt.resume_answer()

    # --- inside

    def _read_on_if_little(self) -> None:
        """What holds little here may read on, whatever the others hold."""
        if self._transfer is not None and self._desk.may_hold_more(self._transfer):
            self.read_on()

    def _taken(self, octets: int) -> bytes:
        taken: list[bytes] = []
        while self._pieces and octets > 0:
            piece = self._pieces.popleft()
            if len(piece) > octets:
                self._pieces.appendleft(piece[octets:])
                piece = piece[:octets]
            octets -= len(piece)
            taken.append(piece)
        return b"".join(taken)

    def _leave(self, *, is_whole: bool) -> None:
        if self._over:
            return
        self._over = True
        self._pieces.clear()
        if self._transfer is not None:
            self._desk.over(self._transfer, is_whole)
            self._transfer = None
