"""Follow the control replicas and track how fresh the relay's version is.

The relay follows one replica at a time and regularly requests confirmations from it. A
confirmation states which version a quorum confirms, and its age counts from its request.
The relay reports the time of the newest one to its nodes. If a replica stays silent, the
relay switches to another one.
"""

from __future__ import annotations

import math

from peppershore.connection.messages.endpoints import NEVER_CONFIRMED_MILLISECONDS
from peppershore.connection.messages.relay import (
    ConfirmReply,
    ConfirmRequest,
    FollowRequest,
)
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
from peppershore.process.randomness import Randomness
from peppershore.process.relay.notices import ReplicaFollowed, ReplicaLost
from peppershore.process.settings import PeerReplica, RelaySettings
from peppershore.version.model import Version

CONFIRM_TIMER = "source.confirm"
RECONNECT_TIMER = "source.reconnect"

CONFIRM_SECONDS = 0.25
"""Interval of confirmation requests; shorter if needed for two requests per heartbeat.

With a heartbeat every 0.5 s, the confirmation that a node holds is at most 0.75 s old in
normal operation. A node looks for another relay at 1.2 s, and changes must be in force
within 2 s."""
UNCONFIRMED_SECONDS = 0.1
"""Request interval while the newest confirmation is missing or late. A replica that
knows no leader yet may find one within moments."""
LATE_SECONDS = 2 * CONFIRM_SECONDS
SILENCE_SECONDS = 2.0
"""A relay leaves a replica that confirms nothing for this long."""
CUT_OFF_SECONDS = 3.0
"""After this long without a confirmation, a relay checks whether only it is cut off.
This is longer than the time to replace a dead replica."""
CUT_OFF_LEAD_SECONDS = 1.5
"""A relay counts as cut off only if another's confirmation is newer by at least this."""
BACKOFF_BASE_SECONDS = 0.1
BACKOFF_CEILING_SECONDS = 3.0
MAX_REQUESTS_IN_FLIGHT = 64


class SourceFollower:
    """Manages the relay's link to a control replica and its confirmations."""

    def __init__(self, settings: RelaySettings, numbers: LinkNumbers) -> None:
        """Create without a link; ``start`` opens one."""
        self.link: LinkId | None = None
        self.is_open = False
        self.confirmed_at: float | None = None
        self._settings = settings
        heartbeat_seconds = settings.freshness_milliseconds / 1_000
        self._confirm_seconds = min(CONFIRM_SECONDS, 0.5 * heartbeat_seconds)
        self._numbers = numbers
        self._randomness = Randomness(0)
        self._next_replica = 0
        self._replica: PeerReplica | None = None
        self._failures = 0
        self._nonce = 0
        self._requested_at: dict[int, float] = {}
        self._waiting: list[tuple[float, Version]] = []
        self._heard_at = 0.0

    @property
    def open_link(self) -> LinkId | None:
        """Link to the replica, or None while it is not open."""
        return self.link if self.is_open else None

    def start(self, randomness: Randomness, now: float) -> list[Command]:
        """Connect to a replica chosen at random."""
        self._randomness = randomness
        self._next_replica = int(randomness.below(len(self._settings.replicas)))
        return [*self._connect(now), SetTimer(CONFIRM_TIMER, UNCONFIRMED_SECONDS)]

    def opened(self, after_version: Version, now: float) -> list[Command]:
        """Follow the replica on an open link, starting after ``after_version``."""
        assert self.link is not None
        assert self._replica is not None
        self.is_open = True
        self._heard_at = now
        follow = FollowRequest(
            self._settings.cluster,
            self._settings.relay,
            self._settings.zone,
            after_version,
        )
        return [
            SendMessage(self.link, follow),
            *self.request_confirmation(now),
            Report(ReplicaFollowed(self._replica.name, after_version)),
        ]

    def lost(self, reason: str) -> list[Command]:
        """Handle the loss of the link; try the next replica after a backoff."""
        name = self._replica.name if self._replica else ""
        self.link = None
        self.is_open = False
        self._requested_at.clear()
        wait = self._randomness.backoff_seconds(
            self._failures, BACKOFF_BASE_SECONDS, BACKOFF_CEILING_SECONDS
        )
        self._failures += 1
        return [Report(ReplicaLost(name, reason)), SetTimer(RECONNECT_TIMER, wait)]

    def leave(self, reason: str) -> list[Command]:
        """Close the link and try the next replica after a backoff."""
        if self.link is None:
            return []
        return [CloseLink(self.link, reason), *self.lost(reason)]

    def reconnect(self, now: float) -> list[Command]:
        """Open a link to the next replica, unless a link exists."""
        return [] if self.link is not None else self._connect(now)

    def confirm_tick(self, now: float) -> list[Command]:
        """Request a confirmation; leave a replica after ``SILENCE_SECONDS`` without one."""
        next_request: list[Command] = [
            SetTimer(CONFIRM_TIMER, self._seconds_until_request(now))
        ]
        if not self.is_open:
            return next_request
        if now - self._heard_at > SILENCE_SECONDS:
            return [*self.leave("no confirmation"), *next_request]
        return [*self.request_confirmation(now), *next_request]

    def request_confirmation(self, now: float) -> list[Command]:
        """Request the version that a quorum confirms.

        Send nothing if no link is open or too many requests are unanswered.
        """
        if self.link is None or not self.is_open:
            return []
        if len(self._requested_at) >= MAX_REQUESTS_IN_FLIGHT:
            return []
        self._nonce += 1
        self._requested_at[self._nonce] = now
        return [SendMessage(self.link, ConfirmRequest(self._nonce))]

    def confirmed(self, reply: ConfirmReply, tree_version: Version, now: float) -> None:
        """Handle a confirmation; it counts once the tree has reached its version."""
        requested_at = self._requested_at.pop(reply.nonce, None)
        if requested_at is None:
            return
        for nonce in [nonce for nonce in self._requested_at if nonce < reply.nonce]:
            del self._requested_at[nonce]
        self._heard_at = now
        self._failures = 0
        self._waiting.append((requested_at, reply.version))
        self.tree_reached(tree_version)

    def tree_reached(self, tree_version: Version) -> None:
        """Put into effect the waiting confirmations whose version the tree has reached."""
        still_waiting: list[tuple[float, Version]] = []
        for requested_at, version in self._waiting:
            if version > tree_version:
                still_waiting.append((requested_at, version))
            elif self.confirmed_at is None or requested_at > self.confirmed_at:
                self.confirmed_at = requested_at
        self._waiting = still_waiting[-MAX_REQUESTS_IN_FLIGHT:]

    def age_milliseconds(self, now: float) -> int:
        """Return the milliseconds since the newest confirmation was requested."""
        if self.confirmed_at is None:
            return NEVER_CONFIRMED_MILLISECONDS
        return math.ceil((now - self.confirmed_at) * 1_000)

    def is_fresh(self, now: float) -> bool:
        """Return whether the newest confirmation is within the stale limit."""
        return self.age_milliseconds(now) <= self._settings.stale_after_milliseconds

    def is_cut_off(self, confirmed_elsewhere: float, now: float) -> bool:
        """Return whether this relay lacks confirmations while another has them.

        ``confirmed_elsewhere`` is when the newest confirmation of another relay was
        requested, in monotonic seconds.
        """
        if self.confirmed_at is None or now - self.confirmed_at < CUT_OFF_SECONDS:
            return False
        return confirmed_elsewhere - self.confirmed_at >= CUT_OFF_LEAD_SECONDS

    def _seconds_until_request(self, now: float) -> float:
        """Return the seconds until the next confirmation request."""
        confirmed_at = self.confirmed_at
        late = confirmed_at is None or now - confirmed_at > LATE_SECONDS
        usual = self._confirm_seconds
        return min(UNCONFIRMED_SECONDS, usual) if late else usual

    def _connect(self, now: float) -> list[Command]:
        replicas = self._settings.replicas
        self._replica = replicas[self._next_replica % len(replicas)]
        self._next_replica += 1
        self.link = self._numbers.take()
        self._heard_at = now
        return [OpenLink(self.link, self._replica.address)]
