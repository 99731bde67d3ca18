"""The node's links to relays: one in use, and one that may take its place.

A relay is left for another only once the other has answered, except when the
link is gone or the relay is silent.  Reasons to move: the relay's confirmation
is stale, it says goodbye, or a relay that ranks higher is back.

Whether it is stale the node tells by its own clock, and when it looks for another
relay follows from the one bound within which changes come into force: what is silent,
cut off or slow is left by the same rule, before the bound and not after it.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from peppershore.connection.messages.node import NodeHello
from peppershore.connection.messages.session import CUT_OFF
from peppershore.process.commands import (
    CloseLink,
    Command,
    OpenLink,
    Report,
    SendMessage,
    SetTimer,
)
from peppershore.process.events import LinkId
from peppershore.process.link_numbers import LinkNumbers
from peppershore.process.node import notices
from peppershore.process.node.relay_choice import RelayChoice
from peppershore.process.randomness import Randomness
from peppershore.process.settings import NodeSettings, PeerRelay

MILLISECONDS = 1_000
CONNECT_TIMER = "relay.connect"
WATCH_TIMER = "relay.watch"

WATCH_SECONDS = 0.25
"""How often relays are looked at."""
WATCH_WITHOUT_RELAY_SECONDS = 0.1
"""The same while there is no relay, or only a stale one."""
OPENING_SECONDS = 1.0
"""A link that is not open by then is given up: its machine may be cut off."""
FIRST_OPENING_SECONDS = 0.2
"""The same while there is no relay at all, or only a stale one: another may be there at
once.  It doubles with each link given up in a row, for relays that are far away."""
ANSWER_SHARE = 2.5
"""A relay that is tried while there is no other of use answers within so many times what
a link may take to open: half a second at first.  Its answer is short but may wait behind
bodies on a full link, so each in vain doubles it, up to two seconds and a half."""
STALE_SHARE = 0.6
"""Part of the time in which changes come into force after which a relay counts as stale.
With both relays of a zone without quorum and a bound of 2 s (simulator, 8 seeds) a node
uses a change after 1.35 s at the latest, with 0.45 after 1.0 s and with 0.8 after 1.75 s;
of 12 nodes 8, 16 and 3 dial in vain when a leader is lost."""
SEARCH_SPREAD_SECONDS = 0.1
"""Nodes of a relay that is stale begin to look for another one within this time."""

ROUNDING_SECONDS = 0.001
"""A timer for a moment is due just after it."""

RELAY_LISTED_SECONDS = 0.2
"""A node that learns of a relay in its own zone moves there within this time."""


@dataclass(slots=True)
class RelaySession:
    """One link to a relay.  Times are monotonic seconds of the node."""

    link: LinkId
    relay: PeerRelay
    opened_at: float
    last_heard: float
    is_open: bool = False
    answered: bool = False
    is_leaving: bool = False
    """The relay said goodbye: another one must answer before it ends."""
    confirmed_at: float = -math.inf
    """When a quorum confirmed the relay's version, by this node's clock."""
    is_cut_off: bool = False
    """The relay said that others are fresher, and was not confirmed since."""

    def confirmed(self, at_milliseconds: int | None) -> None:
        """Note what the relay says of its newest confirmation."""
        if at_milliseconds is None:
            return
        confirmed_at = at_milliseconds / MILLISECONDS
        if confirmed_at > self.confirmed_at:
            self.confirmed_at = confirmed_at
            self.is_cut_off = False


class RelaySessions:
    """Keeps a session with the best relay there is."""

    def __init__(
        self,
        settings: NodeSettings,
        numbers: LinkNumbers,
        make_hello: Callable[[], NodeHello],
    ) -> None:
        """Connect to nothing until ``start``."""
        self.active: RelaySession | None = None
        self.candidate: RelaySession | None = None
        self._zone = settings.zone
        self._choice = RelayChoice(settings)
        self._rebalance_seconds = settings.rebalance_milliseconds / 1_000
        self._silence_seconds = settings.silence_milliseconds / 1_000
        self._stale_seconds = _stale_seconds(settings)
        self._numbers = numbers
        self._make_hello = make_hello
        self._randomness = Randomness(0)
        self._rebalance_at = 0.0
        self._connect_due = False
        self._quick_opening_seconds = FIRST_OPENING_SECONDS

    def start(self, randomness: Randomness, now: float) -> list[Command]:
        """Open the first link."""
        self._randomness = randomness
        self._plan_rebalance(now)
        return [*self.connect(now), SetTimer(WATCH_TIMER, WATCH_SECONDS)]

    def find(self, link: LinkId) -> RelaySession | None:
        """Give the session of a link."""
        for session in (self.active, self.candidate):
            if session is not None and session.link == link:
                return session
        return None

    def all_answered(self) -> tuple[RelaySession, ...]:
        """Give the sessions whose relay has answered the hello."""
        sessions = (self.active, self.candidate)
        return tuple(each for each in sessions if each is not None and each.answered)

    def connect(self, now: float) -> list[Command]:
        """Open a link to the next relay, unless one is being tried."""
        self._connect_due = False
        if self.candidate is not None:
            return []
        besides = self.active.relay.name if self.active else ""
        elsewhere = self._has_only_a_stale_one(now)
        relay = self._choice.next_relay(now, besides, elsewhere=elsewhere)
        return [] if relay is None else self._open(relay, now)

    def opened(self, session: RelaySession, now: float) -> list[Command]:
        """Say hello on a link that is open now."""
        session.is_open = True
        session.opened_at = now
        session.last_heard = now
        return [SendMessage(session.link, self._make_hello())]

    def closed(self, session: RelaySession, reason: str, now: float) -> list[Command]:
        """Forget a link that is gone and plan the next."""
        was_active = session is self.active
        if was_active:
            self.active = None
        else:
            self.candidate = None
        self._choice.failed(session.relay.name, now)
        out: list[Command] = []
        if was_active:
            out.append(Report(notices.RelayLeft(session.relay.name, reason)))
        if self.candidate is not None or not self._needs_relay:
            return out
        wait = self._choice.wait_seconds(self._randomness)
        notice = notices.RelayUnavailable(session.relay.name, reason, round(wait * 1_000))
        return [*out, Report(notice), *self._connect_after(wait)]

    def drop(self, session: RelaySession, reason: str, now: float) -> list[Command]:
        """Close a link from here and plan the next."""
        return [CloseLink(session.link, reason), *self.closed(session, reason, now)]

    def deferred(
        self, session: RelaySession, milliseconds: int, now: float
    ) -> list[Command]:
        """Come back later, as the relay asked; the wait is spread at random."""
        if session is self.active:
            return self.drop(session, "deferred", now)
        self.candidate = None
        close = CloseLink(session.link, "deferred")
        if not self._needs_relay:
            return [close]
        wait = self._randomness.below(milliseconds / 1_000)
        notice = notices.RelayUnavailable(
            session.relay.name, "deferred", round(wait * 1_000)
        )
        return [close, Report(notice), *self._connect_after(wait)]

    def heard(self, session: RelaySession, now: float) -> None:
        """Note that a relay spoke."""
        session.last_heard = now

    def settle(self, session: RelaySession, now: float) -> list[Command]:
        """Decide, after a relay's answer, whether the candidate takes over."""
        if session is not self.candidate:
            return []
        old = self.active
        if old is not None and not old.is_leaving:
            reason = self._no_reason_to_move(old, session, now)
            if reason:
                return self._reject(session, reason, now)
        self.active = session
        self.candidate = None
        self._quick_opening_seconds = FIRST_OPENING_SECONDS
        self._choice.succeeded(session.relay.name)
        out: list[Command] = [Report(notices.RelayChosen(session.relay.name))]
        if old is not None:
            out.append(CloseLink(old.link, "moved"))
        return out

    def goodbye(self, session: RelaySession, reason: str, now: float) -> list[Command]:
        """Move away from a relay that will stop, or that others are fresher than."""
        if session is self.candidate:
            return self.drop(session, "goodbye", now)
        if reason == CUT_OFF:
            session.is_cut_off = True
            return self._search(now)
        session.is_leaving = True
        self._choice.failed(session.relay.name, now)
        return self._connect_after(self._choice.wait_seconds(self._randomness))

    def begin_anew(self, now: float) -> list[Command]:
        """The process stood still: drop every session and connect again at once."""
        out: list[Command] = []
        for session in (self.candidate, self.active):
            if session is not None:
                out.append(CloseLink(session.link, "paused"))
                out.append(Report(notices.RelayLeft(session.relay.name, "paused")))
        self.active = None
        self.candidate = None
        return [*out, *self.connect(now)] if out else out

    def watch(self, now: float) -> list[Command]:
        """Leave silent relays; look for a better one when there is reason to."""
        out: list[Command] = []
        for session in (self.active, self.candidate):
            if session is not None and self._is_silent(session, now):
                if not session.answered:
                    doubled = 2.0 * self._quick_opening_seconds
                    self._quick_opening_seconds = min(doubled, OPENING_SECONDS)
                out.extend(self.drop(session, "silent", now))
        out.append(SetTimer(WATCH_TIMER, self._until_next_watch(now)))
        if self.active is None or self.candidate is not None or self._connect_due:
            return out
        if self._is_stale(self.active, now):
            out.extend(self._search(now))
        elif now >= self._rebalance_at:
            self._plan_rebalance(now)
            better = self._choice.better_than(self.active.relay.name, now)
            out.extend([] if better is None else self._open(better, now))
        return out

    def use_seeds(self, seeds: tuple[PeerRelay, ...]) -> None:
        """The settings name other relays to begin with."""
        self._choice.use_seeds(seeds)

    def use_listed(self, listed: tuple[PeerRelay, ...], now: float) -> list[Command]:
        """A relay told of those there are; move to one in the own zone soon."""
        self._choice.use_listed(listed)
        active = self.active
        if active is None or self._choice.is_in_own_zone(active.relay.name):
            return []
        if any(each.zone == self._zone for each in listed):
            wait = self._randomness.below(RELAY_LISTED_SECONDS)
            self._rebalance_at = min(self._rebalance_at, now + wait)
        return []

    def _search(self, now: float) -> list[Command]:
        """Look for a relay that is fresher than the one in use, which stays meanwhile.

        Those that did not fail lately are tried one right after the other, for each may
        be as stale; once all were tried the waits grow.
        """
        assert self.active is not None
        in_use = self.active.relay.name
        self._choice.failed(in_use, now)
        if self._choice.has_untried(now, in_use):
            wait = self._randomness.below(SEARCH_SPREAD_SECONDS)
        else:
            wait = self._choice.wait_seconds(self._randomness)
        return self._connect_after(wait)

    def _no_reason_to_move(
        self, old: RelaySession, session: RelaySession, now: float
    ) -> str:
        """Give why a candidate does not take over from a relay that stays, "" if it does.

        One that was tried because the old one was stale is not needed once that is
        fresh again, unless it goes before it anyhow.
        """
        if self._is_stale(session, now):
            return "stale"
        goes_first = self._choice.ranks_above(session.relay.name, old.relay.name)
        return "" if goes_first or self._is_stale(old, now) else "not needed"

    def _reject(self, session: RelaySession, reason: str, now: float) -> list[Command]:
        """Close a candidate; after a stale one the next is tried at once."""
        self.candidate = None
        out: list[Command] = [CloseLink(session.link, reason)]
        if reason != "stale":
            return out
        self._choice.failed(session.relay.name, now)
        assert self.active is not None
        is_needed = self._has_only_a_stale_one(now) and not self._connect_due
        if is_needed and self._choice.has_untried(now, self.active.relay.name):
            out.extend(self.connect(now))
        return out

    def _has_only_a_stale_one(self, now: float) -> bool:
        return self.active is not None and self._is_stale(self.active, now)

    def _until_next_watch(self, now: float) -> float:
        """Give the seconds to the next look: at the latest when a relay grows stale."""
        if self.active is None or self._is_stale(self.active, now):
            return WATCH_WITHOUT_RELAY_SECONDS
        fresh_for = self.active.confirmed_at + self._stale_seconds - now
        return min(WATCH_SECONDS, fresh_for + ROUNDING_SECONDS)

    def _is_silent(self, session: RelaySession, now: float) -> bool:
        """Tell whether nothing was heard for too long."""
        bound = self._silence_seconds
        if not session.answered:
            bound = min(bound, self._patience_seconds(session, now))
        return now - session.last_heard > bound

    def _patience_seconds(self, session: RelaySession, now: float) -> float:
        """Give how long a link may take to open, or a relay to answer the hello."""
        if self.active is not None and not self._is_stale(self.active, now):
            return self._silence_seconds if session.is_open else OPENING_SECONDS
        share = ANSWER_SHARE if session.is_open else 1.0
        return share * self._quick_opening_seconds

    def _is_stale(self, session: RelaySession, now: float) -> bool:
        """Tell whether the relay's version was confirmed too long ago."""
        return session.is_cut_off or now - session.confirmed_at > self._stale_seconds

    @property
    def _needs_relay(self) -> bool:
        """Whether there is no relay, or one that is about to end."""
        return self.active is None or self.active.is_leaving

    def _open(self, relay: PeerRelay, now: float) -> list[Command]:
        link = self._numbers.take()
        self.candidate = RelaySession(link, relay, opened_at=now, last_heard=now)
        return [OpenLink(link, relay.address)]

    def _connect_after(self, seconds: float) -> list[Command]:
        self._connect_due = True
        return [SetTimer(CONNECT_TIMER, seconds)]

    def _plan_rebalance(self, now: float) -> None:
        wait = self._randomness.between(
            0.5 * self._rebalance_seconds, 1.5 * self._rebalance_seconds
        )
        self._rebalance_at = now + wait


def _stale_seconds(settings: NodeSettings) -> float:
    """Give the age of a confirmation from which a relay is looked past."""
    derived = STALE_SHARE * settings.apply_milliseconds
    return (settings.stale_milliseconds or derived) / MILLISECONDS
