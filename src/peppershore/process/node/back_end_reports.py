"""Heartbeats of the local back end, and the state its node derives from them.

A ``BackEndIncarnation`` identifies one incarnation of a back end: by the instance name
that the back end gives itself and, if reported, by its start time. The start time is
needed because a restarted back end may keep its name and number its reports from the
beginning again. A later incarnation replaces an earlier one, and a late report of an
earlier incarnation changes nothing. Once the node has acknowledged that an incarnation is
leaving, this is final: after a bounded time the back end receives no new call.
"""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.endpoints import WARMING_NOT_TOLD

STATE_READY = "ready"
STATE_LEAVING = "leaving"
STATE_GONE = "gone"

START_UNKNOWN = 0
"""Start time of an incarnation that reports none: its instance name identifies it."""

MAX_ENDED_INCARNATIONS = 64


class BackEndIncarnation(msgspec.Struct, frozen=True):
    """One incarnation of a back end; ``born`` is its start in Unix milliseconds."""

    instance: str
    born: int = START_UNKNOWN

    @property
    def name(self) -> str:
        """Name unique to this incarnation, also among those of the same instance."""
        return f"{self.instance}@{self.born}" if self.born else self.instance


NO_INCARNATION = BackEndIncarnation("")


class BackEndReport(msgspec.Struct, frozen=True):
    """One heartbeat of the local back end.

    ``sequence`` rises with each report of an incarnation. ``warming_milliseconds`` is how
    much longer the back end expects to be slow while it warms up. ``version`` is that of
    its software, "" if not reported.
    """

    instance: str
    service: str
    address: str
    slots: int
    is_leaving: bool
    sequence: int
    warming_milliseconds: int = WARMING_NOT_TOLD
    born: int = START_UNKNOWN
    version: str = ""

    @property
    def life(self) -> BackEndIncarnation:
        """Incarnation of the back end that sent the report."""
        return BackEndIncarnation(self.instance, self.born)


class BackEndView(msgspec.Struct, frozen=True):
    """Current state of the local back end.

    ``slots`` is how many calls it can execute at once, 0 before the first report.
    """

    instance: str = ""
    state: str = STATE_GONE
    slots: int = 0
    warming_milliseconds: int = WARMING_NOT_TOLD
    born: int = START_UNKNOWN
    version: str = ""

    @property
    def life(self) -> BackEndIncarnation:
        """Current incarnation; its ``instance`` is empty before the first report."""
        return BackEndIncarnation(self.instance, self.born)


NO_BACK_END = BackEndView()


class BackEndReports:
    """Tracks the incarnations of one node's local back end and its current state."""

    def __init__(self, service: str, silent_seconds: float) -> None:
        """Track a back end of ``service``; it counts as gone if it stops reporting.

        That is the case after ``silent_seconds`` without a heartbeat.
        """
        self.view = NO_BACK_END
        self._service = service
        self._silent_seconds = silent_seconds
        self._last_report_at = 0.0
        self._newest_born = START_UNKNOWN
        self._sequences: dict[BackEndIncarnation, int] = {}
        self._ended: dict[BackEndIncarnation, None] = {}

    def apply(self, report: BackEndReport, now: float) -> bool:
        """Apply a heartbeat of the back end.

        Return whether the current incarnation, its state or its slots changed.
        """
        if not self._is_acceptable(report):
            return False
        life = report.life
        self._sequences[life] = report.sequence
        self._newest_born = max(self._newest_born, report.born)
        self._last_report_at = now
        was_leaving = self.view.state == STATE_LEAVING
        is_same = life == self.view.life
        if not is_same and self.view.instance:
            self._mark_ended(self.view.life)
        leaving = report.is_leaving or (is_same and was_leaving)
        return self._replace_view(
            BackEndView(
                instance=report.instance,
                state=STATE_LEAVING if leaving else STATE_READY,
                slots=report.slots,
                warming_milliseconds=report.warming_milliseconds,
                born=report.born,
                version=self.view.version if is_same else report.version,
            )
        )

    def mark_leaving(self, instance: str, born: int = START_UNKNOWN) -> bool:
        """Mark an incarnation that reported its termination as permanently leaving.

        It continues to serve for a while, so calls already sent to it stay there. A report
        without a start time refers to the current incarnation if that has this name.
        Return whether the current state of the back end changed.
        """
        life = BackEndIncarnation(instance, born)
        if not born and instance == self.view.instance:
            life = self.view.life
        self._mark_ended(life)
        if life != self.view.life:
            return False
        return self._replace_view(msgspec.structs.replace(self.view, state=STATE_LEAVING))

    def mark_unreachable(self, life: str) -> bool:
        """Mark the back end as gone until its next heartbeat.

        To be called when nothing, or another incarnation, answers at its address. ``life``
        is the name of the incarnation that was expected there. Return whether the state of
        the back end changed; it does not if ``life`` is not the current incarnation.
        """
        if life != self.view.life.name or self.view.state == STATE_GONE:
            return False
        return self._replace_view(msgspec.structs.replace(self.view, state=STATE_GONE))

    def overtaken(self, born: int) -> bool:
        """Record that other nodes know of an incarnation of this back end.

        It started at ``born``, in Unix milliseconds.

        If the current incarnation is an earlier one, mark it as gone and return True:
        the first report that a restarted node receives may be a late one of an earlier
        incarnation.
        """
        self._newest_born = max(self._newest_born, born)
        is_earlier = START_UNKNOWN < self.view.born < born
        if not is_earlier or self.view.state == STATE_GONE:
            return False
        return self._replace_view(msgspec.structs.replace(self.view, state=STATE_GONE))

    def tick(self, now: float) -> bool:
        """Mark the back end as gone if it sent no heartbeat recently.

        Return whether its state changed.
        """
        if self.view.state == STATE_GONE:
            return False
        if now - self._last_report_at < self._silent_seconds:
            return False
        return self._replace_view(msgspec.structs.replace(self.view, state=STATE_GONE))

    def _is_acceptable(self, report: BackEndReport) -> bool:
        """Return whether a heartbeat is for this service and not outdated."""
        life = report.life
        if report.service != self._service or life in self._ended:
            return False
        if START_UNKNOWN < report.born < self._newest_born:
            return False
        return report.sequence > self._sequences.get(life, -1)

    def _replace_view(self, view: BackEndView) -> bool:
        before = self.view
        self.view = view
        return (view.life, view.state, view.slots) != (
            before.life,
            before.state,
            before.slots,
        )

    def _mark_ended(self, life: BackEndIncarnation) -> None:
        self._ended[life] = None
        self._sequences.pop(life, None)
        while len(self._ended) > MAX_ENDED_INCARNATIONS:
            del self._ended[next(iter(self._ended))]
