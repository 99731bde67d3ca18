"""What a node's core knows of requests that end back ends, and whom it tells."""

from __future__ import annotations

from peppershore.connection.messages.crashes import CrashesTold, CrashRecord
from peppershore.process.commands import Command, Report, SendMessage
from peppershore.process.events import LinkId
from peppershore.process.node.commands import QuarantineChanged
from peppershore.process.node.inputs import BackEndEnded, SuspectEndedWell
from peppershore.process.quarantine.notices import notices_of
from peppershore.request.quarantine import Quarantine


class NodeQuarantine:
    """The quarantine of one node: its relay and its data plane hear what is news."""

    def __init__(self) -> None:
        """Know of nothing."""
        self.table = Quarantine()

    def learned(
        self, event: BackEndEnded | SuspectEndedWell, relay: LinkId | None, now: float
    ) -> list[Command]:
        """Take what the back end beside this node showed; ``relay`` is the one in use."""
        if isinstance(event, BackEndEnded):
            under = event.under
            records = tuple(self.table.ended(each, event.life, now) for each in under)
        else:
            cleared = self.table.cleared(event.key, now)
            records = () if cleared is None else (cleared,)
        out = self._heed(records)
        if records and relay is not None:
            out.append(SendMessage(relay, CrashesTold(records)))
        return out

    def told(self, message: CrashesTold, now: float) -> list[Command]:
        """Take what a relay knows."""
        merge = self.table.merge
        return self._heed(tuple(each for each in message.records if merge(each, now)))

    def introduce(self, relay: LinkId, now: float) -> list[Command]:
        """Tell a relay that is used from now on: it may have heard nothing of it."""
        if not len(self.table):
            return []
        return [SendMessage(relay, CrashesTold(self.table.records(now)))]

    def _heed(self, records: tuple[CrashRecord, ...]) -> list[Command]:
        if not records:
            return []
        reports = (Report(notice) for notice in notices_of(records))
        return [QuarantineChanged(records), *reports]
