"""Heartbeats of the local back end, and the state its node derives from them.

A ``BackEndIncarnation`` identifies one incarnation of a back end: by the instance name
that the back end gives itself and, if reported, by its start time. The start time is
needed because a restarted back end may keep its name and number its reports from the
beginning again. Once the node has acknowledged that an incarnation is leaving, this is
final: after a bounded time the back end receives no new call.

A heartbeat may arrive after its sender has crashed, so without a start time it does not
tell which of two incarnations is the later one. One that is heard for the first time is
used at once, since it may be new; it does not end the one before for good. That one
returns when the back end itself shows that the other is not there, or when it goes on
sending heartbeats while the other sends none.
"""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.endpoints import WARMING_NOT_TOLD

STATE_READY = "ready"
STATE_LEAVING = "leaving"
STATE_GONE = "gone"

START_UNKNOWN = 0
"""Start time of an incarnation that reports none: its instance name identifies it."""

MAX_INCARNATIONS = 64
"""Number of incarnations that are remembered as left, and as replaced."""

HEARTBEATS_TO_RETURN = 2
"""Heartbeats after which a replaced incarnation returns, if the current one sends none
meanwhile. A single one may be late."""

OTHER_SERVICE = "heartbeat of another service"
HAS_LEFT = "heartbeat of an incarnation that has left"
STARTED_EARLIER = "heartbeat of an incarnation that started earlier"
REPLACED = "heartbeat of an incarnation that was replaced"
OUT_OF_ORDER = "heartbeat out of order"


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


class _Heard(msgspec.Struct):
    """The last heartbeat of an incarnation, which came at ``at`` (monotonic seconds).

    ``view`` is the state that it gave the back end. ``since_current`` counts its heartbeats
    since the last one of the current incarnation. ``is_refuted``: since this heartbeat the
    back end has shown that another incarnation is there.
    """

    view: BackEndView
    sequence: int
    at: float
    since_current: int = 0
    is_refuted: bool = False


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
        self._heard: dict[BackEndIncarnation, _Heard] = {}
        self._left: dict[BackEndIncarnation, None] = {}

    def apply(self, report: BackEndReport, now: float) -> bool:
        """Apply a heartbeat of the back end.

        Return whether the current incarnation, its state or its slots changed.
        """
        if self._reason_to_ignore(report):
            return False
        is_new = report.life not in self._heard
        self._newest_born = max(self._newest_born, report.born)
        heard = self._note(report, now)
        is_current = report.life == self.view.life
        if not (is_new or is_current or self._may_return(heard)):
            return False
        return self._make_current(heard)

    def reason_not_used(self, report: BackEndReport) -> str:
        """Return why ``apply`` does not use a heartbeat; "" if it uses it.

        To be called before ``apply``.
        """
        reason = self._reason_to_ignore(report)
        heard = self._heard.get(report.life)
        if reason or heard is None or report.life == self.view.life:
            return reason
        after = msgspec.structs.replace(heard, since_current=heard.since_current + 1)
        return "" if self._may_return(after) else REPLACED

    def mark_leaving(self, instance: str, born: int = START_UNKNOWN) -> bool:
        """Mark an incarnation that reported its termination as permanently leaving.

        It continues to serve for a while, so calls already sent to it stay there. A report
        without a start time refers to the current incarnation if that has this name.
        Return whether the current state of the back end changed.
        """
        life = BackEndIncarnation(instance, born)
        if not born and instance == self.view.instance:
            life = self.view.life
        self._mark_left(life)
        if life != self.view.life:
            return False
        return self._replace_view(msgspec.structs.replace(self.view, state=STATE_LEAVING))

    def mark_unreachable(self, life: str) -> bool:
        """Mark the back end as gone until its next heartbeat.

        To be called when nothing answers at its address. ``life`` is the name of the
        incarnation that was expected there. Return whether the state of the back end
        changed; it does not if ``life`` is not the current incarnation.
        """
        if life != self.view.life.name or self.view.state == STATE_GONE:
            return False
        return self._replace_view(msgspec.structs.replace(self.view, state=STATE_GONE))

    def mark_replaced(self, life: str, now: float) -> bool:
        """Process that another incarnation than ``life`` answers at the address.

        Of those heard before, the one heard last takes the place of ``life`` if it is not
        silent; without one the back end is gone until the next heartbeat. Return whether
        the state of the back end changed; it does not if ``life`` is not the current one.
        """
        if life != self.view.life.name:
            return False
        current = self._heard.get(self.view.life)
        if current is not None:
            current.is_refuted = True
        others = [
            heard
            for heard in self._heard.values()
            if heard.view.life != self.view.life and self._may_be_there(heard, now)
        ]
        if not others:
            return self.mark_unreachable(life)
        return self._make_current(max(others, key=lambda heard: heard.at))

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

    def _reason_to_ignore(self, report: BackEndReport) -> str:
        """Return why a heartbeat is of no use whoever is there now; "" if it is."""
        if report.service != self._service:
            return OTHER_SERVICE
        if report.life in self._left:
            return HAS_LEFT
        if START_UNKNOWN < report.born < self._newest_born:
            return STARTED_EARLIER
        heard = self._heard.get(report.life)
        if heard is not None and report.sequence <= heard.sequence:
            return OUT_OF_ORDER
        return ""

    def _may_return(self, heard: _Heard) -> bool:
        """Report whether a replaced incarnation becomes the current one again."""
        return (
            self.view.state == STATE_GONE
            or heard.since_current >= HEARTBEATS_TO_RETURN
            or START_UNKNOWN < self.view.born < heard.view.born
        )

    def _may_be_there(self, heard: _Heard, now: float) -> bool:
        """Report whether an incarnation may be the one at the address now."""
        life = heard.view.life
        is_excluded = heard.is_refuted or life in self._left
        is_earlier = START_UNKNOWN < life.born < self._newest_born
        is_silent = now - heard.at >= self._silent_seconds
        return not (is_excluded or is_earlier or is_silent)

    def _note(self, report: BackEndReport, now: float) -> _Heard:
        """Record a heartbeat; return the record of its incarnation."""
        life = report.life
        before = self._heard.pop(life, None)
        was_leaving = before is not None and before.view.state == STATE_LEAVING
        is_leaving = report.is_leaving or was_leaving
        view = BackEndView(
            instance=report.instance,
            state=STATE_LEAVING if is_leaving else STATE_READY,
            slots=report.slots,
            warming_milliseconds=report.warming_milliseconds,
            born=report.born,
            version=report.version if before is None else before.view.version,
        )
        since_current = 0 if before is None else before.since_current + 1
        heard = _Heard(view, report.sequence, now, since_current)
        self._heard[life] = heard
        self._forget_oldest()
        return heard

    def _make_current(self, heard: _Heard) -> bool:
        """Use what an incarnation reported last; count the others' heartbeats anew."""
        self._last_report_at = heard.at
        for other in self._heard.values():
            other.since_current = 0
        return self._replace_view(heard.view)

    def _replace_view(self, view: BackEndView) -> bool:
        before = self.view
        self.view = view
        return (view.life, view.state, view.slots) != (
            before.life,
            before.state,
            before.slots,
        )

    def _mark_left(self, life: BackEndIncarnation) -> None:
        self._left[life] = None
        heard = self._heard.get(life)
        if heard is not None:
            heard.view = msgspec.structs.replace(heard.view, state=STATE_LEAVING)
        while len(self._left) > MAX_INCARNATIONS:
            del self._left[next(iter(self._left))]

    def _forget_oldest(self) -> None:
        """Forget the incarnation heard longest ago, except the current one."""
        if len(self._heard) > MAX_INCARNATIONS:
            oldest = next(life for life in self._heard if life != self.view.life)
            del self._heard[oldest]
