"""Roll-outs under way: gathers what back ends showed, and lets the leader decide.

Every replica notes when it saw each step taken, so that a new leader knows how far in
time a roll-out is.  What stands is in the tree; only the evidence is in memory, and a new
leader has it again within a second, as nodes tell it whole each time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from peppershore.connection.messages.rollouts import BackEndEvidence, EvidencePassed
from peppershore.process.control import notices
from peppershore.process.control.rollout_rules import (
    HALF,
    WATCH_SHARE,
    Complete,
    Decision,
    Move,
    RollBack,
    RolloutView,
    Wait,
    decide,
)
from peppershore.process.control.version_comparison import Comparison, compare
from peppershore.version.model import Edit, Tree
from peppershore.version.resolve import services_of
from peppershore.version.rollout import (
    ALL_CALLS,
    COMPLETED,
    ROLLED_BACK,
    RUNNING,
    Rollout,
    end_edit,
    rollout_of,
    share_edit,
)

if TYPE_CHECKING:
    from peppershore.process.control.core import ControlCore

WITHIN_EXPOSURE = 0.8
"""Part of what a bad version may get that is used while it is watched.  The bound counts
over the whole time, of which it is watched for a part: the share is higher by that, and
a verdict comes earlier.  Calls are drawn one by one, and come unevenly."""

SETTLING_SECONDS = 1.0
"""A leader decides nothing before that: nodes tell their evidence twice a second."""

APPLY_SHARE = 0.5
"""A step counts as known after half of the time within which nodes use a change: they do
after 0.1 to 0.3 s of 2.  What one that is later sends to a back end that has ended is
refused by its machine, and goes elsewhere as not run."""

MOST_BACK_ENDS = 20_000
MILLISECONDS = 1_000


def first_share(exposure_share: float) -> int:
    """Give the part of the calls with which a new version is watched."""
    share = exposure_share * WITHIN_EXPOSURE / WATCH_SHARE
    return max(1, min(HALF - 1, round(share * ALL_CALLS)))


class _Step(msgspec.Struct):
    """When this replica first saw a share in place, and known everywhere."""

    rollout: Rollout
    seen_at: float
    known_at: float = -1.0


class Rollouts:
    """The roll-outs of one replica."""

    def __init__(
        self, replica: ControlCore, exposure_share: float, apply_milliseconds: float
    ) -> None:
        """``exposure_share``: part of a service's calls that a bad version may get.

        Nodes use a change within ``apply_milliseconds``.
        """
        self._apply_seconds = apply_milliseconds * APPLY_SHARE / MILLISECONDS
        self.first_share = first_share(exposure_share)
        self._replica = replica
        self._evidence: dict[str, BackEndEvidence] = {}
        self._tree: Tree | None = None
        self._steps: dict[str, _Step] = {}
        self._began: dict[tuple[str, int], float] = {}
        self._leads_since = 0.0
        self._told: dict[str, str] = {}

    # --- evidence ---------------------------------------------------------------

    def take(self, evidence: BackEndEvidence) -> None:
        """Take what a back end showed; one that does not lead passes it on."""
        known = self._evidence.get(evidence.node)
        if known is not None and _order(evidence) <= _order(known):
            return
        if known is None and len(self._evidence) >= MOST_BACK_ENDS:
            return
        self._evidence[evidence.node] = evidence
        if not self._replica.leads:
            leader = self._replica.consensus.leader
            if leader:
                self._replica.send_to_peer(leader, EvidencePassed(evidence))

    def comparison(self, rollout: Rollout) -> Comparison:
        """Compare both versions by all that is known."""
        found = (
            each
            for each in self._evidence.values()
            if each.service == rollout.service
            and each.began_milliseconds == rollout.began_milliseconds
        )
        return compare(found, rollout.version)

    # --- decisions --------------------------------------------------------------

    def leadership_gained(self) -> None:
        """Decide from now on, once nodes had time to tell what they know."""
        self._leads_since = self._replica.now

    def tick(self) -> None:
        """Note the steps taken; decide, if this replica leads."""
        self._note_steps()
        now = self._replica.now
        if not self._replica.leads or now - self._leads_since < SETTLING_SECONDS:
            return
        for step in list(self._steps.values()):
            view = self._view(step, now)
            self._carry_out(step.rollout, view, decide(view))

    def describe(self, rollout: Rollout) -> str:
        """Say what a roll-out waits for, as the leader told last."""
        return self._told.get(rollout.service, "")

    def elapsed(self, rollout: Rollout) -> float:
        """Give the seconds since a roll-out was ordered, as this replica saw them.

        After a start of this process the wall clock tells it, unless that was set:
        then the time before the start is not counted.
        """
        now = self._replica.now
        key = (rollout.service, rollout.began_milliseconds)
        if key not in self._began:
            before = self._replica.unix_milliseconds - rollout.began_milliseconds
            is_plausible = 0 <= before <= 2 * rollout.milliseconds
            self._began[key] = now - (before / MILLISECONDS if is_plausible else 0.0)
        return now - self._began[key]

    def _note_steps(self) -> None:
        tree = self._replica.state.tree
        if tree is not self._tree:
            self._tree = tree
            self._read(tree)
        in_force = self._replica.in_force
        for step in self._steps.values():
            if step.known_at < 0.0 and in_force >= step.rollout.revision:
                step.known_at = self._replica.now

    def _read(self, tree: Tree) -> None:
        running: dict[str, _Step] = {}
        for service in services_of(tree):
            rollout = rollout_of(tree, service)
            if rollout is None or rollout.state != RUNNING:
                continue
            self.elapsed(rollout)
            known = self._steps.get(service)
            if known is not None and _is_same_step(known.rollout, rollout):
                running[service] = known
            else:
                running[service] = _Step(rollout, self._replica.now)
        self._steps = running
        self._forget_evidence()

    def _forget_evidence(self) -> None:
        began = {
            (each.rollout.service, each.rollout.began_milliseconds)
            for each in self._steps.values()
        }
        self._began = {key: at for key, at in self._began.items() if key in began}
        if not self._steps:
            self._evidence.clear()
            self._told.clear()

    def _view(self, step: _Step, now: float) -> RolloutView:
        known_for = now - step.known_at if step.known_at >= 0.0 else -1.0
        return RolloutView(
            rollout=step.rollout,
            elapsed=self.elapsed(step.rollout),
            since_step=now - step.seen_at,
            known_for=known_for,
            comparison=self.comparison(step.rollout),
            apply_seconds=self._apply_seconds,
        )

    def _carry_out(self, rollout: Rollout, view: RolloutView, decision: Decision) -> None:
        self._told[rollout.service] = decision.reason
        edit = _edit_of(rollout, decision)
        if edit is None:
            return
        self._replica.submit_internally(edit)
        comparison = view.comparison
        self._replica.report(
            notices.RolloutDecided(
                service=rollout.service,
                version=rollout.version,
                decision=type(decision).__name__.lower(),
                share=rollout.share,
                reason=decision.reason,
                elapsed_milliseconds=round(view.elapsed * MILLISECONDS),
                back_ends=comparison.back_ends,
                calls=comparison.calls,
                all_calls=comparison.all_calls,
                routes=tuple(each.figures for each in comparison.routes),
            )
        )


def _edit_of(rollout: Rollout, decision: Decision) -> Edit | None:
    match decision:
        case Wait():
            return None
        case Move(share=share):
            return share_edit(rollout, share)
        case Complete(reason=reason):
            return end_edit(rollout, COMPLETED, reason)
        case RollBack(reason=reason):
            return end_edit(rollout, ROLLED_BACK, reason)


def _order(evidence: BackEndEvidence) -> tuple[int, int]:
    return (evidence.incarnation, evidence.number)


def _is_same_step(one: Rollout, other: Rollout) -> bool:
    return (one.began_milliseconds, one.share) == (other.began_milliseconds, other.share)
