"""The node's links to relays: the active one, and a candidate that may replace it.

The node leaves a relay for another only once the other has answered, unless the link
is closed or the relay is silent. It moves if the relay's latest confirmation by a quorum
is stale, if the relay says goodbye, or if a relay that ranks higher is available again.

The node judges staleness by its own clock. The time after which it searches for another
relay is derived from the time within which configuration changes must come into force, so
that a relay that is silent, cut off or slow is replaced before that time has passed.
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
"""Interval between checks whether the relays in use are silent or stale."""
WATCH_WITHOUT_RELAY_SECONDS = 0.1
"""Interval between checks while there is no relay, or only a stale one."""
OPENING_SECONDS = 1.0
"""Time-out for opening a link; the machine of the relay may be unreachable."""
FIRST_OPENING_SECONDS = 0.2
"""First time-out for opening a link while there is no relay, or only a stale one.

It is short because another relay may be available immediately. It doubles after each
consecutive link that is given up, up to ``OPENING_SECONDS``, for relays that are far away.
"""
ANSWER_TIMEOUT_FACTOR = 2.5
"""Time-out for a relay's answer to the hello, as a multiple of that for opening a link.

It applies while there is no usable relay, and is 0.5 s at first. The answer is short but
may wait behind bodies on a full link, so the time-out doubles after each relay that was
tried in vain, up to 2.5 s.
"""
STALE_SHARE = 0.6
"""Age from which a confirmation is stale, as a share of ``apply_milliseconds``.

A smaller share brings changes into use sooner but causes more links that are opened in
vain. In simulations (8 random seeds) with both relays of a zone without a quorum and a
limit of 2 s, a node uses a change after at most 1.35 s (1.0 s with 0.45, 1.75 s with 0.8).
With 12 nodes, 8 links are opened in vain when a leader is lost (16 with 0.45, 3 with 0.8).
"""
SEARCH_SPREAD_SECONDS = 0.1
"""Nodes of a stale relay spread the start of their search over this time."""

ROUNDING_SECONDS = 0.001
"""Added to a timer for a point in time, so that it fires just after that time."""

RELAY_LISTED_SECONDS = 0.2
"""A node that learns of a relay in its own zone tries to move there within this time."""


@dataclass(slots=True)
class RelaySession:
    """One link to a relay. Times are monotonic seconds of the node."""

    link: LinkId
    relay: PeerRelay
    opened_at: float
    last_received_at: float
    is_open: bool = False
    answered: bool = False
    is_leaving: bool = False
    """Whether the relay said goodbye: another one must answer before it stops."""
    confirmed_at: float = -math.inf
    """When a quorum last confirmed the relay's version, by this node's clock."""
    is_cut_off: bool = False
    """Whether the relay reported that it is cut off from the control replicas.

    It reports this when other relays are fresher. A newer confirmation resets the flag.
    """

    def record_confirmation(self, at_milliseconds: int | None) -> None:
        """Record the time of the relay's latest confirmation, if it is a newer one."""
        if at_milliseconds is None:
            return
        confirmed_at = at_milliseconds / MILLISECONDS
        if confirmed_at > self.confirmed_at:
            self.confirmed_at = confirmed_at
            self.is_cut_off = False


class RelaySessions:
    """Maintains a session with the best available relay."""

    def __init__(
        self,
        settings: NodeSettings,
        numbers: LinkNumbers,
        make_hello: Callable[[], NodeHello],
    ) -> None:
        """Initialize without any link; ``start`` opens the first one.

        ``numbers`` supplies the ids of links, and ``make_hello`` the message that each
        link begins with.
        """
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
        self._short_opening_seconds = FIRST_OPENING_SECONDS

    def start(self, randomness: Randomness, now: float) -> list[Command]:
        """Open the first link and start the periodic checks."""
        self._randomness = randomness
        self._plan_rebalance(now)
        return [*self.connect(now), SetTimer(WATCH_TIMER, WATCH_SECONDS)]

    def find(self, link: LinkId) -> RelaySession | None:
        """Return the session of a link; None if there is none."""
        for session in (self.active, self.candidate):
            if session is not None and session.link == link:
                return session
        return None

    def all_answered(self) -> tuple[RelaySession, ...]:
        """Return the sessions whose relay has answered the hello."""
        sessions = (self.active, self.candidate)
        return tuple(each for each in sessions if each is not None and each.answered)

    def connect(self, now: float) -> list[Command]:
        """Open a link to the next relay unless there is already a candidate."""
        self._connect_due = False
        if self.candidate is not None:
            return []
        excluding = self.active.relay.name if self.active else ""
        other_zones_first = self._is_active_stale(now)
        relay = self._choice.next_relay(now, excluding, other_zones_first=other_zones_first)
        return [] if relay is None else self._open(relay, now)

    def opened(self, session: RelaySession, now: float) -> list[Command]:
        """Send the hello on a link that has opened."""
        session.is_open = True
        session.opened_at = now
        session.last_received_at = now
        return [SendMessage(session.link, self._make_hello())]

    def closed(self, session: RelaySession, reason: str, now: float) -> list[Command]:
        """Remove the session of a closed link; schedule a new one if a relay is needed."""
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
        """Close a link; schedule a new one if a relay is needed."""
        return [CloseLink(session.link, reason), *self.closed(session, reason, now)]

    def deferred(
        self, session: RelaySession, milliseconds: int, now: float
    ) -> list[Command]:
        """Close a link whose relay asked to retry later; schedule the next one.

        The wait is random, at most ``milliseconds``. If the active relay asks this, the
        usual back-off applies.
        """
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

    def note_received(self, session: RelaySession, now: float) -> None:
        """Record that a message of the relay was received."""
        session.last_received_at = now

    def resolve_candidate(self, session: RelaySession, now: float) -> list[Command]:
        """Put a candidate that has answered in the active relay's place, or reject it."""
        if session is not self.candidate:
            return []
        old = self.active
        if old is not None and not old.is_leaving:
            reason = self._rejection_reason(old, session, now)
            if reason:
                return self._reject(session, reason, now)
        self.active = session
        self.candidate = None
        self._short_opening_seconds = FIRST_OPENING_SECONDS
        self._choice.succeeded(session.relay.name)
        out: list[Command] = [Report(notices.RelayChosen(session.relay.name))]
        if old is not None:
            out.append(CloseLink(old.link, "moved"))
        return out

    def goodbye(self, session: RelaySession, reason: str, now: float) -> list[Command]:
        """Look for a replacement of a relay that will stop or is cut off.

        The relay remains in use until another one has answered.
        """
        if session is self.candidate:
            return self.drop(session, "goodbye", now)
        if reason == CUT_OFF:
            session.is_cut_off = True
            return self._search(now)
        session.is_leaving = True
        self._choice.failed(session.relay.name, now)
        return self._connect_after(self._choice.wait_seconds(self._randomness))

    def reconnect_all(self, now: float) -> list[Command]:
        """Drop all sessions after a suspension of the process and reconnect immediately."""
        out: list[Command] = []
        for session in (self.candidate, self.active):
            if session is not None:
                out.append(CloseLink(session.link, "paused"))
                out.append(Report(notices.RelayLeft(session.relay.name, "paused")))
        self.active = None
        self.candidate = None
        return [*out, *self.connect(now)] if out else out

    def watch(self, now: float) -> list[Command]:
        """Drop silent relays; look for another if the active one is stale.

        From time to time, also look for a relay that ranks above the active one.
        """
        out: list[Command] = []
        for session in (self.active, self.candidate):
            if session is not None and self._is_silent(session, now):
                if not session.answered:
                    doubled = 2.0 * self._short_opening_seconds
                    self._short_opening_seconds = min(doubled, OPENING_SECONDS)
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
        """Replace the relays named in the settings."""
        self._choice.use_seeds(seeds)

    def use_listed(self, listed: tuple[PeerRelay, ...], now: float) -> list[Command]:
        """Replace the listed relays; try to move soon to one in the node's zone."""
        self._choice.use_listed(listed)
        active = self.active
        if active is None or self._choice.is_in_own_zone(active.relay.name):
            return []
        if any(each.zone == self._zone for each in listed):
            wait = self._randomness.below(RELAY_LISTED_SECONDS)
            self._rebalance_at = min(self._rebalance_at, now + wait)
        return []

    def _search(self, now: float) -> list[Command]:
        """Schedule a link to a fresher relay; the active one is used meanwhile.

        Relays without a recent failure are tried in quick succession, because each of them
        may be as stale. Once all were tried, the waits grow.
        """
        assert self.active is not None
        in_use = self.active.relay.name
        self._choice.failed(in_use, now)
        if self._choice.has_untried(now, in_use):
            wait = self._randomness.below(SEARCH_SPREAD_SECONDS)
        else:
            wait = self._choice.wait_seconds(self._randomness)
        return self._connect_after(wait)

    def _rejection_reason(
        self, old: RelaySession, session: RelaySession, now: float
    ) -> str:
        """Return why a candidate does not replace the old relay, "" if it does.

        A candidate that was tried because the old relay was stale is not needed once that
        is fresh again, unless the candidate ranks above it.
        """
        if self._is_stale(session, now):
            return "stale"
        goes_first = self._choice.ranks_above(session.relay.name, old.relay.name)
        return "" if goes_first or self._is_stale(old, now) else "not needed"

    def _reject(self, session: RelaySession, reason: str, now: float) -> list[Command]:
        """Close a candidate; if it was stale, try the next relay immediately."""
        self.candidate = None
        out: list[Command] = [CloseLink(session.link, reason)]
        if reason != "stale":
            return out
        self._choice.failed(session.relay.name, now)
        assert self.active is not None
        is_needed = self._is_active_stale(now) and not self._connect_due
        if is_needed and self._choice.has_untried(now, self.active.relay.name):
            out.extend(self.connect(now))
        return out

    def _is_active_stale(self, now: float) -> bool:
        return self.active is not None and self._is_stale(self.active, now)

    def _until_next_watch(self, now: float) -> float:
        """Return the seconds to the next check, at the latest when the relay gets stale."""
        if self.active is None or self._is_stale(self.active, now):
            return WATCH_WITHOUT_RELAY_SECONDS
        fresh_for = self.active.confirmed_at + self._stale_seconds - now
        return min(WATCH_SECONDS, fresh_for + ROUNDING_SECONDS)

    def _is_silent(self, session: RelaySession, now: float) -> bool:
        """Return whether the session's relay has sent nothing for too long."""
        bound = self._silence_seconds
        if not session.answered:
            bound = min(bound, self._answer_timeout_seconds(session, now))
        return now - session.last_received_at > bound

    def _answer_timeout_seconds(self, session: RelaySession, now: float) -> float:
        """Return the time-out in seconds for a link to open, or for a relay's answer."""
        if self.active is not None and not self._is_stale(self.active, now):
            return self._silence_seconds if session.is_open else OPENING_SECONDS
        factor = ANSWER_TIMEOUT_FACTOR if session.is_open else 1.0
        return factor * self._short_opening_seconds

    def _is_stale(self, session: RelaySession, now: float) -> bool:
        """Return whether the relay is cut off or a quorum confirmed it too long ago."""
        return session.is_cut_off or now - session.confirmed_at > self._stale_seconds

    @property
    def _needs_relay(self) -> bool:
        """Whether there is no active relay, or one that is about to stop."""
        return self.active is None or self.active.is_leaving

    def _open(self, relay: PeerRelay, now: float) -> list[Command]:
        link = self._numbers.take()
        self.candidate = RelaySession(link, relay, opened_at=now, last_received_at=now)
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
    """Return the age in seconds beyond which a relay's confirmation is stale."""
    derived = STALE_SHARE * settings.apply_milliseconds
    return (settings.stale_milliseconds or derived) / MILLISECONDS
