"""How relays and nodes come to know the same of requests that end back ends.

A node tells its relay of each end beside it, the relay all other relays at once, and each
relay its nodes, of what two back ends or more ended under.  A new link begins with all that
is known, a node's first update follows that, and relays compare a digest with every tick.
"""

from __future__ import annotations

from collections.abc import Collection

from peppershore.connection.codec import encode_message
from peppershore.connection.messages.crashes import (
    CrashesDigest,
    CrashesTold,
    CrashRecord,
)
from peppershore.process.commands import Command, Report, SendEncoded, SendMessage
from peppershore.process.endpoints.exchange import EndpointExchange
from peppershore.process.events import LinkId
from peppershore.process.quarantine.notices import notices_of
from peppershore.request.quarantine import Quarantine


class PersistQuarantine(Command, frozen=True):
    """Write what must outlive the process to disk, in place of what was written before."""

    records: tuple[CrashRecord, ...]


class QuarantineSharing:
    """The quarantine of a relay."""

    def __init__(
        self, exchange: EndpointExchange, nodes: Collection[LinkId], is_kept: bool
    ) -> None:
        """Know of nothing; where ``is_kept``, have changes written to disk.

        ``exchange`` has the links to the other relays, ``nodes`` are those of the sessions.
        """
        self.table = Quarantine()
        self._exchange = exchange
        self._nodes = nodes
        self._is_kept = is_kept

    def remember(self, records: tuple[CrashRecord, ...], now: float) -> None:
        """Begin with what was on disk."""
        for record in records:
            self.table.merge(record, now)

    def welcome_node(self, link: LinkId, now: float) -> list[Command]:
        """Tell a node that has just come, before it is told anything else."""
        notable = self.table.notable(now)
        return [SendMessage(link, CrashesTold(notable))] if notable else []

    def welcome_relay(self, link: LinkId, now: float) -> list[Command]:
        """Tell a relay on a new link all that is known."""
        records = self.table.records(now)
        return [SendMessage(link, CrashesTold(records))] if records else []

    def received(
        self, link: LinkId, message: CrashesTold | CrashesDigest, now: float
    ) -> list[Command]:
        """Take what a node or another relay knows; nobody else is heard."""
        is_node = link in self._nodes
        if not is_node and not self._exchange.owns(link):
            return []
        if isinstance(message, CrashesDigest):
            return self._compared(link, message, now)
        news = tuple(each for each in message.records if self.table.merge(each, now))
        return self._spread(news, now, to_relays=is_node)

    def release(self, key: bytes, now: float) -> list[Command]:
        """An operator lets a request go; nothing follows if it is not known."""
        cleared = self.table.cleared(key, now)
        return [] if cleared is None else self._spread((cleared,), now, to_relays=True)

    def _compared(self, link: LinkId, message: CrashesDigest, now: float) -> list[Command]:
        """Tell a relay that knows something else what is known here."""
        if message.digest == self.table.digest():
            return []
        return [SendMessage(link, CrashesTold(self.table.records(now)))]

    def tick(self, now: float) -> list[Command]:
        """Forget what is old, and let the other relays compare.

        One that knows of nothing says so too: whoever knows more tells it.
        """
        self.table.forget_old(now)
        payload = encode_message(CrashesDigest(self.table.digest()))
        return [SendEncoded(link, payload) for link in self._exchange.open_links]

    def _spread(
        self, news: tuple[CrashRecord, ...], now: float, *, to_relays: bool
    ) -> list[Command]:
        if not news:
            return []
        out: list[Command] = []
        if to_relays:
            payload = encode_message(CrashesTold(news))
            relays = self._exchange.open_links
            out.extend(SendEncoded(link, payload) for link in relays)
        notable = self._as_known(self.table.notable_among(news), now)
        if not notable:
            return out
        payload = encode_message(CrashesTold(notable))
        out.extend(SendEncoded(link, payload) for link in self._nodes)
        if self._is_kept:
            out.append(PersistQuarantine(self.table.notable(now)))
        out.extend(Report(notice) for notice in notices_of(notable))
        return out

    def _as_known(
        self, records: tuple[CrashRecord, ...], now: float
    ) -> tuple[CrashRecord, ...]:
        """Give all that is known of these requests, not only what was just told."""
        known = (self.table.record(each.key, now) for each in records)
        return tuple(each for each in known if each is not None)
