"""Interface of an attempt: one send of a call to one back end, by any transport.

The transports are a direct connection to the back end, a stream to the back end's owner,
and the local back end of this node.
"""

from __future__ import annotations

import math
from typing import Protocol

import msgspec

from peppershore.connection.http_head import AnswerHead, HeaderList, RequestHead
from peppershore.connection.messages.calls import BackEndNeed
from peppershore.request.fingerprint import Fingerprint
from peppershore.request.outcome import Failed
from peppershore.request.send_kind import SendKind
from peppershore.version.model import CallClass


class AttemptSink(Protocol):
    """Receives the events of an attempt; none follows its end or failure."""

    def attempt_begun(self) -> None:
        """Start sending the request's body; from here on the call may run."""

    def answer_head(self, head: AnswerHead) -> None:
        """Handle the head of the answer."""

    def answer_data(self, data: bytes) -> None:
        """Handle a chunk of the answer's body."""

    def answer_batch_ended(self) -> None:
        """Flush: no more of the answer is available for now."""

    def answer_ended(self, trailers: HeaderList) -> None:
        """Handle the end of a complete answer."""

    def attempt_failed(self, failed: Failed) -> None:
        """Handle a failure: there will be no complete answer."""

    def sending_paused(self) -> None:
        """Stop sending request body bytes until ``sending_resumed``."""

    def sending_resumed(self) -> None:
        """Resume sending request body bytes."""


class Attempt(Protocol):
    """Operations on an attempt."""

    def start(self) -> None:
        """Start the attempt; every event goes to its sink."""

    def send_data(self, data: bytes) -> None:
        """Queue a chunk of the request's body."""

    def send_end(self, trailers: HeaderList) -> None:
        """Queue the end of the request."""

    def flush(self) -> None:
        """Send the queued data."""

    def cancel(self) -> None:
        """Abort the attempt; its sink gets no further events."""

    def settle(self) -> bool:
        """Stop at the deadline and find out whether the call may have run.

        Return True if a peer was asked; its reply reaches the sink as a failure. Return
        False if no peer knows more; the caller must then still cancel the attempt.
        """

    def pause_answer(self) -> None:
        """Stop receiving answer bytes until ``resume_answer``."""

    def resume_answer(self) -> None:
        """Resume receiving answer bytes."""


class AttemptRequest(msgspec.Struct, frozen=True):
    """A request as it is sent to a back end.

    ``headers``: end-to-end fields to send, without those for framing and deadline.
    ``cancellable``: false if the answer is needed even when the caller disconnects.
    ``deadline``: end of the caller's time, in monotonic seconds.
    ``service``: service that the back end must belong to; "" for any.
    ``may_wait``: whether the attempt may wait for a slot until ``start_by`` (monotonic
    seconds). If false, it is refused at once when no slot is free.
    ``is_client_retry``: whether the caller retries a call that was refused.
    ``route``: name of the route, by which the owner estimates the work of the call.
    ``body_on_credit``: another node gets the body only after it has accepted the call, so
    that a refusal costs no bytes.
    ``takes_room``: a body that is sent on credit may be large; an owner receives only a few
    such bodies at a time.
    ``tenant``: tenant for whom the call is made; "" without tenants.
    ``answer_is_large``: the answer needs capacity on the owner's network link and should
    be transferred by ``due`` (monotonic seconds).
    ``answer_window``: receive window in bytes for a large answer; 0 for the default.
    ``known_need``, ``left``: what this node knows of the back end, as in ``CallStarted``.
    ``fingerprint``: identifies equal requests; it is extended as the body arrives.
    ``send_kind``: whether the back end's service has seen the call before.
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
    known_need: BackEndNeed | None = None
    left: tuple[str, ...] = ()
    fingerprint: Fingerprint = msgspec.field(default_factory=Fingerprint)
    send_kind: SendKind = "first"
