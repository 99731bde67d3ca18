"""The promises, checked after every step of every process."""

from __future__ import annotations

from peppershore.connection.messages.operators import StatusAnswered
from peppershore.process.consensus.role import Role
from peppershore.process.control.core import ControlCore
from peppershore.process.node.core import NodeCore
from peppershore.process.relay.core import RelayCore
from peppershore.version.closure import find_gaps
from peppershore.version.digest import snapshot_digest
from peppershore.version.model import (
    Digest,
    EditAccepted,
    EditExpired,
    EditOutcome,
    Snapshot,
    Version,
)
from peppershore_lab.simulator.accepted_log import AcceptedLog
from peppershore_lab.simulator.process import Life, SimulatedProcess
from peppershore_lab.simulator.violations import require

ONE_LEADER = "two leaders never accept in the same term"
FIRST_OUTCOME = "a change id sent again gets its first outcome"
READ_CURRENT = "a read of the newest tree shows all that was answered before"
NO_STEP_BACK = "no node ever goes back to an older version"
WHOLE = "a node holds all of a version or nothing of it"
CLOSED = "no route points at a service or secret that its node does not hold"
RELAY_FORWARD = "no relay ever goes back to an older version"
IN_EFFECT = "a node holds the content of the version it says is in effect"
IN_FORCE = "what is reported in force is held by every live node"


class Checks:
    """Holds what was seen so far and compares every step with it."""

    def __init__(self, log: AcceptedLog) -> None:
        """Check against the accepted log."""
        self.log = log
        self.swaps = 0
        self.largest_step = 0
        self.in_force: Version = 0
        self._leaders: dict[int, str] = {}
        self._seen: dict[Life, Version] = {}
        self._held: dict[str, Snapshot] = {}
        self._highest: dict[str, Version] = {}
        self._effective: dict[str, tuple[Version, Digest]] = {}
        self._outcomes: dict[str, EditOutcome] = {}

    def after_step(self, process: SimulatedProcess) -> None:
        """Check the process that has just taken a step."""
        core = process.core
        match core:
            case ControlCore():
                self._check_replica(process, core)
            case NodeCore():
                self._check_node(process.name, core)
            case RelayCore():
                self._check_relay(process, core)
            case _:
                pass

    # --- control replicas -------------------------------------------------------------

    def _check_replica(self, process: SimulatedProcess, core: ControlCore) -> None:
        name = process.name
        if core.consensus.role is Role.LEADER:
            term = core.consensus.term
            leader = self._leaders.setdefault(term, name)
            require(leader == name, ONE_LEADER, f"{leader} and {name} in term {term}")
        seen = self._seen.get(process.life, -1)
        version = core.state.tree.version
        if version == seen:
            return
        for committed in core.state.history.edits_after(max(seen, 0)):
            self.log.applied(name, committed.version, committed.edit)
        self.log.state_of(name, core.state.tree)
        self._seen[process.life] = version

    # --- relays and nodes ----------------------------------------------------------------

    def _check_relay(self, process: SimulatedProcess, core: RelayCore) -> None:
        version = core.follower.version
        known = self._seen.get(process.life, 0)
        require(version >= known, RELAY_FORWARD, f"{process.name}: {known} to {version}")
        self._seen[process.life] = version

    def _check_node(self, name: str, core: NodeCore) -> None:
        self._check_in_effect(name, core)
        snapshot = core.holder.snapshot
        if snapshot is self._held.get(name) or snapshot.version == 0:
            return
        self._held[name] = snapshot
        self.swaps += 1
        before = self._highest.get(name, 0)
        detail = f"{name} went from {before} to {snapshot.version}"
        require(snapshot.version >= before, NO_STEP_BACK, detail)
        if before:
            self.largest_step = max(self.largest_step, snapshot.version - before)
        self._highest[name] = snapshot.version
        self._check_content(name, snapshot)

    def _check_in_effect(self, name: str, core: NodeCore) -> None:
        snapshot = core.holder.snapshot
        effective = core.holder.effective_version
        claim = (effective, snapshot.digest)
        if snapshot.version == 0 or self._effective.get(name) == claim:
            return
        self._effective[name] = claim
        wanted = self.log.digest_at(snapshot.scope, effective)
        detail = f"{name} holds {snapshot.version} and says {effective} is in effect"
        require(snapshot.digest == wanted, IN_EFFECT, detail)

    def _check_content(self, name: str, snapshot: Snapshot) -> None:
        digest = snapshot_digest(snapshot.scope, snapshot.resources.values())
        wanted = self.log.digest_at(snapshot.scope, snapshot.version)
        detail = f"{name} holds {digest:x} at {snapshot.version}, not {wanted:x}"
        require(digest == wanted == snapshot.digest, WHOLE, detail)
        gaps = find_gaps(snapshot.scope, snapshot.resources.values())
        require(not gaps, CLOSED, f"{name} at {snapshot.version}: {gaps}")

    # --- operators -----------------------------------------------------------------------

    def read_began(self) -> Version:
        """Give the version that a read beginning now must at least show."""
        return self.log.confirmed

    def read_answered(self, operator: str, at_least: Version, version: Version) -> None:
        """Check that a read was not stale."""
        detail = f"{operator} was shown {version} after {at_least} was answered"
        require(version >= at_least, READ_CURRENT, detail)

    def edit_answered(self, operator: str, outcome: EditOutcome) -> None:
        """Check an outcome against the log and against earlier answers."""
        first = self._outcomes.setdefault(outcome.change_id, outcome)
        same = first == outcome or isinstance(outcome, EditExpired)
        require(same, FIRST_OUTCOME, f"{operator}: {first}, then {outcome}")
        if isinstance(outcome, EditAccepted):
            self.log.answered(outcome)

    def status_answered(self, operator: str, status: StatusAnswered) -> None:
        """Note what was reported in force; ``check_in_force`` compares it."""
        del operator
        self.in_force = max(self.in_force, status.in_force)

    def check_in_force(self, name: str, core: NodeCore) -> None:
        """Check a node that was reachable all the time against what was reported.

        A node that holds nothing yet serves nothing, so it is not counted.  One that
        holds an older snapshot holds all the same what a later version went back to.
        """
        snapshot = core.holder.snapshot
        effective = core.holder.effective_version
        if snapshot.version == 0:
            return
        wanted = self.log.digest_at(snapshot.scope, self.in_force)
        holds = effective >= self.in_force or snapshot.digest == wanted
        detail = f"{self.in_force} is reported, {name} holds {effective}"
        require(holds, IN_FORCE, detail)

    # --- summary -------------------------------------------------------------------

    @property
    def answered_edits(self) -> int:
        """Number of edits that were answered."""
        return len(self._outcomes)
