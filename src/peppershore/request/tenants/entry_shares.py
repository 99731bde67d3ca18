"""Early refusal, at the node that takes a call, of tenants who are over their share.

A node learns of shortage by how the calls that it sent on ended.  Where some of a
tenant's were refused for want of slots, it sends on little more of them than were
answered, and refuses the rest at once.  A tenant with few calls here is never refused
early: owners of back ends order what is left by fair shares.
"""

from __future__ import annotations

import math

import msgspec

from peppershore.request.client_retries import ClientRetryPace
from peppershore.request.outcome import STATUS_UNAVAILABLE, NotRun
from peppershore.request.picker import RandomSource

OVER_SHARE = "over-share"
"""Reason of an early refusal: the tenant's calls take more than its share of slots."""

MEMORY_SECONDS = 1.0
"""Ends of calls count less with time, by this decay: room that is free again is used
within a second."""

LEAST_ENDS = 3.0
"""Ends of a tenant's calls, after decay, without which nothing is known of it."""

SHORT_SHARE = 0.05
"""Part of its calls refused for want of slots from which on a tenant lacks room."""

PROBE = 1.25
"""So many times what was answered is sent on: with less, room that comes free would stay
unused; with more, owners refuse what they can't run."""

REPEAT_PROBE = 1.0
"""The same for calls that were refused before: they pay first."""

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
    def lacks_room(self) -> bool:
        """Whether enough is known, and too much of it was refused."""
        ended = self.answered + self.refused
        return ended >= LEAST_ENDS and self.refused > SHORT_SHARE * ended


class EntryShares:
    """What one node sends on to one service, by tenant, class and priority."""

    def __init__(self, random: RandomSource) -> None:
        """Start without knowledge: all is sent on."""
        self._random = random
        self._ends: dict[Kind, Ends] = {}
        self._all = Ends()
        self._paces: dict[str, ClientRetryPace] = {}
        self._pruned_at = 0.0

    def __len__(self) -> int:
        """Kinds of calls that are remembered."""
        return len(self._ends)

    def refusal(self, kind: Kind, is_client_retry: bool, now: float) -> NotRun | None:
        """Count a call that came; give why it is not sent on, if it is not."""
        self._prune(now)
        ends = self._ends.get(kind)
        if ends is None:
            ends = self._ends[kind] = Ends(at=now)
        ends.fade(now)
        ends.asked += 1.0
        self._all.fade(now)
        self._all.asked += 1.0
        if not ends.lacks_room:
            return None
        if self._random.below(1.0) < self._passing(ends, is_client_retry):
            return None
        return self._over_share(kind[0], now)

    def answered(self, kind: Kind, now: float) -> None:
        """A call that was sent on was answered."""
        ends = self._ended(kind, now)
        ends.answered += 1.0
        self._all.answered += 1.0
        pace = self._paces.get(kind[0])
        if pace is not None:
            pace.answered(now)

    def refused(self, kind: Kind, now: float) -> None:
        """A call that was sent on was refused for want of slots."""
        self._ended(kind, now).refused += 1.0
        self._all.refused += 1.0

    # --- inside

    def _passing(self, ends: Ends, is_client_retry: bool) -> float:
        """Give the part of a tenant's calls to send on.

        At least as much as is answered of all calls here, so that what an owner sees
        asked for does not shrink with what it gives.
        """
        probe = REPEAT_PROBE if is_client_retry else PROBE
        usual = self._all.answered / self._all.asked
        return max(probe * ends.answered / ends.asked, usual)

    def _over_share(self, tenant: str, now: float) -> NotRun:
        """Give each of a tenant's calls another time to come again."""
        pace = self._paces.get(tenant)
        if pace is None:
            pace = self._paces[tenant] = ClientRetryPace()
        advice = math.ceil(pace.book(0.0, now) * 1_000)
        return NotRun(STATUS_UNAVAILABLE, OVER_SHARE, advice)

    def _ended(self, kind: Kind, now: float) -> Ends:
        ends = self._ends.get(kind)
        if ends is None:
            ends = self._ends[kind] = Ends(at=now)
        ends.fade(now)
        self._all.fade(now)
        return ends

    def _prune(self, now: float) -> None:
        """Forget tenants who have made no call for a while."""
        if now - self._pruned_at < 10 * MEMORY_SECONDS:
            return
        idle_since = self._pruned_at
        self._pruned_at = now
        self._ends = {
            kind: ends for kind, ends in self._ends.items() if ends.at >= idle_since
        }
        there = {tenant for tenant, _ in self._ends}
        self._paces = {name: pace for name, pace in self._paces.items() if name in there}
