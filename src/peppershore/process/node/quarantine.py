"""Requests suspected of crashing back ends: a node's records and their exchange."""

from __future__ import annotations

from peppershore.connection.messages.crashes import CrashesTold, CrashRecord
from peppershore.process.commands import Command, Report, SendMessage
from peppershore.process.events import LinkId
from peppershore.process.node.commands import QuarantineChanged
from peppershore.process.node.inputs import BackEndEnded, SuspectEndedWell
from peppershore.process.quarantine.notices import notices_of
from peppershore.request.quarantine import Quarantine


class NodeQuarantine:
    """Quarantine of one node; passes new records to its data plane and its relay."""

    def __init__(self) -> None:
        """Start without records."""
        self.table = Quarantine()

    def record_outcome(
        self, event: BackEndEnded | SuspectEndedWell, relay: LinkId | None, now: float
    ) -> list[Command]:
        """Record requests suspected after a crash, or a suspected one that was answered.

        ``relay`` is the link to the relay in use, None if there is none. Return the
        commands that pass new records to the data plane and the relay.
        """
        if isinstance(event, BackEndEnded):
            under = event.under
            records = tuple(
                self.table.record_crash(each, event.life, now) for each in under
            )
        else:
            cleared = self.table.cleared(event.key, now)
            records = () if cleared is None else (cleared,)
        out = self._apply(records)
        if records and relay is not None:
            out.append(SendMessage(relay, CrashesTold(records)))
        return out

    def merge_records(self, message: CrashesTold, now: float) -> list[Command]:
        """Merge records of a relay; return the commands that apply the new ones."""
        merge = self.table.merge
        return self._apply(tuple(each for each in message.records if merge(each, now)))

    def send_all_to(self, relay: LinkId, now: float) -> list[Command]:
        """Return the command that sends all records to a newly chosen relay.

        That relay may not have received any of them yet.
        """
        if not len(self.table):
            return []
        return [SendMessage(relay, CrashesTold(self.table.records(now)))]

    def _apply(self, records: tuple[CrashRecord, ...]) -> list[Command]:
        if not records:
            return []
        reports = (Report(notice) for notice in notices_of(records))
        return [QuarantineChanged(records), *reports]
