"""Health and load reports of a stand-in: honest, lagging or lying."""

from __future__ import annotations

from collections import deque

from peppershore_lab.standin.behaviour import Behaviour, LoadReport

HISTORY_LIMIT = 4_096


class ReportHistory:
    """Remembers honest reports, and gives the one a behaviour would show."""

    def __init__(self) -> None:
        """Start with nothing remembered."""
        self._history: deque[tuple[float, LoadReport]] = deque(maxlen=HISTORY_LIMIT)

    def note(self, now: float, report: LoadReport) -> None:
        """Remember what is true at ``now`` (seconds)."""
        self._history.append((now, report))

    def shown(self, now: float, honest: LoadReport, behaviour: Behaviour) -> LoadReport:
        """Give the report that the behaviour shows at ``now``."""
        if behaviour.report_mode == "lying":
            return LoadReport(
                running=round(behaviour.false_load * behaviour.slots),
                waiting=0,
                slots=behaviour.slots,
                utilization=behaviour.false_load,
                healthy=behaviour.false_health,
            )
        if behaviour.report_mode == "lagging":
            return self._at(now - behaviour.report_lag_milliseconds / 1_000, honest)
        return honest

    def _at(self, moment: float, honest: LoadReport) -> LoadReport:
        found: LoadReport | None = None
        for noted, report in self._history:
            if noted > moment:
                break
            found = report
        if found is not None:
            return found
        return self._history[0][1] if self._history else honest
