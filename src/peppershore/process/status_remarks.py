"""What a person should know of a cluster's state, in words: what waits, and why."""

from __future__ import annotations

from peppershore.connection.messages.operators import RelayStatus, StatusAnswered
from peppershore.process.control.progress import (
    MILLISECONDS_PER_SECOND,
    RELAY_SILENT_SECONDS,
)

SILENT_MILLISECONDS = RELAY_SILENT_SECONDS * MILLISECONDS_PER_SECOND


def status_remarks(status: StatusAnswered) -> tuple[str, ...]:
    """Give a line for each thing that holds versions or rotations up, or hides them."""
    return (
        *(f"rotation waits: {text}" for text in status.rotations),
        *(_awaited(relay, status) for relay in status.relays_awaited),
        *(_unsettled(relay) for relay in status.relays if not relay.settled),
        *(_silent(relay) for relay in status.relays if is_silent(relay)),
        *_about_the_answer(status),
    )


def is_silent(relay: RelayStatus) -> bool:
    """Tell whether a relay has not reported for a while."""
    return relay.report_age_milliseconds >= SILENT_MILLISECONDS


def _awaited(relay: str, status: StatusAnswered) -> str:
    return (
        f"relay {relay} is heard by other relays and has not reported to {status.replica}"
    )


def _unsettled(relay: RelayStatus) -> str:
    return f"relay {relay.relay} started a moment ago and may not know all its nodes"


def _silent(relay: RelayStatus) -> str:
    seconds = relay.report_age_milliseconds // MILLISECONDS_PER_SECOND
    return f"relay {relay.relay} has not reported for {seconds} s"


def _about_the_answer(status: StatusAnswered) -> tuple[str, ...]:
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
