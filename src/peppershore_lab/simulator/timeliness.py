"""When versions were answered to operators, and whether nodes use them in time.

Two promises.  A node that counts its configuration as confirmed at a moment lacks
nothing that was answered before that moment; this holds through every fault, for a
node refuses callers for good by it.  And a node that can reach a relay with a quorum
behind it uses every answered version within the bound that operators count on.
"""

from __future__ import annotations

from bisect import bisect_right

from peppershore.process.node.core import NodeCore
from peppershore.version.model import Version
from peppershore_lab.simulator.accepted_log import AcceptedLog
from peppershore_lab.simulator.process import SimulatedProcess
from peppershore_lab.simulator.violations import require

CONFIRMED = "a node lacks nothing that was answered before its configuration was confirmed"
IN_TIME = "a node that can reach a fresh relay uses an answered version within the bound"

DRIFT_SHARE = 0.001
"""Twice the most that a simulated clock drifts: two clocks measure one age."""
ROUNDING_SECONDS = 0.001
"""Ages go over the wire in whole milliseconds."""


class AnsweredVersions:
    """The versions that were answered to operators, by virtual time."""

    def __init__(self, log: AcceptedLog) -> None:
        """Begin without any."""
        self._log = log
        self._times: list[float] = []
        self._versions: list[Version] = []

    def note(self, now: float) -> None:
        """Note what is answered by now."""
        if not self._versions or self._log.confirmed > self._versions[-1]:
            self._times.append(now)
            self._versions.append(self._log.confirmed)

    def until(self, at: float) -> Version:
        """Give the highest version answered by a time; 0 for none."""
        place = bisect_right(self._times, at)
        return self._versions[place - 1] if place else 0

    def check_confirmed(self, process: SimulatedProcess, now: float) -> None:
        """Compare what a node holds with the moment of which it counts as confirmed."""
        core = process.core
        assert isinstance(core, NodeCore)
        if core.holder.holds_nothing:
            return
        age = process.clock.now - core.confirmed_at
        version = self.until(now - age * (1.0 + DRIFT_SHARE) - ROUNDING_SECONDS)
        self._require_held(process.name, core, version, CONFIRMED)

    def check_in_time(
        self, process: SimulatedProcess, now: float, bound_seconds: float
    ) -> None:
        """Require of an undisturbed node what was answered longer ago than the bound."""
        core = process.core
        if isinstance(core, NodeCore):
            version = self.until(now - bound_seconds)
            self._require_held(process.name, core, version, IN_TIME)

    def _require_held(
        self, name: str, core: NodeCore, version: Version, promise: str
    ) -> None:
        snapshot = core.holder.snapshot
        effective = core.holder.effective_version
        wanted = self._log.digest_at(snapshot.scope, version)
        holds = effective >= version or snapshot.digest == wanted
        detail = f"{name} holds {effective}, {version} was answered"
        require(holds, promise, detail)
