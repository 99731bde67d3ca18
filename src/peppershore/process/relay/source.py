"""How a relay follows the control replicas and learns how fresh it is.

One replica is followed at a time.  Confirmations are asked for all the time;
the age of the newest one, measured from when it was asked for, is what the
relay tells its nodes.  A replica that stays silent is left for another.
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
"""How often a relay asks, and at least twice between two heartbeats: with a heartbeat each
half second a node's confirmation is then 0.75 s old at the most while all is well, and it
looks for another relay at 1.2 s, where the bound on changes is 2 s."""
UNCONFIRMED_SECONDS = 0.1
"""How often a relay asks whose newest confirmation is missing or late: a replica that
knows no leader yet may know one a moment later."""
LATE_SECONDS = 2 * CONFIRM_SECONDS
SILENCE_SECONDS = 2.0
"""A replica that confirms nothing for this long is left for another."""
CUT_OFF_SECONDS = 3.0
"""Without confirmation for so long, a relay asks itself whether only it is cut off;
longer than it takes to leave a dead replica for another."""
CUT_OFF_LEAD_SECONDS = 1.5
"""So much newer must another relay's confirmation be."""
BACKOFF_BASE_SECONDS = 0.1
BACKOFF_CEILING_SECONDS = 3.0
MAX_REQUESTS_IN_FLIGHT = 64


class SourceFollower:
    """The relay's link to one control replica."""

    def __init__(self, settings: RelaySettings, numbers: LinkNumbers) -> None:
        """Follow nothing until ``start``."""
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
        self._asked_at: dict[int, float] = {}
        self._waiting: list[tuple[float, Version]] = []
        self._heard_at = 0.0

    @property
    def open_link(self) -> LinkId | None:
        """The link to the replica, once it is open."""
        return self.link if self.is_open else None

    def start(self, randomness: Randomness, now: float) -> list[Command]:
        """Begin with a replica chosen at random."""
        self._randomness = randomness
        self._next_replica = int(randomness.below(len(self._settings.replicas)))
        return [*self._connect(now), SetTimer(CONFIRM_TIMER, UNCONFIRMED_SECONDS)]

    def opened(self, after_version: Version, now: float) -> list[Command]:
        """Ask the replica for everything after a version."""
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
            *self.ask_confirmation(now),
            Report(ReplicaFollowed(self._replica.name, after_version)),
        ]

    def lost(self, reason: str) -> list[Command]:
        """Forget the link and try another replica after a wait."""
        name = self._replica.name if self._replica else ""
        self.link = None
        self.is_open = False
        self._asked_at.clear()
        wait = self._randomness.backoff_seconds(
            self._failures, BACKOFF_BASE_SECONDS, BACKOFF_CEILING_SECONDS
        )
        self._failures += 1
        return [Report(ReplicaLost(name, reason)), SetTimer(RECONNECT_TIMER, wait)]

    def leave(self, reason: str) -> list[Command]:
        """Close the link, then go on as if it had been lost."""
        if self.link is None:
            return []
        return [CloseLink(self.link, reason), *self.lost(reason)]

    def reconnect(self, now: float) -> list[Command]:
        """Open a link to the next replica, unless there is one."""
        return [] if self.link is not None else self._connect(now)

    def confirm_tick(self, now: float) -> list[Command]:
        """Ask again; leave a replica that has confirmed nothing for too long."""
        again: list[Command] = [SetTimer(CONFIRM_TIMER, self._until_next(now))]
        if not self.is_open:
            return again
        if now - self._heard_at > SILENCE_SECONDS:
            return [*self.leave("no confirmation"), *again]
        return [*self.ask_confirmation(now), *again]

    def ask_confirmation(self, now: float) -> list[Command]:
        """Ask which version a quorum confirms."""
        if self.link is None or not self.is_open:
            return []
        if len(self._asked_at) >= MAX_REQUESTS_IN_FLIGHT:
            return []
        self._nonce += 1
        self._asked_at[self._nonce] = now
        return [SendMessage(self.link, ConfirmRequest(self._nonce))]

    def confirmed(self, reply: ConfirmReply, tree_version: Version, now: float) -> None:
        """Take a confirmation; it counts once the tree has reached its version."""
        asked_at = self._asked_at.pop(reply.nonce, None)
        if asked_at is None:
            return
        for nonce in [nonce for nonce in self._asked_at if nonce < reply.nonce]:
            del self._asked_at[nonce]
        self._heard_at = now
        self._failures = 0
        self._waiting.append((asked_at, reply.version))
        self.tree_reached(tree_version)

    def tree_reached(self, tree_version: Version) -> None:
        """Let the confirmations count that the tree has caught up with."""
        still_waiting: list[tuple[float, Version]] = []
        for asked_at, version in self._waiting:
            if version > tree_version:
                still_waiting.append((asked_at, version))
            elif self.confirmed_at is None or asked_at > self.confirmed_at:
                self.confirmed_at = asked_at
        self._waiting = still_waiting[-MAX_REQUESTS_IN_FLIGHT:]

    def age_milliseconds(self, now: float) -> int:
        """Tell how long ago the newest confirmation was asked for."""
        if self.confirmed_at is None:
            return NEVER_CONFIRMED_MILLISECONDS
        return math.ceil((now - self.confirmed_at) * 1_000)

    def is_fresh(self, now: float) -> bool:
        """Tell whether the newest confirmation is younger than the stale bound."""
        return self.age_milliseconds(now) <= self._settings.stale_after_milliseconds

    def is_cut_off(self, confirmed_elsewhere: float, now: float) -> bool:
        """Tell whether only this relay gets no confirmations.

        ``confirmed_elsewhere``: when the newest one of other relays was asked for.
        """
        if self.confirmed_at is None or now - self.confirmed_at < CUT_OFF_SECONDS:
            return False
        return confirmed_elsewhere - self.confirmed_at >= CUT_OFF_LEAD_SECONDS

    def _until_next(self, now: float) -> float:
        """Give the seconds until a confirmation is asked for again."""
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
