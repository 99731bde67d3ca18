"""What this node has observed of one back end: calls in flight, latency, failures, ramp.

This node's own observations take precedence over reports. The reported state only says
whether a back end accepts work at all; the decision to send it any is made here.
"""

from __future__ import annotations

import math
from typing import Literal

from peppershore.connection.messages.calls import OwnerLoad
from peppershore.connection.messages.endpoints import Endpoint
from peppershore.request.back_ends.speed import Speed

AttemptResult = Literal["good", "failed", "shed", "late"]
"""Result of an attempt as far as it concerns the back end. "shed": the back end is alive
and refused for load; "late": no answer within the time that the caller allowed."""

LATE_FACTOR = 4.0
"""An attempt without an answer counts as a failure of the back end only after this multiple
of the usual latency, since a short time-out of the caller is no fault of the back end."""

LATENCY_DECAY_SECONDS = 5.0
FIRST_LATENCY_SECONDS = 0.005
FAILURE_DECAY_SECONDS = 10.0
FAILURE_COST = 200.0
"""Cost multiplier of a back end that always fails. Failures are quick: with a smaller
value, a failing back end looks the fastest and attracts calls. It is scaled by the square
of the share of failures, so that a few occasional failures shift no load."""

MIN_FAILURE_EXCESS = 0.1
"""A cost of past failures below this share of the cost of a call doesn't count. Where calls
come one at a time all other costs are equal, and any remainder would decide each choice."""

FADE_SECONDS = 10.0
"""Time constant by which observations lose weight. Without it, a back end that is no longer
chosen because of past failures or slow answers would never be found to have recovered."""

FIRST_SHED_PAUSE_SECONDS = 0.05
MAX_SHED_PAUSE_SECONDS = 1.0
"""How long a back end that refused for load is avoided, at first and at most; the time
doubles with each refusal in a row. Without this pause, a back end that is the only one in
its zone would get every call because of that."""

LOAD_MAX_AGE_SECONDS = 0.5
"""A load reported by a back end's local node is used for this long."""

FULL_PAUSE_SECONDS = 0.005
FAR_FULL_PAUSE_SECONDS = 0.25
"""Minimum time for which a back end without free slots is avoided, in the local zone and in
another zone. It is longer if the back end's queue takes longer."""

LIMITED_PAUSE_SECONDS = 0.25
MAX_LIMITED_PAUSE_SECONDS = 1.0
"""How long a back end whose rate limit is used up is avoided, at least and at most. All
nodes share what it takes, so most of those that try earlier would be refused."""

UTILIZATION_COST = 0.5
"""How much more a call costs at a back end without a free slot than at an idle one: some
back ends slow down when nearly full, and a reported free slot may be taken by now."""

FIRST_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 30.0
RAMP_FLOOR = 0.1
"""Share of its slots that a back end gets at the start of its ramp."""


class EndpointState:
    """One back end as this node sees it; up to ``limit`` calls may be in flight."""

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
        """Start without observations, at the beginning of the ramp."""
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
        """Return the share of full load allowed now, between RAMP_FLOOR and 1."""
        if self.ramp_seconds <= 0.0:
            return 1.0
        share = (now - self.ramp_started) / self.ramp_seconds
        return min(1.0, max(RAMP_FLOOR, share))

    def slots(self, now: float) -> int:
        """Return how many calls may be in flight now, at least one."""
        return max(1, math.ceil(self.limit * self.ramp(now)))

    def free(self, now: float) -> bool:
        """Report whether one more call may start."""
        if self.in_flight >= self.limit:
            return False
        return self.ramp_seconds <= 0.0 or self.in_flight < self.slots(now)

    def can_accept_call(self, now: float) -> bool:
        """Report whether a call may be sent to the back end now, as far as is known."""
        return self.free(now) and not self.ejected(now)

    def ejected(self, now: float) -> bool:
        """Report whether the back end is ejected because of failures."""
        return now < self.ejected_until

    def refused_for_load(self, now: float) -> bool:
        """Report whether it refused for load a moment ago, so that others are preferred."""
        return now < self.passed_over_until

    def note_load(self, load: OwnerLoad, now: float, is_far: bool) -> None:
        """Record the load that the back end's local node reported, over all callers.

        ``is_far`` says that it is in another zone, where a useless probe costs traffic
        between zones.
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
        if load.need is not None and load.need.wait_milliseconds > 0:
            wait = load.need.wait_milliseconds / 1_000
            pause = min(MAX_LIMITED_PAUSE_SECONDS, max(LIMITED_PAUSE_SECONDS, wait))
            self.passed_over_until = max(self.passed_over_until, now + pause)
        self.speed.update_pace(load.pace_percent, load.pace_age_milliseconds, now)
        slow = self.speed.slow_seconds(now)
        if slow > 0.0:
            self.passed_over_until = max(self.passed_over_until, now + slow)

    def link_wait(self, now: float) -> float:
        """Return how many seconds one more large answer would wait for its link.

        The reported wait decreases with its age, as the link keeps sending, and counts as 0
        once the report is too old.
        """
        age = now - self._load_received_at
        return max(0.0, self._link_wait - age) if age < LOAD_MAX_AGE_SECONDS else 0.0

    def has_link_room(self, now: float, due: float) -> bool:
        """Report whether, as far as is known, one more large answer would be in time.

        ``due`` is the monotonic time by which it should arrive.
        """
        return now + self.link_wait(now) <= due

    @property
    def has_free_slot(self) -> bool:
        """Whether a slot was free according to the last report of its local node."""
        return self.in_flight + self._others < self._reported_slots

    @property
    def others(self) -> int:
        """Number of calls of other nodes there, by the last report of its local node."""
        return self._others

    def load_age_milliseconds(self, now: float) -> int:
        """Return the age of the last load report; 0 if there was none."""
        return (
            round((now - self._load_received_at) * 1_000)
            if self._load_received_at > 0.0
            else 0
        )

    def cost(self, now: float) -> float:
        """Return the expected cost of one more call; lower is better.

        If the back end's local node counts its slots, this is the expected time until an
        answer as a multiple of the usual time of the call's route. Otherwise it is the
        seconds of work in flight there, this call included.
        """
        fade = math.exp((self._last_seen - now) / FADE_SECONDS)
        excess = FAILURE_COST * (self._failure_rate * fade) ** 2
        failing = 1.0 + excess if excess >= MIN_FAILURE_EXCESS else 1.0
        others = self._others if now - self._load_received_at < LOAD_MAX_AGE_SECONDS else 0
        calls = self.in_flight + others
        if self._reported_slots or self.endpoint.owner_address:
            expected = self._expected_multiple(calls, now, fade)
        else:
            expected = (calls + 1) * self._expected_latency(fade)
        return expected * failing / self.ramp(now)

    def _expected_multiple(self, calls: int, now: float, fade: float) -> float:
        """Return the time until an answer, wait included, in multiples of the usual one.

        ``calls`` is the number of calls already there; ``fade`` is the share of the learned
        speed that still counts, from 0 to 1.
        """
        pace = self.speed.expected(now, fade)
        slots = self._reported_slots or max(1, self.limit)
        utilization_cost = UTILIZATION_COST * min(1.0, calls / slots) ** 2
        wait = max(0, calls + 1 - slots) / slots
        return pace * (1.0 + utilization_cost + wait)

    def _expected_latency(self, fade: float) -> float:
        latency = self._latency
        if latency > FIRST_LATENCY_SECONDS:
            latency += (FIRST_LATENCY_SECONDS - latency) * (1.0 - fade)
        return latency

    @property
    def latency_seconds(self) -> float:
        """Smoothed duration of a call, in seconds."""
        return self._latency

    def observe(self, latency: float, result: AttemptResult, now: float) -> None:
        """Record the result of one finished attempt."""
        if result == "late":
            if latency < LATE_FACTOR * self._latency:
                return
            result = "failed"
        elapsed = max(0.0, now - self._last_seen)
        self._last_seen = now
        self._observe_failure(result != "good", elapsed)
        if result == "failed":
            self.consecutive_failures += 1
        if result == "shed":
            self._pass_over(now)
        if result != "good":
            return
        self.consecutive_failures = 0
        self._ejections = 0
        self._sheds = 0
        weight = _weight(elapsed, LATENCY_DECAY_SECONDS)
        peak = latency > self._latency
        self._latency += (latency - self._latency) * (max(weight, 0.3) if peak else weight)

    def eject(self, now: float) -> float:
        """Eject the back end and return for how many seconds, longer each time."""
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
    """Estimate for how long a full back end will have no slot for one more call.

    The calls that wait there come first. One slot is freed, on average, in the duration of
    a call divided by the number of slots.
    """
    if not load.slots:
        return 0.0
    return min(LOAD_MAX_AGE_SECONDS, (load.waiting + 1) * load.work_seconds / load.slots)


def _weight(elapsed: float, decay: float) -> float:
    """Return the weight of a new observation in a moving mean: at least 0.05.

    It grows with the seconds elapsed since the last observation. ``decay`` is the time
    constant in seconds.
    """
    return max(0.05, 1.0 - math.exp(-elapsed / decay))
