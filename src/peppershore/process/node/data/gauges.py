"""Metrics of the data plane."""

from __future__ import annotations

from peppershore.connection.irregular_answers import IRREGULAR_ANSWERS
from peppershore.process.metrics import ProcessMetrics
from peppershore.process.node.data_plane import DataPlane


def add_call_gauges(metrics: ProcessMetrics, plane: DataPlane) -> None:
    """Register the metrics of finished calls, calls in progress and the back end."""
    counts = plane.calls.counts
    metrics.add_source(plane.calls.figures)
    metrics.add_source(plane.calls.quotas.figures)
    metrics.gauge("calls_answered", "Calls answered whole.", lambda: counts.answered)
    metrics.gauge("calls_not_run", "Calls refused, proven not run.", lambda: counts.not_run)
    metrics.gauge("calls_unknown", "Calls sent, without answer.", lambda: counts.unknown)
    metrics.gauge("calls_abandoned", "Calls whose caller left.", lambda: counts.abandoned)
    metrics.gauge(
        "call_retries", "Attempts after the first.", lambda: plane.calls.retries.count
    )
    metrics.gauge(
        "back_end_arrivals_first",
        "Calls that reached the local back end and that no back end had seen.",
        lambda: plane.arrivals.first,
    )
    metrics.gauge(
        "back_end_arrivals_retry",
        "Calls that reached the local back end after another one may have seen them.",
        lambda: plane.arrivals.retry,
    )
    metrics.gauge(
        "back_end_arrivals_in_repeat",
        "Calls that reached the local back end and that a repeated run made.",
        lambda: plane.arrivals.in_repeat,
    )
    metrics.gauge(
        "back_end_repeats_unpaid",
        "Repeats not sent to the local back end: the retry budget was used up.",
        lambda: plane.arrivals.unpaid,
    )
    metrics.gauge(
        "irregular_answers",
        "What back ends sent besides one well-formed answer to each request.",
        lambda: IRREGULAR_ANSWERS.total,
    )
    metrics.gauge("calls_in_flight", "Calls not over.", lambda: plane.calls.in_flight)
    metrics.gauge(
        "calls_waiting",
        "Calls waiting for a slot here.",
        lambda: plane.calls.admissions.waiting,
    )
    metrics.gauge("slots_lent", "Slots that other nodes may use.", lambda: plane.lent_slots)
    metrics.gauge(
        "calls_sent_on",
        "Calls refused since the back end's machine was slow, to go elsewhere.",
        lambda: 0 if plane.calls.own is None else plane.calls.own.refused_while_slow,
    )
    metrics.gauge(
        "back_end_pace_percent",
        "How long work takes at the back end's machine, as it told last; 100 as usual.",
        lambda: 100 if plane.calls.own is None else plane.calls.own.report.pace_percent,
    )
