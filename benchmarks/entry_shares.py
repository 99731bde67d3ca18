"""Early refusal, at the node that takes a call, of tenants who are over their share.

A node learns of shortage by how the calls that it sent on ended.  A tenant that owners
refuse more often than the others asks for more than its share: the node sends on a part of
its calls, of repeats less than of first sends, and refuses the rest at once.  A tenant with
few calls here is never refused early, nor one that is refused as often as all: owners of
back ends order what is left by fair shares.
"""

from __future__ import annotations

import math

import msgspec

from peppershore.request.outcome import STATUS_UNAVAILABLE, NotRun
from peppershore.request.picker import RandomSource

OVER_SHARE = "over-share"
"""Reason of an early refusal: the tenant's calls take more than its share of slots."""

MEMORY_SECONDS = 1.0
"""Ends of calls count less with time, by this decay: room that is free again is used
within a second."""

LEAST_ENDS = 3.0
"""Ends of calls, after decay, without which nothing is known of who made them."""

MARGIN = 0.1
"""A tenant is over its share if it is refused more often than the others at this node, by
this part of its calls at least."""

DEVIATIONS = 1.5
"""It must also be refused more often by so many standard deviations of what chance does:
with less, those who are refused as often as all would pay for chance."""

PROBE = 4.0
"""So many times what was answered is sent on: owners give by what they see asked for, and
use room that comes free at once.  With less, repeats took room from first sends."""

REPEAT_PROBE = 0.3
"""The same for calls that were refused before: they pay first."""

LEAST_PART = 0.8
"""At least so many times the part of the others' calls that is answered is sent on of a
tenant's first sends: owners serve by what they see asked for, which must not die away."""

SOONEST_RETURN_SECONDS = 0.8
LATEST_RETURN_SECONDS = 2.0
"""Callers who are over their share come again at any moment between these: not together,
and not before a share that has come free is used."""

Kind = tuple[str, int]
"""A tenant, and the class and priority of a call of its."""


class Ends(msgspec.Struct):
    """Calls of one kind, and how they ended; each counts less with time."""

    asked: float = 0.0
    answered: float = 0.0
    refused: float = 0.0
    at: float = 0.0

    def fade(self, now: float) -> None:
        """Let what was seen count as much as it should now."""
        if now <= self.at:
            return
        decay = math.exp((self.at - now) / MEMORY_SECONDS)
        self.at = now
        self.asked *= decay
        self.answered *= decay
        self.refused *= decay

    @property
    def ended(self) -> float:
        """Calls that were sent on and are over."""
        return self.answered + self.refused


class Others(msgspec.Struct, frozen=True):
    """Calls of the other tenants that were sent on and are over, and those refused."""

    ended: float
    refused: float

    @property
    def refused_part(self) -> float:
        """Part of them that was refused; sums differ by rounding, so at most all."""
        return min(1.0, self.refused / self.ended) if self.ended > 0.0 else 0.0


def _is_over_share(ends: Ends, others: Others) -> bool:
    """Whether a tenant is refused more often than the others, as far as is known."""
    if ends.ended < LEAST_ENDS or others.ended < LEAST_ENDS:
        return False
    usual = others.refused_part
    spread = math.sqrt(usual * (1.0 - usual) * (1.0 / ends.ended + 1.0 / others.ended))
    return ends.refused / ends.ended > usual + max(MARGIN, DEVIATIONS * spread)


def _sent_on_part(ends: Ends, others: Others, is_client_retry: bool) -> float:
    """Give the part of a tenant's calls to send on while it is over its share."""
    answered = ends.answered / ends.asked
    if is_client_retry:
        return REPEAT_PROBE * answered
    return max(LEAST_PART * (1.0 - others.refused_part), PROBE * answered)


class EntryShares:
    """What one node sends on to one service, by tenant, class and priority."""

    def __init__(self, random: RandomSource) -> None:
        """Start without knowledge: all is sent on."""
        self._random = random
        self._ends: dict[Kind, Ends] = {}
        self._of_all: dict[int, Ends] = {}
        self._pruned_at = 0.0

    def __len__(self) -> int:
        """Kinds of calls that are remembered."""
        return len(self._ends)

    def refusal(self, kind: Kind, is_client_retry: bool, now: float) -> NotRun | None:
        """Count a call that came; give why it is not sent on, if it is not."""
        self._prune(now)
        ends, of_all = self._seen(kind, now)
        ends.asked += 1.0
        others = Others(
            max(0.0, of_all.ended - ends.ended), max(0.0, of_all.refused - ends.refused)
        )
        if not _is_over_share(ends, others):
            return None
        if self._random.below(1.0) < _sent_on_part(ends, others, is_client_retry):
            return None
        return self._over_share()

    def answered(self, kind: Kind, now: float) -> None:
        """A call that was sent on was answered."""
        for ends in self._seen(kind, now):
            ends.answered += 1.0

    def refused(self, kind: Kind, now: float) -> None:
        """A call that was sent on was refused for want of slots."""
        for ends in self._seen(kind, now):
            ends.refused += 1.0

    # --- inside

    def _over_share(self) -> NotRun:
        """Give each call another time to come again."""
        window = LATEST_RETURN_SECONDS - SOONEST_RETURN_SECONDS
        seconds = SOONEST_RETURN_SECONDS + self._random.below(window)
        advice = math.ceil(seconds * 1_000)
        return NotRun(STATUS_UNAVAILABLE, OVER_SHARE, advice)

    def _seen(self, kind: Kind, now: float) -> tuple[Ends, Ends]:
        """Give what was seen of a kind of call, and of all of its class and priority."""
        ends = self._ends.get(kind)
        if ends is None:
            ends = self._ends[kind] = Ends(at=now)
        of_all = self._of_all.get(kind[1])
        if of_all is None:
            of_all = self._of_all[kind[1]] = Ends(at=now)
        ends.fade(now)
        of_all.fade(now)
        return ends, of_all

    def _prune(self, now: float) -> None:
        """Forget tenants who have made no call for a while."""
        if now - self._pruned_at < 10 * MEMORY_SECONDS:
            return
        idle_since = self._pruned_at
        self._pruned_at = now
        self._ends = {
            kind: ends for kind, ends in self._ends.items() if ends.at >= idle_since
        }
