"""What a back end says of itself by heartbeats, and what its node makes of it.

A back end names each of its lives; a later life replaces an earlier one, and a late
report of an earlier life changes nothing.  Once a leaving has been acknowledged it
binds: the back end is given no new call after a bound.
"""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.endpoints import WARMING_NOT_TOLD

STATE_READY = "ready"
STATE_LEAVING = "leaving"
STATE_GONE = "gone"

MAX_REMEMBERED_LIVES = 64


class BackEndReport(msgspec.Struct, frozen=True):
    """One heartbeat.

    ``instance`` names the life, ``sequence`` rises with each report of it.
    ``warming_milliseconds`` is for how much longer the back end is slow.
    """

    instance: str
    service: str
    address: str
    slots: int
    is_leaving: bool
    sequence: int
    warming_milliseconds: int = WARMING_NOT_TOLD


class BackEndView(msgspec.Struct, frozen=True):
    """The back end as its node knows it now; ``slots`` 0 before the first report."""

    instance: str = ""
    state: str = STATE_GONE
    slots: int = 0
    warming_milliseconds: int = WARMING_NOT_TOLD


NO_BACK_END = BackEndView()


class BackEndReports:
    """The lives of the back end beside one node."""

    def __init__(self, service: str, silent_seconds: float) -> None:
        """A back end of ``service`` that says nothing for so long counts as gone."""
        self.view = NO_BACK_END
        self._service = service
        self._silent_seconds = silent_seconds
        self._heard_at = 0.0
        self._sequences: dict[str, int] = {}
        self._over: dict[str, None] = {}

    def take(self, report: BackEndReport, now: float) -> bool:
        """Take a heartbeat; tell whether the view changed."""
        if not self._counts(report):
            return False
        self._sequences[report.instance] = report.sequence
        self._heard_at = now
        was_leaving = self.view.state == STATE_LEAVING
        is_same = report.instance == self.view.instance
        if not is_same and self.view.instance:
            self._end(self.view.instance)
        leaving = report.is_leaving or (is_same and was_leaving)
        return self._show(
            BackEndView(
                instance=report.instance,
                state=STATE_LEAVING if leaving else STATE_READY,
                slots=report.slots,
                warming_milliseconds=report.warming_milliseconds,
            )
        )

    def left(self, instance: str) -> bool:
        """The back end says that it ends: like leaving, for good.

        It serves on for a while, so what it has been given is not taken from it.
        """
        self._end(instance)
        if instance != self.view.instance:
            return False
        return self._show(msgspec.structs.replace(self.view, state=STATE_LEAVING))

    def not_there(self, instance: str) -> bool:
        """Nothing answers, or another life does: wait for the next heartbeat."""
        if instance != self.view.instance or self.view.state == STATE_GONE:
            return False
        return self._show(msgspec.structs.replace(self.view, state=STATE_GONE))

    def tick(self, now: float) -> bool:
        """Count a back end that was silent for too long as gone."""
        if self.view.state == STATE_GONE:
            return False
        if now - self._heard_at < self._silent_seconds:
            return False
        return self._show(msgspec.structs.replace(self.view, state=STATE_GONE))

    def _counts(self, report: BackEndReport) -> bool:
        """Whether a report is news of a back end of this node."""
        if report.service != self._service or report.instance in self._over:
            return False
        return report.sequence > self._sequences.get(report.instance, -1)

    def _show(self, view: BackEndView) -> bool:
        changed = (view.instance, view.state, view.slots) != (
            self.view.instance,
            self.view.state,
            self.view.slots,
        )
        self.view = view
        return changed

    def _end(self, instance: str) -> None:
        self._over[instance] = None
        self._sequences.pop(instance, None)
        while len(self._over) > MAX_REMEMBERED_LIVES:
            del self._over[next(iter(self._over))]
