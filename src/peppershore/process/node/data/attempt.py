"""One try of a call at one back end, whatever way it goes there.

Ways: a connection of this node's to the back end, a stream to the back end's
own node, or this node's own back end.
"""

from __future__ import annotations

import math
from typing import Protocol

import msgspec

from peppershore.connection.http_head import AnswerHead, HeaderList, RequestHead
from peppershore.request.fingerprint import Fingerprint
from peppershore.request.outcome import Failed
from peppershore.version.model import CallClass


class AttemptSink(Protocol):
    """Takes what becomes of an attempt.  Nothing follows its end or a failure."""

    def attempt_begun(self) -> None:
        """The request's body may be given now; from here on the call may run."""

    def answer_head(self, head: AnswerHead) -> None:
        """The answer begins."""

    def answer_data(self, data: bytes) -> None:
        """A piece of the answer's body."""

    def answer_batch_ended(self) -> None:
        """No more of the answer is at hand for now: pass on what there is."""

    def answer_ended(self, trailers: HeaderList) -> None:
        """The answer is whole."""

    def attempt_failed(self, failed: Failed) -> None:
        """There will be no whole answer."""

    def sending_paused(self) -> None:
        """Give no more body bytes for now."""

    def sending_resumed(self) -> None:
        """Go on giving body bytes."""


class Attempt(Protocol):
    """What the owner of an attempt can do with it."""

    def start(self) -> None:
        """Go; the sink hears of all that follows."""

    def send_data(self, data: bytes) -> None:
        """Queue a piece of the request's body."""

    def send_end(self, trailers: HeaderList) -> None:
        """Queue the request's end."""

    def flush(self) -> None:
        """Send what is queued."""

    def cancel(self) -> None:
        """Give the attempt up; its sink hears nothing more."""

    def settle(self) -> bool:
        """The deadline passed: stop, and say whether the call may have run.

        True: the sink hears that soon from who knows.  False: nobody else knows
        more; the attempt still has to be cancelled.
        """

    def pause_answer(self) -> None:
        """Take no more answer bytes for now."""

    def resume_answer(self) -> None:
        """Go on taking answer bytes."""


class AttemptRequest(msgspec.Struct, frozen=True):
    """What is asked of a back end.

    ``headers`` are the end-to-end fields to send, without those of framing and
    deadline.  ``cancellable`` is false where the answer is wanted even if the
    caller leaves.  ``service`` is whose back end is meant ("" for any).  Without
    ``may_wait`` it is refused at once where no slot is free; else it may wait for
    one until ``start_by`` (monotonic seconds).  ``is_client_retry``: its caller was refused
    before; ``route``: the name of its route, by which its work is estimated.
    ``body_on_credit``: another node is sent the body only when its back end takes the
    call, so that a refusal costs no bytes; where it ``takes_room`` it may be large, and
    the back end's own node takes in only a few of those at a time.  ``fingerprint`` grows
    with the body.  ``tenant``: on whose behalf, "" where there are none;
    ``answer_is_large``: it takes room on the link of the back end's node, and should be
    through by ``due`` (monotonic seconds); ``answer_window`` bytes may be under way
    (0: the usual number).
    """

    head: RequestHead
    headers: HeaderList
    call_class: CallClass
    repeatable: bool
    cancellable: bool
    deadline: float
    service: str = ""
    priority: int = 1
    may_wait: bool = True
    start_by: float = math.inf
    is_client_retry: bool = False
    route: str = ""
    body_on_credit: bool = False
    takes_room: bool = True
    tenant: str = ""
    answer_is_large: bool = False
    due: float = math.inf
    answer_window: int = 0
    fingerprint: Fingerprint = msgspec.field(default_factory=Fingerprint)
