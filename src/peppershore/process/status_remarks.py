"""Remarks on a cluster's state for operators: what is delayed or unknown, and why."""

from __future__ import annotations

from peppershore.connection.messages.operators import RelayStatus, StatusAnswered
from peppershore.process.control.progress import (
    MILLISECONDS_PER_SECOND,
    RELAY_SILENT_SECONDS,
)

SILENT_MILLISECONDS = RELAY_SILENT_SECONDS * MILLISECONDS_PER_SECOND


def status_remarks(status: StatusAnswered) -> tuple[str, ...]:
    """Return one line for each cause that delays versions or rotations of secrets.

    Lines also name the parts of the state that the answering replica doesn't know.
    """
    return (
        *(f"rotation waits: {text}" for text in status.rotations),
        *(_awaited_remark(relay, status) for relay in status.relays_awaited),
        *(_unsettled_remark(relay) for relay in status.relays if not relay.settled),
        *(_silent_remark(relay) for relay in status.relays if is_silent(relay)),
        *_answering_replica_remarks(status),
    )


def is_silent(relay: RelayStatus) -> bool:
    """Return whether the last report of a relay is at least ``SILENT_MILLISECONDS`` old."""
    return relay.report_age_milliseconds >= SILENT_MILLISECONDS


def _awaited_remark(relay: str, status: StatusAnswered) -> str:
    return (
        f"relay {relay} is heard by other relays and has not reported to {status.replica}"
    )


def _unsettled_remark(relay: RelayStatus) -> str:
    return f"relay {relay.relay} started a moment ago and may not know all its nodes"


def _silent_remark(relay: RelayStatus) -> str:
    seconds = relay.report_age_milliseconds // MILLISECONDS_PER_SECOND
    return f"relay {relay.relay} has not reported for {seconds} s"


def _answering_replica_remarks(status: StatusAnswered) -> tuple[str, ...]:
    remarks: list[str] = []
    if not status.relays and not status.relays_awaited:
        remarks.append("no relay reports")
    if not status.leader:
        remarks.append(
            "no leader is known: no edit is accepted, proxies keep what they hold"
        )
    if status.replica != status.leader:
        remarks.append(
            f"{status.replica} does not lead: rotations and what other replicas hold "
            "are not known to it"
        )
    return tuple(remarks)
