"""Messages between the nodes on the way of a call."""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.base import Message

HeaderFields = list[tuple[bytes, bytes]]
"""HTTP header fields: lower-case name, value; order kept."""


STREAM_WINDOW_BYTES = 256 * 1024
"""Body bytes that may be under way on one stream in one direction."""

MICROSECONDS = 1_000_000
UNBOUNDED_PATIENCE = -1
"""Of ``CallStarted``: it may wait until its deadline."""


class OwnerLoad(msgspec.Struct, frozen=True, array_like=True):
    """Calls at a back end and waiting for it, and its slots, as its own node counts.

    ``work_microseconds``: how long it works on a call of the route that this is told
    for, as a mean over all callers; 0 if that is not known yet.
    ``pace_percent``: how long work takes at the back end's machine now, 100 as usual, as
    the back end said ``pace_age_milliseconds`` ago (-1: never).
    ``link_wait_milliseconds``: for how long one more large answer would wait for the
    link of the back end's node, and be on its way.
    """

    running: int
    waiting: int
    slots: int
    work_microseconds: int = 0
    pace_percent: int = 100
    pace_age_milliseconds: int = -1
    link_wait_milliseconds: int = 0

    @property
    def work_seconds(self) -> float:
        """How long it works on a call of that route; 0 if that is not known yet."""
        return self.work_microseconds / MICROSECONDS


class CallLinkHello(Message, frozen=True, tag=140):
    """First message of a node that will send calls to a back end's own node."""

    cluster: str
    node: str
    incarnation: int


class CallStarted(Message, frozen=True, tag=141):
    """A call for the receiver's back end; ``stream`` is never reused on a link.

    ``content_length`` -1 means a body of unknown length; ``data`` is its first
    piece.  ``deadline_milliseconds`` is what remains.  ``service`` is whose back end
    is meant ("" for any); ``priority`` 0 goes first.  Without ``may_wait`` the call is
    refused where no slot is free; else it waits for ``patience_milliseconds`` at most.
    ``is_client_retry``: it was refused before, and goes after those that were not.
    ``route`` is the name of its route, by which its work is estimated.
    ``body_on_credit``: its body follows only once the receiver has given credit, which
    it does when the back end takes the call; where it ``takes_room``, the receiver takes
    in only a few of those at a time.  ``identity``: see ``request.fingerprint``.
    ``tenant``: on whose behalf it is made; "" where there are none.  ``answer_is_large``:
    its answer takes room on the link of the back end's node, and should be through within
    ``due_milliseconds``; ``answer_window`` bytes of it may be under way (0: the usual).
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


class CallBody(Message, frozen=True, tag=142):
    """More of a call's body."""

    stream: int
    data: bytes
    ended: bool
    trailers: HeaderFields


class CallCancelled(Message, frozen=True, tag=143):
    """The caller gave the call up; whatever comes of it is discarded."""

    stream: int


class CallCredit(Message, frozen=True, tag=144):
    """The sender of this can take so many more body bytes on the stream."""

    stream: int
    octets: int


class CallAnswered(Message, frozen=True, tag=145):
    """The head of the back end's answer and the first piece of its body."""

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


class CallAnswerBody(Message, frozen=True, tag=146):
    """More of an answer's body."""

    stream: int
    data: bytes
    ended: bool
    trailers: HeaderFields


class CallNotRun(Message, frozen=True, tag=147):
    """The call is not run: the back end never saw it, or refused it (``offered``)."""

    stream: int
    status: int
    reason: str
    retry_after_milliseconds: int
    retryable: bool
    offered: bool = False
    load: OwnerLoad | None = None


class CallUnknown(Message, frozen=True, tag=148):
    """The call was sent to the back end and no whole answer came."""

    stream: int
    status: int
    reason: str


class SlotsAsked(Message, frozen=True, tag=149):
    """A node asks to hold this many slots of the receiver's back end itself.

    ``number`` grows with every ask on a link.
    """

    number: int
    wanted: int


class SlotsLent(Message, frozen=True, tag=150):
    """The receiver may have ``slots`` calls at the back end by the direct way.

    Replaces the grant before.  ``number`` is that of the ask; the loan ends
    ``lease_milliseconds`` after that ask was sent, unless asked for again.
    """

    number: int
    slots: int
    lease_milliseconds: int


class SlotsReturned(Message, frozen=True, tag=151):
    """Under grant ``number`` the node keeps no more than ``kept`` slots."""

    number: int
    kept: int


class CallLinkProbe(Message, frozen=True, tag=152):
    """Asks the back end's own node whether it is there: it answers at once."""

    number: int


class CallLinkAlive(Message, frozen=True, tag=153):
    """The answer to a probe."""

    number: int


class CallPacked(Message, frozen=True, tag=154):
    """One message of this link, as the next piece of its packed stream."""

    packed: bytes
