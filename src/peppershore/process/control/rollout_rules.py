"""The leader's decisions about a roll-out in progress: the first rule with a decision wins.

A roll-out moves the calls of a service step by step to the back ends of a new version.

The rules are pure functions: the same view gives the same decision on every leader.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from peppershore.process.control.version_comparison import Comparison
from peppershore.version.rollout import ALL_CALLS, Rollout

WATCH_SHARE = 0.55
"""Share of the roll-out's duration in which the new version gets few calls and is observed.
The move to all calls after it takes 4 s: 1 s at half of the calls, 1 s until all nodes know
the last step, 2 s until the last calls of the old version end."""

MAX_WATCH_SECONDS = 60.0
"""Bound on the observation in a long roll-out: callers wait for the new version."""

LAST_WATCH_SHARE = 0.7
"""Share of the roll-out's duration up to which a version that has not passed the comparison
with the old one is observed. After it the version is rolled back if it has had fewer than
``MIN_CALLS``, or if it is likely to be worse (see ``ROLLBACK_DOUBT``); otherwise it moves
on."""

ROLLBACK_DOUBT = 3.0
"""Doubt at which a version without a decision in time is rolled back. Doubt is the
logarithm of a likelihood ratio: at this one, a bad version is 20 times likelier than a good
one. A difference in speed between machines causes less doubt than this."""

MIN_CALLS = 30
"""Calls at the new version without which it is rolled back at ``LAST_WATCH_SHARE``. A
version that fails a fifth of its calls gets through this many without a failure once in 800
times."""

HALF = ALL_CALLS // 2
HALF_SECONDS = 1.0
"""Time at half of the calls before the move to all of them: new back ends warm up, and a
version that is bad under load shows it."""

DRAIN_SECONDS = 2.0
"""Time for the last calls of the old version to end, after all nodes know that no new call
goes to it."""


class RolloutView(msgspec.Struct, frozen=True):
    """All that a decision about a roll-out depends on; times in seconds.

    ``elapsed`` counts from the order, ``since_step`` from the start of the present share,
    and ``known_for`` from the confirmation of that share by all nodes (negative: not
    confirmed yet). After ``apply_seconds`` the share counts as known without a
    confirmation, because a node that is down confirms nothing.
    """

    rollout: Rollout
    elapsed: float
    since_step: float
    known_for: float
    comparison: Comparison
    apply_seconds: float = 1.0

    @property
    def settled_for(self) -> float:
        """Seconds for which the present share has held at all nodes."""
        return max(self.known_for, self.since_step - self.apply_seconds)


class Wait(msgspec.Struct, frozen=True):
    """Decision to do nothing now; ``reason`` says what the roll-out waits for."""

    reason: str


class Move(msgspec.Struct, frozen=True):
    """Decision to send ``share`` of the calls to the new version.

    ``share`` is counted in parts of ``ALL_CALLS``.
    """

    share: int
    reason: str


class Complete(msgspec.Struct, frozen=True):
    """Decision to end the roll-out: no call goes to the old version any more.

    The back ends of the old version may be stopped.
    """

    reason: str


class RollBack(msgspec.Struct, frozen=True):
    """Decision to end the roll-out and send no more calls to the new version."""

    reason: str


Decision = Wait | Move | Complete | RollBack
Rule = Callable[[RolloutView], Decision | None]


def decide(view: RolloutView) -> Decision:
    """Return the decision of the first rule that has one."""
    for rule in RULES:
        decision = rule(view)
        if decision is not None:
            return decision
    raise AssertionError("no rule decided, but the last one always does")


def _roll_back_bad_version(view: RolloutView) -> Decision | None:
    reason = view.comparison.reason
    return RollBack(reason) if reason else None


def _roll_back_undecided(view: RolloutView) -> Decision | None:
    is_late = view.elapsed >= LAST_WATCH_SHARE * view.rollout.seconds
    if view.rollout.share >= HALF or not is_late:
        return None
    calls = view.comparison.calls
    if calls < MIN_CALLS:
        return RollBack(f"only {calls} calls in time, {MIN_CALLS} are needed")
    if view.comparison.doubt >= ROLLBACK_DOUBT:
        return RollBack(f"{calls} calls speak rather against it")
    return None


def _observe(view: RolloutView) -> Decision | None:
    if view.rollout.share >= HALF:
        return None
    watch = min(MAX_WATCH_SECONDS, WATCH_SHARE * view.rollout.seconds)
    if view.elapsed < watch:
        return Wait(f"watched for {watch:.1f} s")
    is_late = view.elapsed >= LAST_WATCH_SHARE * view.rollout.seconds
    if not (view.comparison.is_passed or is_late):
        return Wait(f"{view.comparison.calls} calls make no verdict yet")
    return Move(HALF, f"{view.comparison.calls} calls show nothing against it")


def _hold_at_half(view: RolloutView) -> Decision | None:
    if view.rollout.share >= ALL_CALLS:
        return None
    if view.since_step < HALF_SECONDS:
        return Wait("half of the calls go to the new version")
    return Move(ALL_CALLS, "half of the calls show nothing against it")


def _drain_old_version(view: RolloutView) -> Decision | None:
    if view.settled_for < DRAIN_SECONDS:
        return Wait("the old version's last calls end")
    return Complete(f"no call goes to the old version for {view.settled_for:.1f} s")


RULES: tuple[Rule, ...] = (
    _roll_back_bad_version,
    _roll_back_undecided,
    _observe,
    _hold_at_half,
    _drain_old_version,
)
