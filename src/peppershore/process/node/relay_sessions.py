"""The node's links to relays: one in use, and one that may take its place.

A relay is left for another only once the other has answered, except when the
link is gone or the relay is silent.  Reasons to move: the relay's confirmation
is stale, it says goodbye, or a relay that ranks higher is back.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from peppershore.connection.messages.node import NodeHello
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
WATCH_WITHOUT_RELAY_SECONDS = 0.1
OPENING_SECONDS = 1.0
"""A link that is not open by then is given up: its machine may be cut off."""
FIRST_OPENING_SECONDS = 0.2
"""The same while there is no relay at all: another may be there at once.  It doubles
with each link given up in a row, for relays that are far away."""

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

    def confirmed(self, at_milliseconds: int | None) -> None:
        """Note what the relay says of its newest confirmation."""
        if at_milliseconds is not None:
            self.confirmed_at = max(self.confirmed_at, at_milliseconds / MILLISECONDS)


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
        self._stale_seconds = settings.stale_milliseconds / MILLISECONDS
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
        relay = self._choice.next_relay(now, besides)
        return [] if relay is None else self._open(relay, now)

    def opened(self, session: RelaySession, now: float) -> list[Command]:
        """Say hello on a link that is open now."""
        session.is_open = True
        self._quick_opening_seconds = FIRST_OPENING_SECONDS
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
        if old is not None and not old.is_leaving and self._is_stale(session, now):
            self.candidate = None
            self._choice.failed(session.relay.name, now)
            return [CloseLink(session.link, "stale")]
        self.active = session
        self.candidate = None
        self._choice.succeeded(session.relay.name)
        out: list[Command] = [Report(notices.RelayChosen(session.relay.name))]
        if old is not None:
            out.append(CloseLink(old.link, "moved"))
        return out

    def goodbye(self, session: RelaySession, now: float) -> list[Command]:
        """Move away from a relay that will stop."""
        if session is self.candidate:
            return self.drop(session, "goodbye", now)
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
                if not session.is_open:
                    doubled = 2.0 * self._quick_opening_seconds
                    self._quick_opening_seconds = min(doubled, OPENING_SECONDS)
                out.extend(self.drop(session, "silent", now))
        wait = WATCH_SECONDS if self.active else WATCH_WITHOUT_RELAY_SECONDS
        out.append(SetTimer(WATCH_TIMER, wait))
        if self.active is None or self.candidate is not None or self._connect_due:
            return out
        if self._is_stale(self.active, now):
            self._choice.failed(self.active.relay.name, now)
            out.extend(self._connect_after(self._choice.wait_seconds(self._randomness)))
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

    def _is_silent(self, session: RelaySession, now: float) -> bool:
        """Tell whether nothing was heard for too long."""
        bound = self._silence_seconds if session.is_open else self._opening_seconds
        return now - session.last_heard > min(bound, self._silence_seconds)

    @property
    def _opening_seconds(self) -> float:
        """How long a link may take to open."""
        return self._quick_opening_seconds if self.active is None else OPENING_SECONDS

    def _is_stale(self, session: RelaySession, now: float) -> bool:
        """Tell whether the relay's version was confirmed too long ago."""
        return now - session.confirmed_at > self._stale_seconds

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
