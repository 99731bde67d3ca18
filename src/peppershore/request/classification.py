"""Classification of a request: route, target, class, idempotency, deadline, key."""

from __future__ import annotations

import math

import msgspec
from returns.result import Failure, Result, Success

from peppershore.connection.http_head import RequestHead
from peppershore.request.deadline import call_deadline, parse_remaining
from peppershore.request.outcome import (
    IDEMPOTENCY_KEY_HEADER,
    STATUS_BODY_TOO_LARGE,
    STATUS_NOT_FOUND,
    STATUS_UNAVAILABLE,
    NotRun,
)
from peppershore.request.picker import RandomSource
from peppershore.request.version_routing import VersionGroup
from peppershore.request.wire_names import OWN_NAMES, WireNames
from peppershore.version.active import ActiveConfiguration
from peppershore.version.model import CallClass, HopMode, RouteResource, RouteSettings
from peppershore.version.splits import parse_splits

MILLISECONDS = 1_000
WAIT_SHARE = 0.2
"""Share of a route's target latency for which a call may wait for a slot. A caller that is
refused within a quarter of the target can still retry in time; the rest of that quarter is
for the network round trip."""

CROSS_ZONE_GAIN_SHARE = 0.4
"""Share of a route's target latency by which an answer from another zone must be faster to
justify the traffic between zones. If durations spread by half their mean, an answer is then
late about 15 in 100 times less often, while crossing costs up to 18 in 100 of an answer.
With 0.2, on two of three sites the traffic cost more than the answers gained."""

NESTED_WAIT_SHARE = 0.4
"""Share of its remaining time for which a call made by a back end may wait for a slot."""

NO_CONFIGURATION_RETRY_AFTER_MILLISECONDS = 600
"""Retry advice of a node that has no configuration yet. It gets one about a second after
its start."""


class CallPlan(msgspec.Struct, frozen=True):
    """All that is decided about a call before admission.

    - ``deadline``: monotonic seconds.
    - ``key``: the caller's idempotency key, empty for a call that is safe to retry.
    - ``start_by``: monotonic time after which the call no longer waits for a slot, because
      its answer would miss the route's target latency.
    - ``remaining``: the time that its caller allows, in seconds; None if not given.
    - ``is_client_retry``: the caller sends it again after a refusal.
    - ``crossing_seconds``: how much sooner another zone must answer to be chosen.
    - ``lane``: the version of the target's software chosen for it.
    - ``tenant``: on whose behalf the call is made, "" if there are no tenants.
    - ``is_counted``: it carries that tenant's key, so it counts against its limit.
    - ``due``: monotonic time by which its answer should have arrived.
    - ``is_nested``: the local back end makes it for a request that it runs.
    - ``is_in_repeat``: it is nested in a run that is a repeat.
    """

    service: str
    route: str
    target: str
    call_class: CallClass
    repeatable: bool
    hop: HopMode
    deadline: float
    settings: RouteSettings
    key: str = ""
    priority: int = 1
    start_by: float = math.inf
    remaining: float | None = None
    is_client_retry: bool = False
    crossing_seconds: float = math.inf
    lane: VersionGroup = "any"
    tenant: str = ""
    is_counted: bool = False
    due: float = math.inf
    is_nested: bool = False
    is_in_repeat: bool = False


def classify(
    configuration: ActiveConfiguration | None,
    head: RequestHead,
    now: float,
    random: RandomSource,
    names: WireNames = OWN_NAMES,
) -> Result[CallPlan, NotRun]:
    """Return the plan of a request, or the refusal if it can't be served.

    ``random`` chooses among the targets of a route that splits its calls.
    """
    if configuration is None:
        advice = NO_CONFIGURATION_RETRY_AFTER_MILLISECONDS
        return Failure(NotRun(STATUS_UNAVAILABLE, "no-configuration", advice))
    found = route_of(configuration, head)
    if found is None:
        return Failure(NotRun(STATUS_NOT_FOUND, "no-route"))
    settings = found.settings
    length = head.content_length
    if length is not None and length > settings.max_body_bytes:
        return Failure(NotRun(STATUS_BODY_TOO_LARGE, "body-too-large"))
    remaining = parse_remaining(head.header(names.deadline))
    deadline = call_deadline(now, settings.timeout_milliseconds, remaining)
    return Success(
        CallPlan(
            service=found.service,
            route=found.route,
            target=choose_target(found, random),
            call_class=settings.call_class,
            repeatable=settings.repeatable,
            hop=settings.hop,
            deadline=deadline,
            settings=settings,
            key=_idempotency_key(settings, head),
            priority=settings.priority,
            start_by=_start_by(settings, now),
            remaining=remaining,
            crossing_seconds=_crossing_seconds(settings),
            due=_due(settings, now, deadline),
        )
    )


def route_of(configuration: ActiveConfiguration, head: RequestHead) -> RouteResource | None:
    """Return the route that a request matches, or None."""
    path = head.target.partition(b"?")[0].decode("latin-1")
    method = head.method.decode("latin-1")
    return configuration.match_route(path, method, host=host_of(head))


def _start_by(settings: RouteSettings, now: float) -> float:
    latency = settings.target_latency_milliseconds
    return now + latency * WAIT_SHARE / MILLISECONDS if latency else math.inf


def _due(settings: RouteSettings, now: float, deadline: float) -> float:
    latency = settings.target_latency_milliseconds
    return min(deadline, now + latency / MILLISECONDS) if latency else deadline


def _crossing_seconds(settings: RouteSettings) -> float:
    """Return the seconds that another zone must save, or infinity if it is never worth it.

    That is so without a target latency, and for streamed bodies, because they are large.
    Such calls still go to another zone if the local one has no room.
    """
    latency = settings.target_latency_milliseconds
    if not latency or settings.streamed_bodies:
        return math.inf
    return latency * CROSS_ZONE_GAIN_SHARE / MILLISECONDS


def prioritize_nested(
    plan: CallPlan, now: float, *, is_in_repeat: bool = False
) -> CallPlan:
    """Return the plan of a call nested in a running one, placed ahead of new calls.

    Its refusal would waste all the work done so far, so it may also wait longer.
    ``is_in_repeat``: the running one is a repeat.
    """
    start_by = now + (plan.deadline - now) * NESTED_WAIT_SHARE
    return msgspec.structs.replace(
        plan,
        call_class="critical",
        start_by=start_by,
        is_nested=True,
        is_in_repeat=is_in_repeat,
    )


def host_of(head: RequestHead) -> str:
    """Return the host that a request names, in lower case and without its port."""
    host = head.header(b"host").decode("latin-1").lower()
    return host.partition(":")[0] if host.count(":") == 1 else host


def choose_target(route: RouteResource, random: RandomSource) -> str:
    """Return the service that handles one call of a route, chosen at random by weight."""
    settings = route.settings
    if not settings.splits:
        return settings.target or route.service
    targets = parse_splits(settings.splits)
    sample = random.below(float(sum(target.weight for target in targets)))
    for target in targets:
        if sample < target.weight:
            return target.service
        sample -= target.weight
    return targets[-1].service


def _idempotency_key(settings: RouteSettings, head: RequestHead) -> str:
    """Return the caller's idempotency key, "" if the call is safe to retry without one."""
    if settings.repeatable:
        return ""
    return head.header(IDEMPOTENCY_KEY_HEADER).decode("latin-1")
