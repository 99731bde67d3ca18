"""What a call is: route, target, class, repeatability, deadline, key."""

from __future__ import annotations

import msgspec
from returns.result import Failure, Result, Success

from peppershore.connection.http_head import RequestHead
from peppershore.request.deadline import call_deadline, parse_remaining
from peppershore.request.outcome import (
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    STATUS_BODY_TOO_LARGE,
    STATUS_NOT_FOUND,
    STATUS_UNAVAILABLE,
    NotRun,
)
from peppershore.version.active import ActiveConfiguration
from peppershore.version.model import CallClass, HopMode, RouteSettings


class CallPlan(msgspec.Struct, frozen=True):
    """All that is decided about a call before it is admitted.

    ``deadline`` is monotonic seconds; ``key`` is the caller's idempotency key,
    empty for what may be repeated.
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


def classify(
    configuration: ActiveConfiguration | None, head: RequestHead, now: float
) -> Result[CallPlan, NotRun]:
    """Give the plan of a request, or why it can't be one."""
    if configuration is None:
        return Failure(NotRun(STATUS_UNAVAILABLE, "no-configuration", 1_000))
    path = head.target.partition(b"?")[0].decode("latin-1")
    found = configuration.match_route(path, head.method.decode("latin-1"))
    if found is None:
        return Failure(NotRun(STATUS_NOT_FOUND, "no-route"))
    settings = found.settings
    length = head.content_length
    if length is not None and length > settings.max_body_bytes:
        return Failure(NotRun(STATUS_BODY_TOO_LARGE, "body-too-large"))
    remaining = parse_remaining(head.header(DEADLINE_HEADER))
    return Success(
        CallPlan(
            service=found.service,
            route=found.route,
            target=settings.target or found.service,
            call_class=settings.call_class,
            repeatable=settings.repeatable,
            hop=settings.hop,
            deadline=call_deadline(now, settings.timeout_milliseconds, remaining),
            settings=settings,
            key=_idempotency_key(settings, head),
        )
    )


def _idempotency_key(settings: RouteSettings, head: RequestHead) -> str:
    """Give the caller's key where it counts: what may be repeated needs none."""
    if settings.repeatable:
        return ""
    return head.header(IDEMPOTENCY_KEY_HEADER).decode("latin-1")
