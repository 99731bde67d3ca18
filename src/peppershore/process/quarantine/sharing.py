"""Distribution of crash records between nodes and relays.

A node reports each crash of its local back end to its relay. The relay forwards the
record to all other relays at once. Each relay sends its nodes the records of requests
under which two or more back ends crashed. A new link to a relay starts with all known
records, a new link to a node with those that nodes need, before the first update. Relays
compare a digest at every tick.
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
    """Write these records to disk, replacing those written before."""

    records: tuple[CrashRecord, ...]


class QuarantineSharing:
    """Maintains the quarantine table of a relay and shares its records."""

    def __init__(
        self, exchange: EndpointExchange, nodes: Collection[LinkId], is_kept: bool
    ) -> None:
        """Start with an empty table; if ``is_kept``, changes are written to disk.

        ``exchange`` holds the links to the other relays, ``nodes`` the links to nodes.
        """
        self.table = Quarantine()
        self._exchange = exchange
        self._nodes = nodes
        self._is_kept = is_kept

    def remember(self, records: tuple[CrashRecord, ...], now: float) -> None:
        """Add records that were stored on disk to the table."""
        for record in records:
            self.table.merge(record, now)

    def welcome_node(self, link: LinkId, now: float) -> list[Command]:
        """Send a newly connected node the records it needs, before anything else."""
        notable = self.table.notable(now)
        return [SendMessage(link, CrashesTold(notable))] if notable else []

    def welcome_relay(self, link: LinkId, now: float) -> list[Command]:
        """Send all known records to a relay on a new link."""
        records = self.table.records(now)
        return [SendMessage(link, CrashesTold(records))] if records else []

    def received(
        self, link: LinkId, message: CrashesTold | CrashesDigest, now: float
    ) -> list[Command]:
        """Handle records or a digest from a node or relay; ignore all other peers."""
        is_node = link in self._nodes
        if not is_node and not self._exchange.owns(link):
            return []
        if isinstance(message, CrashesDigest):
            return self._answer_digest(link, message, now)
        changes = tuple(each for each in message.records if self.table.merge(each, now))
        return self._broadcast(changes, now, to_relays=is_node)

    def release(self, key: bytes, now: float) -> list[Command]:
        """Release a request for an operator; do nothing if it is not known."""
        cleared = self.table.cleared(key, now)
        return [] if cleared is None else self._broadcast((cleared,), now, to_relays=True)

    def _answer_digest(
        self, link: LinkId, message: CrashesDigest, now: float
    ) -> list[Command]:
        """Send all known records to a peer whose digest differs."""
        if message.digest == self.table.digest():
            return []
        return [SendMessage(link, CrashesTold(self.table.records(now)))]

    def tick(self, now: float) -> list[Command]:
        """Remove old records and send a digest to the other relays.

        The digest is also sent when there are no records, so that relays with records
        send them.
        """
        self.table.forget_old(now)
        payload = encode_message(CrashesDigest(self.table.digest()))
        return [SendEncoded(link, payload) for link in self._exchange.open_links]

    def _broadcast(
        self, changes: tuple[CrashRecord, ...], now: float, *, to_relays: bool
    ) -> list[Command]:
        if not changes:
            return []
        out: list[Command] = []
        if to_relays:
            payload = encode_message(CrashesTold(changes))
            relays = self._exchange.open_links
            out.extend(SendEncoded(link, payload) for link in relays)
        notable = self._merged_records(self.table.notable_among(changes), now)
        if not notable:
            return out
        payload = encode_message(CrashesTold(notable))
        out.extend(SendEncoded(link, payload) for link in self._nodes)
        if self._is_kept:
            out.append(PersistQuarantine(self.table.notable(now)))
        out.extend(Report(notice) for notice in notices_of(notable))
        return out

    def _merged_records(
        self, records: tuple[CrashRecord, ...], now: float
    ) -> tuple[CrashRecord, ...]:
        """Return the table's records of the same requests, which include all reports."""
        known = (self.table.record(each.key, now) for each in records)
        return tuple(each for each in known if each is not None)
