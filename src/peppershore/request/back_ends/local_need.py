"""Need of the local back end's current incarnation: its rate limit, and that it is leaving.

The node beside a back end reads both from its answers. After a restart of the node they
come from the nodes that still know them.
"""

from __future__ import annotations

import math

import msgspec

from peppershore.connection.messages.calls import (
    NO_RATE_LIMIT,
    BackEndNeed,
    calls_per_1000_seconds,
)
from peppershore.request.back_ends.rate_limit import RateLimit
from peppershore.request.back_ends.reported_need import ReportedNeed
from peppershore.request.outcome import FIRST_SERVER_ERROR

MILLISECONDS = 1_000


class NeedChange(msgspec.Struct, frozen=True):
    """What changed: a limit began or ended, or the back end is leaving from now on."""

    limit_began: bool = False
    limit_ended: bool = False
    began_leaving: bool = False


UNCHANGED = NeedChange()


class LocalNeed:
    """Need of one incarnation, ``life``, whose rate limit applies within a given time."""

    def __init__(self, life: str, apply_seconds: float) -> None:
        """Start without a need."""
        self.life = life
        self.is_leaving = False
        self.rate_limit = RateLimit(apply_seconds)
        self._has_answered = False

    def answered(
        self, reported: ReportedNeed, status: int, sent_at: float, now: float
    ) -> NeedChange:
        """Process the need that an answer reports, to a call sent at ``sent_at``.

        A limit in the first answer may have been named before this process started. An
        answer without a limit ends the limit, unless it is a failure: those are often
        written by other parts of the back end.
        """
        is_first, self._has_answered = not self._has_answered, True
        limited = self.rate_limit.rate is not None
        ended = False
        if reported.rate_limit is not None:
            self.rate_limit.named(reported.rate_limit, now, is_new=not is_first)
        elif not reported.names_limit and status < FIRST_SERVER_ERROR:
            ended = self.rate_limit.not_named(sent_at)
        return NeedChange(
            limit_began=reported.rate_limit is not None and not limited,
            limit_ended=ended,
            began_leaving=self._begin_leaving(reported.is_leaving),
        )

    def seen_elsewhere(self, need: BackEndNeed, now: float) -> NeedChange:
        """Process the need that an answer to a call sent directly reported."""
        if need.life != self.life:
            return UNCHANGED
        began = self._adopt_limit(need, now)
        leaving = self._begin_leaving(need.is_leaving)
        return NeedChange(limit_began=began, began_leaving=leaving)

    def known_elsewhere(
        self, need: BackEndNeed | None, left: tuple[str, ...], now: float
    ) -> NeedChange:
        """Process what a peer remembers of this back end.

        Its limit counts only until an answer shows what the back end reports now.
        """
        began = False
        if need is not None and need.life == self.life and not self._has_answered:
            began = self.rate_limit.rate is None and self._adopt_limit(need, now)
        leaving = self._begin_leaving(bool(self.life) and self.life in left)
        return NeedChange(limit_began=began, began_leaving=leaving)

    def report(self, now: float) -> BackEndNeed | None:
        """Return the need to report to other nodes, None if there is none."""
        rate = self.rate_limit.rate
        if rate is None and not self.is_leaving:
            return None
        wait = self.rate_limit.wait(1, now)
        return BackEndNeed(
            life=self.life,
            calls_per_1000_seconds=calls_per_1000_seconds(rate),
            wait_milliseconds=math.ceil(wait * MILLISECONDS),
            is_leaving=self.is_leaving,
        )

    def _adopt_limit(self, need: BackEndNeed, now: float) -> bool:
        """Apply the limit of a reported need; return whether there was none before."""
        if need.calls_per_1000_seconds <= NO_RATE_LIMIT:
            return False
        limited = self.rate_limit.rate is not None
        self.rate_limit.named(need.calls_per_1000_seconds / 1_000, now)
        return not limited

    def _begin_leaving(self, leaves: bool) -> bool:
        """Record that the back end is leaving; return whether that is new."""
        is_new = leaves and not self.is_leaving
        self.is_leaving = self.is_leaving or leaves
        return is_new
