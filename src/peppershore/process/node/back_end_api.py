"""The HTTP interface through which the local back end reports its state to the node.

``POST /back-ends/ID/heartbeat`` needs a JSON body; in ``POST /back-ends/ID/gone`` the body
is optional. The node acknowledges a report with 200. Only the local back end calls this
interface, but its software is not under our control: an invalid report is rejected, and
the state known before remains valid.
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
from peppershore.process.node.back_end_reports import START_UNKNOWN, BackEndReport
from peppershore.process.node.inputs import BackEndLeft, BackEndReported

MAX_BODY_BYTES = 64 * 1024
BAD_REQUEST = 400
NOT_FOUND = 404
ROOT = "back-ends"
READY_STATES = frozenset({"ready"})
LEAVING_STATES = frozenset({"draining", "leaving"})

INSTANCE_PATTERN = re.compile(r"[!-~]{1,128}")
"""Instance name that a back end gives itself; it is sent in an HTTP header field."""

VERSION_PATTERN = re.compile(r"[!-~]{0,64}")
MAX_SLOTS = 100_000
MAX_WARMING_MILLISECONDS = 3_600_000
MAX_SEQUENCE = 2**62
MILLISECONDS = 1_000

MAX_FUTURE_START_MILLISECONDS = 24 * 3_600 * MILLISECONDS
"""How far in the future the reported start of an incarnation of the back end may lie.

If the node accepted a later start, it would reject every genuine report after it. The
clocks of machines may differ by less than this.
"""

NonNegativeInteger = Annotated[int, msgspec.Meta(ge=0, le=MAX_SEQUENCE)]


class HeartbeatBody(msgspec.Struct, frozen=True):
    """JSON body of a heartbeat.

    ``zone`` is informational only. ``version`` is that of the back end's software.
    ``born`` is the start of this incarnation of the back end, in Unix milliseconds.
    """

    service: str
    address: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: str
    sequence: NonNegativeInteger
    warming_milliseconds: Annotated[
        float, msgspec.Meta(ge=WARMING_NOT_TOLD, le=MAX_WARMING_MILLISECONDS)
    ] = WARMING_NOT_TOLD
    zone: str = ""
    version: str = ""
    born: NonNegativeInteger = START_UNKNOWN


class LeavingBody(msgspec.Struct, frozen=True):
    """JSON body of a termination report; ``born`` as in a heartbeat."""

    born: NonNegativeInteger = START_UNKNOWN


class ErrorBody(msgspec.Struct, frozen=True):
    """JSON body that says why a report was rejected."""

    error: str


_HEARTBEAT = msgspec.json.Decoder(HeartbeatBody)
_LEAVING = msgspec.json.Decoder(LeavingBody)
_UNREADABLE = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


class BackEndApi:
    """Converts HTTP reports of the local back end to events for the node core."""

    def __init__(
        self,
        dispatch: Callable[[Event], None],
        on_refused: Callable[[str], None] = lambda reason: None,
    ) -> None:
        """Pass events to ``dispatch``, and reasons for rejections to ``on_refused``."""
        self._dispatch = dispatch
        self._on_refused = on_refused

    async def answer(self, request: ServiceRequest) -> ServiceAnswer:
        """Return the response to one HTTP request."""
        segments = request.path.strip("/").split("/")
        if request.method != "POST" or len(segments) != 3 or segments[0] != ROOT:
            return _error(NOT_FOUND, "POST /back-ends/ID/heartbeat or /back-ends/ID/gone")
        _, instance, what = segments
        if what == "gone":
            return self._respond(read_leaving(instance, request.body))
        if what != "heartbeat":
            return _error(NOT_FOUND, "heartbeat or gone")
        return self._respond(read_heartbeat(instance, request.body))

    def _respond(self, read: Result[Event, str]) -> ServiceAnswer:
        if isinstance(read, Failure):
            reason = read.failure()
            self._on_refused(reason)
            return _error(BAD_REQUEST, reason)
        self._dispatch(read.unwrap())
        return ServiceAnswer(body=b"{}", content_type=JSON)


def read_heartbeat(instance: str, body: bytes) -> Result[Event, str]:
    """Return the event for a heartbeat, or why the heartbeat is invalid."""
    try:
        heartbeat = _HEARTBEAT.decode(body)
    except _UNREADABLE as problem:
        return Failure(str(problem))
    if not INSTANCE_PATTERN.fullmatch(instance):
        return Failure("the instance is no name of 1 to 128 visible characters")
    if heartbeat.state not in READY_STATES | LEAVING_STATES:
        return Failure("the state is none of ready, draining, leaving")
    if not VERSION_PATTERN.fullmatch(heartbeat.version):
        return Failure("the version is no name of at most 64 visible characters")
    if _is_far_in_future(heartbeat.born):
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
    """Return the event for a termination report, or why the report is invalid."""
    if not INSTANCE_PATTERN.fullmatch(instance):
        return Failure("the instance is no name of 1 to 128 visible characters")
    if not body.strip():
        return Success(BackEndLeft(instance))
    try:
        leaving = _LEAVING.decode(body)
    except _UNREADABLE as problem:
        return Failure(str(problem))
    return Success(BackEndLeft(instance, leaving.born))


def _is_far_in_future(born: int) -> bool:
    return born > time.time() * MILLISECONDS + MAX_FUTURE_START_MILLISECONDS


def _error(status: int, reason: str) -> ServiceAnswer:
    return ServiceAnswer(status, msgspec.json.encode(ErrorBody(reason)), JSON)
