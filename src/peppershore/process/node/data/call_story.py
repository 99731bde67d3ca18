"""Call records: what happened to one call at one node, as a structured log line.

The caller's node and the owner of the back end each write a record under the caller's
request id. A record holds every decision together with the inputs it was based on.
"""

from __future__ import annotations

from typing import ClassVar

import msgspec

from peppershore.process.commands import Notice
from peppershore.request.fingerprint import Fingerprint
from peppershore.request.outcome import Failed, NotRun
from peppershore.request.send_kind import SendKind
from peppershore.version.model import Version

MAX_STEPS = 32
MILLISECONDS = 1_000


class CallStep(msgspec.Struct, frozen=True, omit_defaults=True):
    """One decision about a call.

    ``at_milliseconds``: time since the request was read.
    ``in_flight`` and ``load``: inputs of the choice of ``node``. They are the number of
    calls that this node has in flight there, and the number of other calls that the owner
    reported ``load_age_milliseconds`` ago.
    ``pace_percent``: service time of the back end relative to the usual one (100: as
    usual, 200: twice as long, 0: never reported), as the back end reported it
    ``pace_age_milliseconds`` ago.
    ``pace_source``: "own" for the local back end, "told" for one whose owner reported
    the pace.
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
    """How a call ended; ``status`` is 0 if the caller disconnected."""

    outcome: str
    reason: str
    status: int


class CallStory(Notice, frozen=True):
    """Record of a call that ended at its caller's node.

    ``version``: configuration version by which the route was chosen.
    ``configuration_age_milliseconds``: time since a quorum confirmed that the configuration
    is the latest; -1 if it never did.
    ``fingerprint``: equal for a request and its retries by the caller.
    ``tenant``: tenant for whom the call was made; "" if there is none or it is unknown.
    ``lines_left_out``: calls without a valid tenant key are logged at a limited rate; this
    is the number of records left out for the same reason since the last one written.
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
    """Record of a peer's call that ended at the owner of the back end.

    ``running``, ``waiting`` and ``slots``: state of the back end when the call arrived.
    ``waited_milliseconds``: time until the call got a slot; -1 if it never got one.
    ``pace_percent``: service time of the back end relative to the usual one (100: as
    usual) while the call ran, as the mean of the back end's reports; 0 without reports.
    ``send_kind``: "first" if no back end had seen the call before, "retry" if one may have,
    "in-repeat" for a call that a repeated run made.
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
    send_kind: str = "first"


class ServedRun(msgspec.Struct, frozen=True):
    """How long a peer's call waited for a slot, and the back end's pace while it ran.

    ``waited_milliseconds`` is -1 if the call never got a slot. ``pace_percent`` is the
    service time relative to the usual one (100: as usual), 0 without reports.
    """

    waited_milliseconds: int = -1
    pace_percent: int = 0


NEVER_RAN = ServedRun()


class ServedRecord(msgspec.Struct, frozen=True):
    """State of the owner's back end when a peer's call arrived."""

    request_id: bytes
    service: str
    instance: str
    began_at: float
    running: int
    waiting: int
    slots: int
    fingerprint: Fingerprint
    send_kind: SendKind = "first"


def served_story(
    record: ServedRecord, end: CallEnd, now: float, run: ServedRun = NEVER_RAN
) -> ServedStory:
    """Return the record of a peer's call that ended at ``now`` (monotonic seconds)."""
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
        send_kind=record.send_kind,
    )


def failure_end(failed: Failed) -> CallEnd:
    """Return the end of a call that got no answer."""
    outcome = "not-run" if isinstance(failed, NotRun) else "unknown"
    return CallEnd(outcome, failed.reason, failed.status)


class CallRecorder:
    """Collects the decisions about one call, at most ``MAX_STEPS``."""

    __slots__ = ("_steps", "began_at", "fingerprint")

    def __init__(self, began_at: float, fingerprint: Fingerprint) -> None:
        """Start at ``began_at``, when the request was read (monotonic seconds)."""
        self.began_at = began_at
        self.fingerprint = fingerprint
        self._steps: list[CallStep] = []

    @property
    def steps(self) -> tuple[CallStep, ...]:
        """Decisions so far, in order of time."""
        return tuple(self._steps)

    def milliseconds(self, now: float) -> int:
        """Return the milliseconds since the request was read."""
        return round((now - self.began_at) * MILLISECONDS)

    def note(self, now: float, step: str, node: str = "", reason: str = "") -> None:
        """Add the decision named ``step``, about ``node`` if it concerns a back end."""
        if len(self._steps) < MAX_STEPS:
            self._steps.append(CallStep(self.milliseconds(now), step, node, reason))

    def note_choice(self, now: float, node: str, seen: ChoiceSeen) -> None:
        """Add the choice of a back end and the inputs of that choice."""
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
        """Add the refusal or failure of an attempt at the back end of ``node``."""
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
    """What a node knew of a back end when it chose it; fields as in ``CallStep``."""

    in_flight: int
    load: int
    load_age_milliseconds: int
    may_wait: bool
    pace_percent: int = 0
    pace_age_milliseconds: int = 0
    pace_source: str = ""
