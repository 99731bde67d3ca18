"""What this node has seen of one back end: in flight, latency, failures, ramp.

Own sight goes before reports: the reported state only says whether a back end
wants work at all; whether it gets any is decided from here.
"""

from __future__ import annotations

import math
from typing import Literal

from peppershore.connection.messages.calls import OwnerLoad
from peppershore.connection.messages.endpoints import Endpoint
from peppershore.request.back_ends.speed import Speed

Verdict = Literal["good", "failed", "shed", "late"]
"""What an attempt says of its back end; "shed": alive, and refusing for load;
"late": no answer within the time its caller had."""

LATE_FACTOR = 4.0
"""An attempt without answer says something of its back end only after so many
times the usual time: a caller in a hurry is no fault of the back end."""

LATENCY_DECAY_SECONDS = 5.0
FIRST_LATENCY_SECONDS = 0.005
FAILURE_DECAY_SECONDS = 10.0
FAILURE_COST = 200.0
"""How many times more a back end that always fails is taken to cost.  Failures are
quick: with less, a failing back end looks the fastest and draws calls.  It goes by
the square of the share of failures, so that a few now and then shift no load."""

FADE_SECONDS = 10.0
"""What was seen counts less with time: one that is not picked any more for what it
did once would never be seen to have recovered."""

FIRST_SHED_PAUSE_SECONDS = 0.05
MAX_SHED_PAUSE_SECONDS = 1.0
"""One that refuses for load is passed over for so long, twice as long each time in a
row: in its zone it may be the only one, and would draw every call by that."""

LOAD_MAX_AGE_SECONDS = 0.5
"""What a back end's own node told of its load counts for so long."""

FULL_PAUSE_SECONDS = 0.005
FAR_FULL_PAUSE_SECONDS = 0.25
"""A back end whose slots are all taken is passed over for so long at least, in the own
zone and in another one; longer if its queue takes longer."""

UTILIZATION_COST = 0.5
"""How much more a call costs at a back end that has no slot left than at an idle one:
some are slower when nearly full, and what is told of a free slot is old."""

FIRST_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 30.0
RAMP_FLOOR = 0.1
"""Share of its slots that a back end gets when its ramp begins."""


class EndpointState:
    """One back end as this node knows it; ``limit`` calls may be in flight."""

    __slots__ = (
        "_ejections",
        "_failure_rate",
        "_latency",
        "_sheds",
        "_last_seen",
        "_link_wait",
        "_load_received_at",
        "_others",
        "_reported_slots",
        "consecutive_failures",
        "ejected_until",
        "endpoint",
        "in_flight",
        "passed_over_until",
        "limit",
        "ramp_seconds",
        "ramp_started",
        "speed",
    )

    def __init__(
        self, endpoint: Endpoint, limit: int, ramp_seconds: float, now: float
    ) -> None:
        """Begin without observations, at the start of the ramp."""
        self.endpoint = endpoint
        self.limit = limit
        self.in_flight = 0
        self.consecutive_failures = 0
        self.ejected_until = 0.0
        self.ramp_seconds = ramp_seconds
        self.ramp_started = now
        self._latency = FIRST_LATENCY_SECONDS
        self._failure_rate = 0.0
        self._ejections = 0
        self._sheds = 0
        self.passed_over_until = 0.0
        self._last_seen = now
        self._others = 0
        self.speed = Speed()
        self._reported_slots = 0
        self._link_wait = 0.0
        self._load_received_at = -LOAD_MAX_AGE_SECONDS

    def ramp(self, now: float) -> float:
        """Give the share of full load allowed now, between RAMP_FLOOR and 1."""
        if self.ramp_seconds <= 0.0:
            return 1.0
        share = (now - self.ramp_started) / self.ramp_seconds
        return min(1.0, max(RAMP_FLOOR, share))

    def slots(self, now: float) -> int:
        """Give how many calls may be in flight now; at least one."""
        return max(1, math.ceil(self.limit * self.ramp(now)))

    def free(self, now: float) -> bool:
        """Whether one more call may start."""
        if self.in_flight >= self.limit:
            return False
        return self.ramp_seconds <= 0.0 or self.in_flight < self.slots(now)

    def can_accept_call(self, now: float) -> bool:
        """Whether a call may be sent to it now, as far as is known."""
        return self.free(now) and not self.ejected(now)

    def ejected(self, now: float) -> bool:
        """Whether failures keep this back end out for now."""
        return now < self.ejected_until

    def sheds(self, now: float) -> bool:
        """Whether it refused for load a moment ago: others go first."""
        return now < self.passed_over_until

    def note_load(self, load: OwnerLoad, now: float, is_far: bool) -> None:
        """The back end's own node told how many calls it has, of all callers.

        ``is_far``: it is in another zone, so that asking in vain costs bytes between
        zones.
        """
        self._others = max(0, load.running + load.waiting - self.in_flight)
        self._load_received_at = now
        self._reported_slots = load.slots
        self._link_wait = load.link_wait_milliseconds / 1_000
        if load.running >= load.slots:
            pause = max(
                FAR_FULL_PAUSE_SECONDS if is_far else FULL_PAUSE_SECONDS,
                _queue_seconds(load),
            )
            self.passed_over_until = max(self.passed_over_until, now + pause)
        self.speed.update_pace(load.pace_percent, load.pace_age_milliseconds, now)
        slow = self.speed.slow_seconds(now)
        if slow > 0.0:
            self.passed_over_until = max(self.passed_over_until, now + slow)

    def link_wait(self, now: float) -> float:
        """Give for how many seconds one more large answer would wait for its link.

        What its own node told last gets less as the link carries on; 0 once it is old.
        """
        age = now - self._load_received_at
        return max(0.0, self._link_wait - age) if age < LOAD_MAX_AGE_SECONDS else 0.0

    def has_link_room(self, now: float, due: float) -> bool:
        """Whether one more large answer would be through by ``due``, as far as is known."""
        return now + self.link_wait(now) <= due

    @property
    def has_free_slot(self) -> bool:
        """Whether a slot was free by what its own node told last."""
        return self.in_flight + self._others < self._reported_slots

    @property
    def others(self) -> int:
        """Calls of other nodes, as the back end's own node told last."""
        return self._others

    def load_age_milliseconds(self, now: float) -> int:
        """Give how long ago its load was told; 0 before the first time."""
        return (
            round((now - self._load_received_at) * 1_000)
            if self._load_received_at > 0.0
            else 0
        )

    def cost(self, now: float) -> float:
        """Give the expected cost of one more call; lower is better.

        Where the back end's own node counts its slots, that is the time until an answer
        as a multiple of the usual for the call's route; else seconds of work in line.
        """
        fade = math.exp((self._last_seen - now) / FADE_SECONDS)
        failing = 1.0 + FAILURE_COST * (self._failure_rate * fade) ** 2
        others = self._others if now - self._load_received_at < LOAD_MAX_AGE_SECONDS else 0
        calls = self.in_flight + others
        if self._reported_slots or self.endpoint.owner_address:
            expected = self._expected_multiple(calls, now, fade)
        else:
            expected = (calls + 1) * self._expected_latency(fade)
        return expected * failing / self.ramp(now)

    def _expected_multiple(self, calls: int, now: float, fade: float) -> float:
        """Give the time until an answer, its wait included, in usual times."""
        pace = self.speed.expected(now, fade)
        slots = self._reported_slots or max(1, self.limit)
        crowded = UTILIZATION_COST * min(1.0, calls / slots) ** 2
        wait = max(0, calls + 1 - slots) / slots
        return pace * (1.0 + crowded + wait)

    def _expected_latency(self, fade: float) -> float:
        latency = self._latency
        if latency > FIRST_LATENCY_SECONDS:
            latency += (FIRST_LATENCY_SECONDS - latency) * (1.0 - fade)
        return latency

    @property
    def latency_seconds(self) -> float:
        """Smoothed time of a call."""
        return self._latency

    def observe(self, latency: float, verdict: Verdict, now: float) -> None:
        """Take what one finished attempt showed."""
        if verdict == "late":
            if latency < LATE_FACTOR * self._latency:
                return
            verdict = "failed"
        elapsed = max(0.0, now - self._last_seen)
        self._last_seen = now
        self._observe_failure(verdict != "good", elapsed)
        if verdict == "failed":
            self.consecutive_failures += 1
        if verdict == "shed":
            self._pass_over(now)
        if verdict != "good":
            return
        self.consecutive_failures = 0
        self._ejections = 0
        self._sheds = 0
        weight = _weight(elapsed, LATENCY_DECAY_SECONDS)
        peak = latency > self._latency
        self._latency += (latency - self._latency) * (max(weight, 0.3) if peak else weight)

    def eject(self, now: float) -> float:
        """Keep this back end out, longer each time; give for how many seconds."""
        seconds = min(MAX_EJECTION_SECONDS, FIRST_EJECTION_SECONDS * 2.0**self._ejections)
        self._ejections = min(self._ejections + 1, 10)
        self.consecutive_failures = 0
        self.ejected_until = now + seconds
        self.ramp_started = self.ejected_until
        return seconds

    def _pass_over(self, now: float) -> None:
        pause = min(MAX_SHED_PAUSE_SECONDS, FIRST_SHED_PAUSE_SECONDS * 2.0**self._sheds)
        self._sheds = min(self._sheds + 1, 10)
        self.passed_over_until = now + pause

    def _observe_failure(self, failed: bool, elapsed: float) -> None:
        weight = _weight(elapsed, FAILURE_DECAY_SECONDS)
        seen = 1.0 if failed else 0.0
        self._failure_rate += (seen - self._failure_rate) * weight


def _queue_seconds(load: OwnerLoad) -> float:
    """Give how long a full back end is likely to have no slot for one more call.

    Those that wait there come first; then a slot is freed so many times in the time
    that one call takes.
    """
    if not load.slots:
        return 0.0
    return min(LOAD_MAX_AGE_SECONDS, (load.waiting + 1) * load.work_seconds / load.slots)


def _weight(elapsed: float, decay: float) -> float:
    """Give the weight of a new observation: at least 5 %, more after silence."""
    return max(0.05, 1.0 - math.exp(-elapsed / decay))
