"""Messages between the node of a caller and the node of a back end, about calls."""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.base import Message

HeaderFields = list[tuple[bytes, bytes]]
"""HTTP header fields as pairs of lower-case name and value, in their original order."""


STREAM_WINDOW_BYTES = 256 * 1024
"""Body bytes that may be in transit on one stream in one direction."""

MICROSECONDS = 1_000_000
UNBOUNDED_PATIENCE = -1
"""``CallStarted.patience_milliseconds`` of a call that may wait until its deadline."""


NO_RATE_LIMIT = -1
"""``BackEndNeed.calls_per_1000_seconds`` of a back end without a rate limit."""


class BackEndNeed(msgspec.Struct, frozen=True, array_like=True):
    """Need that the incarnation ``life`` of a back end reported in its answers.

    ``calls_per_1000_seconds`` is the rate that it takes from all nodes together. One more
    call would have to wait ``wait_milliseconds`` for it. ``is_leaving``: it ends soon and
    takes no new calls.
    """

    life: str
    calls_per_1000_seconds: int = NO_RATE_LIMIT
    wait_milliseconds: int = 0
    is_leaving: bool = False


def calls_per_1000_seconds(rate: float | None) -> int:
    """Return a rate limit in calls a second as ``BackEndNeed`` holds it; None is none."""
    return NO_RATE_LIMIT if rate is None else round(rate * 1_000)


class OwnerLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of a back end as counted by its local node.

    ``running`` calls are at the back end, ``waiting`` ones are queued for it, and it has
    ``slots``. ``work_microseconds`` is its mean service time, over all callers, for a
    call of the route that this report is for; 0 while unknown.
    ``pace_percent`` is the pace: the current service time at the back end's machine
    relative to the usual one (100 is usual, 200 twice as long), as the back end reported
    ``pace_age_milliseconds`` ago (-1: never).
    ``link_wait_milliseconds`` is the time that one more large answer would take to wait
    for the network link of the back end's node and be transmitted.
    ``need`` is None while the back end reports none.
    """

    running: int
    waiting: int
    slots: int
    work_microseconds: int = 0
    pace_percent: int = 100
    pace_age_milliseconds: int = -1
    link_wait_milliseconds: int = 0
    need: BackEndNeed | None = None

    @property
    def work_seconds(self) -> float:
        """Mean service time of a call of the route in seconds; 0 while unknown."""
        return self.work_microseconds / MICROSECONDS


class CallLinkHello(Message, frozen=True, tag=140):
    """First message of a node that will send calls to a back end's local node.

    ``recent_calls`` counts those that it sent to this back end lately, in steps of half a
    second before now, the newest first: a receiver that restarted has not counted them.
    """

    cluster: str
    node: str
    incarnation: int
    recent_calls: tuple[int, ...] = ()


class CallStarted(Message, frozen=True, tag=141):
    """A call for the receiver's back end; ``stream`` is never reused on a link.

    ``content_length`` -1 means a body of unknown length; ``data`` is the first chunk of
    the body. ``deadline_milliseconds`` is the time remaining until the deadline.
    ``service`` is the service whose back end is addressed ("" for any). ``priority`` 0
    is the highest. Without ``may_wait`` the call is refused if no slot is free; otherwise
    it waits in the queue for at most ``patience_milliseconds``. ``is_client_retry`` marks
    a call that was refused before; it is queued after those that were not. ``route`` is
    the name of its route, by which its service time is estimated.

    ``body_on_credit``: the body follows only after the receiver has granted credit, which
    it does when the back end accepts the call. If the call also ``takes_room``, the
    receiver accepts only a few such bodies at a time. ``identity``: see
    ``request.fingerprint``. ``tenant`` is the tenant on whose behalf the call is made, ""
    without tenants. ``answer_is_large``: the answer needs capacity on the network link of
    the back end's node and should be transferred completely within ``due_milliseconds``;
    ``answer_window`` bytes of it may be in transit (0: the default).

    ``known_need`` is the last one that the receiver reported to the sender, and ``left``
    are incarnations of its back end that said they are leaving: a receiver that restarted
    meanwhile has forgotten both. ``send_kind``: see ``request.send_kind``.
    """

    stream: int
    method: bytes
    target: bytes
    headers: HeaderFields
    content_length: int
    call_class: str
    repeatable: bool
    cancellable: bool
    deadline_milliseconds: int
    data: bytes
    ended: bool
    trailers: HeaderFields
    service: str = ""
    priority: int = 1
    may_wait: bool = True
    patience_milliseconds: int = UNBOUNDED_PATIENCE
    is_client_retry: bool = False
    route: str = ""
    body_on_credit: bool = False
    identity: bytes = b""
    takes_room: bool = True
    tenant: str = ""
    answer_is_large: bool = False
    due_milliseconds: int = 0
    answer_window: int = 0
    known_need: BackEndNeed | None = None
    left: tuple[str, ...] = ()
    send_kind: str = "first"


class CallBody(Message, frozen=True, tag=142):
    """The next chunk of a call's body."""

    stream: int
    data: bytes
    ended: bool
    trailers: HeaderFields


class CallCancelled(Message, frozen=True, tag=143):
    """The caller abandoned the call; any result of it is discarded."""

    stream: int


class CallCredit(Message, frozen=True, tag=144):
    """Flow control: the sender of this message accepts ``octets`` more body bytes."""

    stream: int
    octets: int


class CallAnswered(Message, frozen=True, tag=145):
    """The head of the back end's answer and the first chunk of its body.

    ``has_failed_call``: see ``AnswerHead``.
    """

    stream: int
    status: int
    reason: bytes
    headers: HeaderFields
    content_length: int
    has_body: bool
    data: bytes
    ended: bool
    trailers: HeaderFields
    load: OwnerLoad | None = None
    has_failed_call: bool = False


class CallAnswerBody(Message, frozen=True, tag=146):
    """The next chunk of an answer's body."""

    stream: int
    data: bytes
    ended: bool
    trailers: HeaderFields


class CallNotRun(Message, frozen=True, tag=147):
    """The call was not run: it never reached the back end, or was refused by it.

    ``offered`` is true if the back end refused it.
    """

    stream: int
    status: int
    reason: str
    retry_after_milliseconds: int
    retryable: bool
    offered: bool = False
    load: OwnerLoad | None = None


class CallUnknown(Message, frozen=True, tag=148):
    """The call was sent to the back end, but no complete answer was received."""

    stream: int
    status: int
    reason: str


class SlotsAsked(Message, frozen=True, tag=149):
    """Request for a loan of ``wanted`` slots of the receiver's back end.

    ``number`` increases with every request on a link.
    """

    number: int
    wanted: int


class SlotsLent(Message, frozen=True, tag=150):
    """Loan: the receiver may have up to ``slots`` calls at the back end, sent directly.

    Replaces the previous loan. ``number`` is that of the request; the loan expires
    ``lease_milliseconds`` after that request was sent, unless requested again. ``life``
    names the incarnation of the back end that the slots belong to.
    """

    number: int
    slots: int
    lease_milliseconds: int
    life: str = ""


class SlotsReturned(Message, frozen=True, tag=151):
    """The borrower keeps at most ``kept`` slots of loan ``number`` and returns the rest."""

    number: int
    kept: int


class CallLinkProbe(Message, frozen=True, tag=152):
    """Liveness probe of the back end's local node, which replies at once."""

    number: int


class CallLinkAlive(Message, frozen=True, tag=153):
    """Reply to a ``CallLinkProbe``."""

    number: int


class BackEndNeedSeen(Message, frozen=True, tag=155):
    """An answer to a call sent directly, under a loan, reported this need."""

    need: BackEndNeed


class CallPacked(Message, frozen=True, tag=154):
    """One message, compressed as the next chunk of this link's stream.

    See ``head_packing``.
    """

    packed: bytes
