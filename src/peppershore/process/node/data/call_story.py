"""What happened to one call at one node, as a log line.

The caller's node and the back end's own node write a line each, under the caller's
request id.  A line holds every decision with the inputs that made it.
"""

from __future__ import annotations

from typing import ClassVar

import msgspec

from peppershore.process.commands import Notice
from peppershore.request.fingerprint import Fingerprint
from peppershore.request.outcome import Failed, NotRun
from peppershore.version.model import Version

MAX_STEPS = 32
MILLISECONDS = 1_000


class CallStep(msgspec.Struct, frozen=True, omit_defaults=True):
    """One decision.

    ``at_milliseconds`` counts from when the request was read.  ``in_flight`` and
    ``load`` are what the choice of ``node`` went by: this node's own calls there, and
    how many others its owner told of, ``load_age_milliseconds`` ago.  ``pace_percent`` is
    how long work took at its machine (100 as usual; 0: never told) as the back end said
    ``pace_age_milliseconds`` ago; ``pace_source``: "own" where it is the node's own back
    end, else "told" by its node.
    """

    at_milliseconds: int
    step: str
    node: str = ""
    reason: str = ""
    in_flight: int = 0
    load: int = 0
    load_age_milliseconds: int = 0
    retry_after_milliseconds: int = 0
    pace_percent: int = 0
    pace_age_milliseconds: int = 0
    pace_source: str = ""


class CallEnd(msgspec.Struct, frozen=True):
    """How a call ended; ``status`` is 0 where the caller left."""

    outcome: str
    reason: str
    status: int


class CallStory(Notice, frozen=True):
    """A call ended at its caller's node; ``version`` chose the route.

    The configuration's age is -1 where it was never confirmed to be the latest.
    ``fingerprint`` is the same for a request that is sent again; ``tenant`` on whose
    behalf it was made, "" where there is none or none is known.  Of calls without a good
    key only some have a line; ``lines_left_out`` others were refused alike before it.
    """

    level: ClassVar[str] = "info"
    is_call: ClassVar[bool] = True
    request_id: str
    service: str
    route: str
    target: str
    version: Version
    configuration_age_milliseconds: int
    outcome: str
    reason: str
    status: int
    milliseconds: int
    steps: tuple[CallStep, ...]
    fingerprint: str = ""
    tenant: str = ""
    lines_left_out: int = 0


class ServedStory(Notice, frozen=True):
    """A peer's call ended at the back end's own node.

    ``running``, ``waiting`` and ``slots`` are the back end's when the call came.
    ``waited_milliseconds`` is until it had a slot (-1: it never had one).
    ``pace_percent`` is how long work took at the machine while it ran, 100 as usual, as a
    mean of what the back end said; 0 where it said nothing.
    """

    level: ClassVar[str] = "info"
    is_call: ClassVar[bool] = True
    request_id: str
    service: str
    instance: str
    outcome: str
    reason: str
    status: int
    milliseconds: int
    running: int
    waiting: int
    slots: int
    fingerprint: str = ""
    waited_milliseconds: int = -1
    pace_percent: int = 0


class ServedRun(msgspec.Struct, frozen=True):
    """How a peer's call ran: see ``ServedStory``."""

    waited_milliseconds: int = -1
    pace_percent: int = 0


NEVER_RAN = ServedRun()


class ServedRecord(msgspec.Struct, frozen=True):
    """What the back end's own node knew when a peer's call came."""

    request_id: bytes
    service: str
    instance: str
    began_at: float
    running: int
    waiting: int
    slots: int
    fingerprint: Fingerprint


def served_story(
    record: ServedRecord, end: CallEnd, now: float, run: ServedRun = NEVER_RAN
) -> ServedStory:
    """Give the line of a peer's call that ended now (monotonic seconds)."""
    return ServedStory(
        request_id=record.request_id.decode("latin-1"),
        service=record.service,
        instance=record.instance,
        outcome=end.outcome,
        reason=end.reason,
        status=end.status,
        milliseconds=round((now - record.began_at) * MILLISECONDS),
        running=record.running,
        waiting=record.waiting,
        slots=record.slots,
        fingerprint=record.fingerprint.name,
        waited_milliseconds=run.waited_milliseconds,
        pace_percent=run.pace_percent,
    )


def failure_end(failed: Failed) -> CallEnd:
    """Give how a call ended that got no answer."""
    outcome = "not-run" if isinstance(failed, NotRun) else "unknown"
    return CallEnd(outcome, failed.reason, failed.status)


class StoryBook:
    """Collects the steps of one call."""

    __slots__ = ("_steps", "began_at", "fingerprint")

    def __init__(self, began_at: float, fingerprint: Fingerprint) -> None:
        """Begin when the request was read (monotonic seconds)."""
        self.began_at = began_at
        self.fingerprint = fingerprint
        self._steps: list[CallStep] = []

    @property
    def steps(self) -> tuple[CallStep, ...]:
        """The decisions so far."""
        return tuple(self._steps)

    def milliseconds(self, now: float) -> int:
        """Give the time since the request was read."""
        return round((now - self.began_at) * MILLISECONDS)

    def note(self, now: float, step: str, node: str = "", reason: str = "") -> None:
        """Add a decision."""
        if len(self._steps) < MAX_STEPS:
            self._steps.append(CallStep(self.milliseconds(now), step, node, reason))

    def note_choice(self, now: float, node: str, seen: ChoiceSeen) -> None:
        """Add the choice of a back end, and what it went by."""
        if len(self._steps) < MAX_STEPS:
            self._steps.append(
                CallStep(
                    at_milliseconds=self.milliseconds(now),
                    step="sent",
                    node=node,
                    reason="may wait" if seen.may_wait else "",
                    in_flight=seen.in_flight,
                    load=seen.load,
                    load_age_milliseconds=seen.load_age_milliseconds,
                    pace_percent=seen.pace_percent,
                    pace_age_milliseconds=seen.pace_age_milliseconds,
                    pace_source=seen.pace_source,
                )
            )

    def note_failure(self, now: float, node: str, failed: Failed) -> None:
        """Add the failure of an attempt."""
        is_refusal = isinstance(failed, NotRun)
        advice = failed.retry_after_milliseconds if isinstance(failed, NotRun) else 0
        if len(self._steps) < MAX_STEPS:
            self._steps.append(
                CallStep(
                    at_milliseconds=self.milliseconds(now),
                    step="refused" if is_refusal else "failed",
                    node=node,
                    reason=failed.reason,
                    retry_after_milliseconds=advice,
                )
            )


class ChoiceSeen(msgspec.Struct, frozen=True):
    """What a node saw of a back end when it chose it."""

    in_flight: int
    load: int
    load_age_milliseconds: int
    may_wait: bool
    pace_percent: int = 0
    pace_age_milliseconds: int = 0
    pace_source: str = ""
