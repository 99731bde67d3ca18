"""The HTTP interface at which the back end beside a node tells of itself.

``POST /back-ends/ID/heartbeat`` with a JSON body, ``POST /back-ends/ID/gone`` with one or
without.  200 acknowledges.  Nobody else calls it, but who does is another's program: what
is not as it should be names no back end to use, and what was known holds.
"""

from __future__ import annotations

import re
import time
from collections.abc import Callable
from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

from peppershore.connection.messages.endpoints import WARMING_NOT_TOLD
from peppershore.process.events import Event
from peppershore.process.http_service import JSON, ServiceAnswer, ServiceRequest
from peppershore.process.node.back_end_reports import BORN_NOT_TOLD, BackEndReport
from peppershore.process.node.inputs import BackEndLeft, BackEndReported

MAX_BODY_BYTES = 64 * 1024
BAD_REQUEST = 400
NOT_FOUND = 404
ROOT = "back-ends"
READY_STATES = frozenset({"ready"})
LEAVING_STATES = frozenset({"draining", "leaving"})

NAME = re.compile(r"[!-~]{1,128}")
"""A back end's name for itself: it goes into a header field."""

VERSION = re.compile(r"[!-~]{0,64}")
MOST_SLOTS = 100_000
MOST_WARMING_MILLISECONDS = 3_600_000
MOST_SEQUENCE = 2**62
MILLISECONDS = 1_000

MOST_AHEAD_MILLISECONDS = 24 * 3_600 * MILLISECONDS
"""A life that says it begins later than this from now is refused: believed, it would keep
out every true one.  Clocks of machines may differ by less."""

Whole = Annotated[int, msgspec.Meta(ge=0, le=MOST_SEQUENCE)]


class HeartbeatBody(msgspec.Struct, frozen=True):
    """A heartbeat; ``zone`` is for people, ``version`` of the back end's software.

    ``born`` is when this life of the back end began, Unix milliseconds.
    """

    service: str
    address: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MOST_SLOTS)]
    state: str
    sequence: Whole
    warming_milliseconds: Annotated[
        float, msgspec.Meta(ge=WARMING_NOT_TOLD, le=MOST_WARMING_MILLISECONDS)
    ] = WARMING_NOT_TOLD
    zone: str = ""
    version: str = ""
    born: Whole = BORN_NOT_TOLD


class LeavingBody(msgspec.Struct, frozen=True):
    """A word of the end; ``born`` as in a heartbeat."""

    born: Whole = BORN_NOT_TOLD


class ErrorBody(msgspec.Struct, frozen=True):
    """Why a report is not taken."""

    error: str


_HEARTBEAT = msgspec.json.Decoder(HeartbeatBody)
_LEAVING = msgspec.json.Decoder(LeavingBody)
_UNREADABLE = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


class BackEndApi:
    """Turns the back end's reports into events of the node's core."""

    def __init__(
        self,
        dispatch: Callable[[Event], None],
        on_refused: Callable[[str], None] = lambda reason: None,
    ) -> None:
        """Hand events to the core with ``dispatch``; ``on_refused`` hears of the others."""
        self._dispatch = dispatch
        self._on_refused = on_refused

    async def answer(self, request: ServiceRequest) -> ServiceAnswer:
        """Answer one HTTP request."""
        segments = request.path.strip("/").split("/")
        if request.method != "POST" or len(segments) != 3 or segments[0] != ROOT:
            return _error(NOT_FOUND, "POST /back-ends/ID/heartbeat or /back-ends/ID/gone")
        _, instance, what = segments
        if what == "gone":
            return self._take(read_leaving(instance, request.body))
        if what != "heartbeat":
            return _error(NOT_FOUND, "heartbeat or gone")
        return self._take(read_heartbeat(instance, request.body))

    def _take(self, read: Result[Event, str]) -> ServiceAnswer:
        if isinstance(read, Failure):
            reason = read.failure()
            self._on_refused(reason)
            return _error(BAD_REQUEST, reason)
        self._dispatch(read.unwrap())
        return ServiceAnswer(body=b"{}", content_type=JSON)


def read_heartbeat(instance: str, body: bytes) -> Result[Event, str]:
    """Give the event of a heartbeat, or what is wrong with it."""
    try:
        heartbeat = _HEARTBEAT.decode(body)
    except _UNREADABLE as problem:
        return Failure(str(problem))
    if not NAME.fullmatch(instance):
        return Failure("the instance is no name of 1 to 128 visible characters")
    if heartbeat.state not in READY_STATES | LEAVING_STATES:
        return Failure("the state is none of ready, draining, leaving")
    if not VERSION.fullmatch(heartbeat.version):
        return Failure("the version is no name of at most 64 visible characters")
    if _is_far_ahead(heartbeat.born):
        return Failure("born lies more than a day ahead")
    report = BackEndReport(
        instance=instance,
        service=heartbeat.service,
        address=heartbeat.address,
        slots=heartbeat.slots,
        is_leaving=heartbeat.state in LEAVING_STATES,
        sequence=heartbeat.sequence,
        warming_milliseconds=round(heartbeat.warming_milliseconds),
        born=heartbeat.born,
        version=heartbeat.version,
    )
    return Success(BackEndReported(report))


def read_leaving(instance: str, body: bytes) -> Result[Event, str]:
    """Give the event of a word of the end, or what is wrong with it."""
    if not NAME.fullmatch(instance):
        return Failure("the instance is no name of 1 to 128 visible characters")
    if not body.strip():
        return Success(BackEndLeft(instance))
    try:
        leaving = _LEAVING.decode(body)
    except _UNREADABLE as problem:
        return Failure(str(problem))
    return Success(BackEndLeft(instance, leaving.born))


def _is_far_ahead(born: int) -> bool:
    return born > time.time() * MILLISECONDS + MOST_AHEAD_MILLISECONDS


def _error(status: int, reason: str) -> ServiceAnswer:
    return ServiceAnswer(status, msgspec.json.encode(ErrorBody(reason)), JSON)
