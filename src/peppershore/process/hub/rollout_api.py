"""The operators' HTTP interface to roll-outs.

``POST /rollouts`` orders a roll-out: 200 accepted (now or before), 409 another one of that
service is in progress, 400 it cannot be carried out, 503 undecided (retry).
``GET /rollouts/SERVICE`` returns the latest one, confirmed by a quorum: 200, 404 if there
was none, or 503. ``POST /rollouts/SERVICE/abort`` aborts it.
``GET /rollouts/SERVICE/status`` returns its progress as known to this hub.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

import msgspec

from peppershore.process.control.core import ControlCore
from peppershore.process.control.rollout_orders import (
    RolloutAborted,
    RolloutAccepted,
    RolloutAnswered,
    RolloutInProgress,
    RolloutOrder,
    RolloutOrdered,
    RolloutOutcome,
    RolloutQueried,
    RolloutRead,
    RolloutRefused,
    RolloutUndecided,
    RolloutUnknown,
)
from peppershore.process.control.version_comparison import RouteComparison, VersionCounts
from peppershore.process.events import Event
from peppershore.process.http_service import JSON, ServiceAnswer, ServiceRequest
from peppershore.version.model import RolloutState
from peppershore.version.rollout import ALL_CALLS, rollout_of

ROOT = "rollouts"
ABORT = "abort"
STATUS = "status"
OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405
CONFLICT = 409
UNAVAILABLE = 503
RETRY_SECONDS = "0.2"


class StateBody(msgspec.Struct, frozen=True):
    """JSON body that describes the latest roll-out of a service."""

    state: RolloutState
    target_version: str


class VersionFigures(msgspec.Struct, frozen=True):
    """Number of calls of one route at back ends of one version, and of failed ones."""

    calls: int
    failed: int


class RouteFigures(msgspec.Struct, frozen=True):
    """Statistics of both versions on a route ("" for all routes together).

    ``reason`` says why the new version is rejected; it is empty if it is not.
    """

    route: str
    new: VersionFigures
    old: VersionFigures
    reason: str


class StatusBody(msgspec.Struct, frozen=True):
    """JSON body that describes the progress of a roll-out, as known to one hub.

    ``share`` of the calls goes to the new version (0 to 1). Since the order, ``calls`` of
    ``all_calls`` ran there. Only the leader has complete statistics and knows what the
    roll-out waits for.
    """

    service: str
    target_version: str
    state: RolloutState
    share: float
    elapsed_seconds: float
    duration_seconds: float
    calls: int
    all_calls: int
    routes: tuple[RouteFigures, ...]
    waits_for: str
    is_leader: bool


class RolloutError(msgspec.Struct, frozen=True, omit_defaults=True):
    """JSON body that says why a request failed."""

    error: str
    allowed: str = ""


class RolloutApi:
    """Converts HTTP requests to events of the control core, its answers to responses."""

    def __init__(self, dispatch: Callable[[Event], None], core: ControlCore) -> None:
        """Pass events to ``core`` with ``dispatch``; read roll-outs' progress from it."""
        self._dispatch = dispatch
        self._core = core
        self._numbers = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[RolloutOutcome]] = {}

    def answered(self, command: RolloutAnswered) -> None:
        """Complete the waiting HTTP request with the answer of the control core."""
        waiting = self._waiting.pop(command.request, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(command.outcome)

    async def answer(self, request: ServiceRequest) -> ServiceAnswer:
        """Return the response to an operator's HTTP request."""
        number = next(self._numbers)
        match request.path.strip("/").split("/"):
            case [root] if root == ROOT:
                if request.method not in ("POST", "PUT"):
                    return _error(METHOD_NOT_ALLOWED, "POST an order")
                return await self._order(number, request.body)
            case [root, service] if root == ROOT:
                if request.method != "GET":
                    return _error(METHOD_NOT_ALLOWED, "GET")
                return await self._ask(number, RolloutQueried(number, service))
            case [root, service, what] if root == ROOT and what == ABORT:
                if request.method != "POST":
                    return _error(METHOD_NOT_ALLOWED, "POST")
                return await self._ask(number, RolloutAborted(number, service))
            case [root, service, what] if root == ROOT and what == STATUS:
                return self._status(service)
            case _:
                return _error(NOT_FOUND, f"/{ROOT}, /{ROOT}/SERVICE[/{STATUS}|/{ABORT}]")

    async def _order(self, number: int, body: bytes) -> ServiceAnswer:
        try:
            order = msgspec.json.decode(body, type=RolloutOrder)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
            return _error(BAD_REQUEST, str(problem))
        return await self._ask(number, RolloutOrdered(number, order))

    async def _ask(self, number: int, event: Event) -> ServiceAnswer:
        future: asyncio.Future[RolloutOutcome]
        future = asyncio.get_running_loop().create_future()
        self._waiting[number] = future
        self._dispatch(event)
        return _answer_of(await future)

    def _status(self, service: str) -> ServiceAnswer:
        core = self._core
        rollout = rollout_of(core.state.tree, service)
        if rollout is None:
            return _error(NOT_FOUND, f"no roll-out of {service}")
        comparison = core.rollouts.comparison(rollout)
        body = StatusBody(
            service=service,
            target_version=rollout.version,
            state=rollout.state,
            share=rollout.share / ALL_CALLS,
            elapsed_seconds=round(core.rollouts.elapsed(rollout), 1),
            duration_seconds=rollout.seconds,
            calls=comparison.calls,
            all_calls=comparison.all_calls,
            routes=tuple(_route(each) for each in comparison.routes),
            waits_for=core.rollouts.describe(rollout),
            is_leader=core.leads,
        )
        return ServiceAnswer(OK, msgspec.json.encode(body), JSON)


def _route(compared: RouteComparison) -> RouteFigures:
    new, old = _figures(compared.new), _figures(compared.old)
    return RouteFigures(compared.route, new, old, compared.reason)


def _figures(counts: VersionCounts) -> VersionFigures:
    return VersionFigures(counts.calls, counts.failed)


def _answer_of(outcome: RolloutOutcome) -> ServiceAnswer:
    match outcome:
        case RolloutAccepted():
            return ServiceAnswer(OK, b"{}", JSON)
        case RolloutRead(rollout=rollout):
            body = StateBody(rollout.state, rollout.version)
            return ServiceAnswer(OK, msgspec.json.encode(body), JSON)
        case RolloutInProgress(target_version=version):
            return _error(CONFLICT, f"that of {version} is under way")
        case RolloutRefused(problem=problem):
            error = RolloutError(f"{problem.subject} {problem.reason}", problem.allowed)
            return ServiceAnswer(BAD_REQUEST, msgspec.json.encode(error), JSON)
        case RolloutUnknown():
            return _error(NOT_FOUND, "no roll-out of that service")
        case RolloutUndecided(reason=reason):
            fields = (("retry-after", RETRY_SECONDS),)
            undecided = msgspec.json.encode(RolloutError(reason))
            return ServiceAnswer(UNAVAILABLE, undecided, JSON, fields)


def _error(status: int, reason: str) -> ServiceAnswer:
    return ServiceAnswer(status, msgspec.json.encode(RolloutError(reason)), JSON)
