"""The operators' HTTP interface to complete configurations.

``PUT /configuration`` submits one: 200 accepted, 412 another release is in place, 400
invalid, 503 undecided (retry). ``GET /configuration`` returns the newest one, confirmed
by a quorum, or 503.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

import msgspec
from returns.result import Failure

from peppershore.process.control.releases import (
    ReleaseAccepted,
    ReleaseAnswered,
    ReleaseConflict,
    ReleaseInvalid,
    ReleaseOutcome,
    ReleaseQueried,
    ReleaseRead,
    ReleaseSubmitted,
    ReleaseUndecided,
)
from peppershore.process.events import Event
from peppershore.process.http_service import JSON, ServiceAnswer, ServiceRequest
from peppershore.version.model import Problem, Version
from peppershore.version.whole_configuration import (
    decode_configuration,
    encode_configuration,
)

CONFIGURATION_PATH = "/configuration"
MAX_BODY_BYTES = 32 * 1024 * 1024
OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405
CONFLICT = 412
UNAVAILABLE = 503
RETRY_SECONDS = "0.2"


class TakenBody(msgspec.Struct, frozen=True):
    """JSON body of the response to an accepted configuration."""

    version: Version


class RefusedBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """JSON body for a rejected request; ``current`` is the release that is in place.

    It is set only if the configuration conflicts with that release.
    """

    error: str
    current: Version = 0
    problems: tuple[Problem, ...] = ()


class ConfigurationApi:
    """Converts HTTP requests to events of the control core, its answers to responses."""

    def __init__(self, dispatch: Callable[[Event], None]) -> None:
        """Pass events to the control core with ``dispatch``."""
        self._dispatch = dispatch
        self._numbers = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[ReleaseOutcome | ReleaseRead]] = {}

    def answered(self, command: ReleaseAnswered) -> None:
        """Complete the waiting HTTP request with the answer of the control core."""
        waiting = self._waiting.pop(command.request, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(command.outcome)

    async def answer(self, request: ServiceRequest) -> ServiceAnswer:
        """Return the response to an operator's HTTP request."""
        if request.path != CONFIGURATION_PATH:
            return _refusal(NOT_FOUND, RefusedBody("not found"))
        if request.method == "GET":
            number = next(self._numbers)
            return _answer_of(await self._ask(number, ReleaseQueried(number)))
        if request.method not in ("PUT", "POST"):
            return _refusal(METHOD_NOT_ALLOWED, RefusedBody("GET or PUT"))
        decoded = decode_configuration(request.body)
        if isinstance(decoded, Failure):
            problem = decoded.failure()
            return _refusal(BAD_REQUEST, RefusedBody("invalid", problems=(problem,)))
        number = next(self._numbers)
        event = ReleaseSubmitted(number, decoded.unwrap())
        return _answer_of(await self._ask(number, event))

    async def _ask(self, number: int, event: Event) -> ReleaseOutcome | ReleaseRead:
        future: asyncio.Future[ReleaseOutcome | ReleaseRead]
        future = asyncio.get_running_loop().create_future()
        self._waiting[number] = future
        self._dispatch(event)
        return await future


def _answer_of(outcome: ReleaseOutcome | ReleaseRead) -> ServiceAnswer:
    match outcome:
        case ReleaseAccepted(release=release):
            return ServiceAnswer(OK, msgspec.json.encode(TakenBody(release)), JSON)
        case ReleaseRead(configuration=configuration):
            return ServiceAnswer(OK, encode_configuration(configuration), JSON)
        case ReleaseConflict(current=current):
            return _refusal(CONFLICT, RefusedBody("another release is in place", current))
        case ReleaseInvalid(problems=problems):
            return _refusal(BAD_REQUEST, RefusedBody("invalid", problems=problems))
        case ReleaseUndecided(reason=reason):
            fields = (("retry-after", RETRY_SECONDS),)
            body = msgspec.json.encode(RefusedBody(reason))
            return ServiceAnswer(UNAVAILABLE, body, JSON, fields)


def _refusal(status: int, body: RefusedBody) -> ServiceAnswer:
    return ServiceAnswer(status, msgspec.json.encode(body), JSON)
