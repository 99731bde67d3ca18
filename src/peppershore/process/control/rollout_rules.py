"""What the leader decides about a roll-out under way: a list of rules, the first counts.

Pure: the same view gives the same decision, whoever leads.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from peppershore.process.control.version_comparison import Comparison
from peppershore.version.rollout import ALL_CALLS, Rollout

WATCH_SHARE = 0.55
"""Part of its time that a roll-out is watched with few calls.  The move takes 4 s: one
with half of the calls, one until all nodes know, two until the last calls are over."""

MOST_WATCH_SECONDS = 60.0
"""A long roll-out is not watched for longer: its callers wait for the new version."""

LAST_WATCH_SHARE = 0.7
"""What is not passed is watched until then; after it what it leans to counts, and too
few calls take it back."""

LEANING = 3.0
"""Without a verdict in time it is taken back if a bad version is 20 times likelier (the
logarithm of that).  Machines that are slower than others look like less."""

LEAST_CALLS = 30
"""Calls at the new version that make a verdict: a version that fails in a fifth of its
answers passes so many without a word once in 800 times."""

HALF = ALL_CALLS // 2
HALF_SECONDS = 1.0
"""Between half of the calls and all: new back ends warm up, and a version that is bad
under load shows."""

QUIET_SECONDS = 2.0
"""After all nodes know that no call goes to the old version, until its last are over."""


class RolloutView(msgspec.Struct, frozen=True):
    """All that a decision goes by; times in seconds.

    ``elapsed`` since the order, ``since_step`` since the present share was taken,
    ``known_for`` since all nodes confirmed it (below 0: they have not).  After
    ``apply_seconds`` it counts as known all the same: a node that is down confirms
    nothing.
    """

    rollout: Rollout
    elapsed: float
    since_step: float
    known_for: float
    comparison: Comparison
    apply_seconds: float = 1.0

    @property
    def quiet_for(self) -> float:
        """For how long the present share has held everywhere."""
        return max(self.known_for, self.since_step - self.apply_seconds)


class Wait(msgspec.Struct, frozen=True):
    """Nothing is due; ``reason`` says for what it waits."""

    reason: str


class Move(msgspec.Struct, frozen=True):
    """Let this part of the calls go to the new version."""

    share: int
    reason: str


class Complete(msgspec.Struct, frozen=True):
    """Nothing goes to the old version any more: it may end."""

    reason: str


class RollBack(msgspec.Struct, frozen=True):
    """Let nothing more go to the new version."""

    reason: str


Decision = Wait | Move | Complete | RollBack
Rule = Callable[[RolloutView], Decision | None]


def decide(view: RolloutView) -> Decision:
    """Give the decision of the first rule that has one."""
    for rule in RULES:
        decision = rule(view)
        if decision is not None:
            return decision
    raise AssertionError("the last rule decides always")


def _condemned(view: RolloutView) -> Decision | None:
    reason = view.comparison.reason
    return RollBack(reason) if reason else None


def _not_passed_in_time(view: RolloutView) -> Decision | None:
    is_late = view.elapsed >= LAST_WATCH_SHARE * view.rollout.seconds
    if view.rollout.share >= HALF or not is_late:
        return None
    calls = view.comparison.calls
    if calls < LEAST_CALLS:
        return RollBack(f"only {calls} calls in time, {LEAST_CALLS} are needed")
    if view.comparison.doubt >= LEANING:
        return RollBack(f"{calls} calls speak rather against it")
    return None


def _watch(view: RolloutView) -> Decision | None:
    if view.rollout.share >= HALF:
        return None
    watch = min(MOST_WATCH_SECONDS, WATCH_SHARE * view.rollout.seconds)
    if view.elapsed < watch:
        return Wait(f"watched for {watch:.1f} s")
    is_late = view.elapsed >= LAST_WATCH_SHARE * view.rollout.seconds
    if not (view.comparison.is_passed or is_late):
        return Wait(f"{view.comparison.calls} calls make no verdict yet")
    return Move(HALF, f"{view.comparison.calls} calls show nothing against it")


def _half(view: RolloutView) -> Decision | None:
    if view.rollout.share >= ALL_CALLS:
        return None
    if view.since_step < HALF_SECONDS:
        return Wait("half of the calls go to the new version")
    return Move(ALL_CALLS, "half of the calls show nothing against it")


def _all(view: RolloutView) -> Decision | None:
    if view.quiet_for < QUIET_SECONDS:
        return Wait("the old version's last calls end")
    return Complete(f"no call goes to the old version for {view.quiet_for:.1f} s")


RULES: tuple[Rule, ...] = (_condemned, _not_passed_in_time, _watch, _half, _all)
