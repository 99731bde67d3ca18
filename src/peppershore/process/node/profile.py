"""Converts a node's settings for header names and shared retries to internal values."""

from __future__ import annotations

from peppershore.process.settings import (
    HeaderSettings,
    NodeSettings,
    SharedRetrySettings,
)
from peppershore.request.back_ends.need_bounds import NeedBounds
from peppershore.request.shared_retries import RetryBound
from peppershore.request.wire_names import OWN_NAMES, WireNames

MILLISECONDS = 1_000


def wire_names(settings: HeaderSettings | None) -> WireNames:
    """Return the configured header names in lower case, or the defaults without any."""
    if settings is None:
        return OWN_NAMES
    return WireNames(
        request_id=_name(settings.request_id),
        deadline=_name(settings.deadline),
        outcome=_name(settings.outcome),
        reason=_name(settings.reason),
        signature=_name(settings.signature),
        expected_instance=_name(settings.expected_instance),
        not_run=_name(settings.not_run),
        load=_name(settings.load),
        rate_limit=_name(settings.rate_limit),
        leaving=_name(settings.leaving),
        caller=_name(settings.caller),
        tenant=_name(settings.tenant),
        answers_carry_id=settings.answers_carry_id,
        fractional_retry_after=settings.fractional_retry_after,
        unframed_answers=settings.unframed_answers,
    )


def need_bounds(settings: NodeSettings) -> NeedBounds:
    """Return within what time a need that the local back end reports takes effect.

    A back end that is leaving gets calls for at most half of the time for which it
    continues to serve. The other half remains for calls already in flight.
    """
    milliseconds = float(settings.back_end_leaving_milliseconds)
    if settings.drain_milliseconds > 0.0:
        milliseconds = min(milliseconds, settings.drain_milliseconds / 2.0)
    limit = settings.rate_limit_apply_milliseconds
    return NeedBounds(milliseconds / MILLISECONDS, limit / MILLISECONDS)


def _name(text: str) -> bytes:
    return text.lower().encode("latin-1")


def retry_bound(settings: SharedRetrySettings | None) -> RetryBound | None:
    """Return the limit on retries that all nodes share, None if there is none."""
    if settings is None:
        return None
    return RetryBound(
        ratio=settings.ratio,
        window_seconds=settings.window_seconds,
        slack=settings.slack,
    )
