"""The HTTP interface at which the back end beside a node tells of itself.

``POST /back-ends/ID/heartbeat`` with a JSON body, ``POST /back-ends/ID/gone`` without.
200 acknowledges.  Nobody else calls it.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from peppershore.connection.messages.endpoints import WARMING_NOT_TOLD
from peppershore.process.events import Event
from peppershore.process.http_service import JSON, ServiceAnswer, ServiceRequest
from peppershore.process.node.back_end_reports import BackEndReport
from peppershore.process.node.inputs import BackEndLeft, BackEndReported

MAX_BODY_BYTES = 64 * 1024
BAD_REQUEST = 400
NOT_FOUND = 404
ROOT = "back-ends"
LEAVING_STATES = frozenset({"draining", "leaving"})


class HeartbeatBody(msgspec.Struct, frozen=True):
    """A heartbeat; ``zone`` and ``version`` (of the back end's software) are for people."""

    service: str
    address: str
    slots: int
    state: str
    sequence: int
    warming_milliseconds: float = WARMING_NOT_TOLD
    zone: str = ""
    version: str = ""


class ErrorBody(msgspec.Struct, frozen=True):
    """Why a report is not taken."""

    error: str


_DECODER = msgspec.json.Decoder(HeartbeatBody)


class BackEndApi:
    """Turns the back end's reports into events of the node's core."""

    def __init__(self, dispatch: Callable[[Event], None]) -> None:
        """Hand events to the core with ``dispatch``."""
        self._dispatch = dispatch

    async def answer(self, request: ServiceRequest) -> ServiceAnswer:
        """Answer one HTTP request."""
        segments = request.path.strip("/").split("/")
        if request.method != "POST" or len(segments) != 3 or segments[0] != ROOT:
            return _error(NOT_FOUND, "POST /back-ends/ID/heartbeat or /back-ends/ID/gone")
        _, instance, what = segments
        if what == "gone":
            self._dispatch(BackEndLeft(instance))
            return ServiceAnswer(body=b"{}", content_type=JSON)
        if what != "heartbeat":
            return _error(NOT_FOUND, "heartbeat or gone")
        return self._heartbeat(instance, request.body)

    def _heartbeat(self, instance: str, body: bytes) -> ServiceAnswer:
        try:
            heartbeat = _DECODER.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
            return _error(BAD_REQUEST, str(problem))
        if heartbeat.slots < 1 or not instance:
            return _error(BAD_REQUEST, "slots and the instance must be given")
        report = BackEndReport(
            instance=instance,
            service=heartbeat.service,
            address=heartbeat.address,
            slots=heartbeat.slots,
            is_leaving=heartbeat.state in LEAVING_STATES,
            sequence=heartbeat.sequence,
            warming_milliseconds=max(
                WARMING_NOT_TOLD, round(heartbeat.warming_milliseconds)
            ),
        )
        self._dispatch(BackEndReported(report))
        return ServiceAnswer(body=b"{}", content_type=JSON)


def _error(status: int, reason: str) -> ServiceAnswer:
    return ServiceAnswer(status, msgspec.json.encode(ErrorBody(reason)), JSON)
