"""Roll-outs in progress: collects back ends' call results and lets the leader decide.

A roll-out moves the calls of a service to a new version in steps, each with a larger share
of the calls. Every replica records when it saw each step, so that a new leader knows how
much time of a roll-out has passed. The steps themselves are in the tree. The evidence, that
is the call results of each back end since the roll-out's start, is held in memory only: a
new leader receives it again within a second, because nodes send all of it each time.
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

USED_EXPOSURE_SHARE = 0.8
"""Part of the permitted exposure to a bad version that is used while the version is
observed. The rest is a margin, since calls are distributed at random one by one and arrive
unevenly. The bound counts over the whole duration, and the observation lasts for a part of
it: the share of calls is divided by that part, which brings a decision earlier."""

SETTLING_SECONDS = 1.0
"""A new leader decides nothing for this long: nodes send call results twice a second."""

APPLY_SHARE = 0.5
"""A step counts as known to all nodes after this part of the time allowed to them to apply
a change: they do so after 0.1 to 0.3 s where 2 s are allowed. A call that a node sends
later to a back end that has exited is refused by that machine and retried elsewhere, since
it was not executed."""

MAX_BACK_ENDS = 20_000
MILLISECONDS_PER_SECOND = 1_000


def first_share(exposure_share: float) -> int:
    """Return the share of calls that a new version gets while it is observed.

    The share is in parts of ``ALL_CALLS``, at least 1 and below ``HALF``.
    ``exposure_share`` is the part of a service's calls that a bad version may get.
    """
    share = exposure_share * USED_EXPOSURE_SHARE / WATCH_SHARE
    return max(1, min(HALF - 1, round(share * ALL_CALLS)))


class _Step(msgspec.Struct):
    """One step of a roll-out, i.e. a share of the calls, and when this replica saw it.

    ``seen_at`` and ``known_at`` are monotonic seconds. At ``known_at`` all nodes held the
    step; it is negative until then.
    """

    rollout: Rollout
    seen_at: float
    known_at: float = -1.0


class Rollouts:
    """The roll-outs as one replica follows them, and its decisions while it leads."""

    def __init__(
        self, replica: ControlCore, exposure_share: float, apply_milliseconds: float
    ) -> None:
        """Start without roll-outs and without call results of back ends.

        ``exposure_share`` is the part of a service's calls that a bad version may get.
        Nodes apply a change within ``apply_milliseconds``.
        """
        self._apply_seconds = apply_milliseconds * APPLY_SHARE / MILLISECONDS_PER_SECOND
        self.first_share = first_share(exposure_share)
        self._replica = replica
        self._evidence: dict[str, BackEndEvidence] = {}
        self._tree: Tree | None = None
        self._steps: dict[str, _Step] = {}
        self._started_at: dict[tuple[str, int], float] = {}
        self._leads_since = 0.0
        self._last_reasons: dict[str, str] = {}

    # --- evidence ---------------------------------------------------------------

    def add_evidence(self, evidence: BackEndEvidence) -> None:
        """Store a back end's call results since the start of its service's roll-out.

        A follower also sends them to the leader. Results older than the stored ones are
        ignored, and so are those of a new back end beyond ``MAX_BACK_ENDS``.
        """
        known = self._evidence.get(evidence.node)
        if known is not None and _report_order(evidence) <= _report_order(known):
            return
        if known is None and len(self._evidence) >= MAX_BACK_ENDS:
            return
        self._evidence[evidence.node] = evidence
        if not self._replica.leads:
            leader = self._replica.consensus.leader
            if leader:
                self._replica.send_to_peer(leader, EvidencePassed(evidence))

    def comparison(self, rollout: Rollout) -> Comparison:
        """Return the comparison of both versions by all call results held here."""
        found = (
            each
            for each in self._evidence.values()
            if each.service == rollout.service
            and each.began_milliseconds == rollout.began_milliseconds
        )
        return compare(found, rollout.version)

    # --- decisions --------------------------------------------------------------

    def leadership_gained(self) -> None:
        """Start to decide on roll-outs once nodes have had time to send call results."""
        self._leads_since = self._replica.now

    def tick(self) -> None:
        """Record when each roll-out entered its present step; as leader, decide on each.

        A new leader decides nothing for the first ``SETTLING_SECONDS``.
        """
        self._note_steps()
        now = self._replica.now
        if not self._replica.leads or now - self._leads_since < SETTLING_SECONDS:
            return
        for step in list(self._steps.values()):
            view = self._view(step, now)
            self._carry_out(step.rollout, view, decide(view))

    def describe(self, rollout: Rollout) -> str:
        """Return the reason of this replica's last decision on a roll-out as leader.

        Return an empty string if it has made none.
        """
        return self._last_reasons.get(rollout.service, "")

    def elapsed(self, rollout: Rollout) -> float:
        """Return the seconds since a roll-out was ordered, as this replica measured them.

        After a restart of this process the time before it is taken from the wall clock. It
        is left out if the wall clock's value is implausible, as after a change of the
        clock.
        """
        now = self._replica.now
        key = (rollout.service, rollout.began_milliseconds)
        if key not in self._started_at:
            before = self._replica.unix_milliseconds - rollout.began_milliseconds
            is_plausible = 0 <= before <= 2 * rollout.milliseconds
            self._started_at[key] = now - (
                before / MILLISECONDS_PER_SECOND if is_plausible else 0.0
            )
        return now - self._started_at[key]

    def _note_steps(self) -> None:
        tree = self._replica.state.tree
        if tree is not self._tree:
            self._tree = tree
            self._update_steps(tree)
        in_force = self._replica.in_force
        for step in self._steps.values():
            if step.known_at < 0.0 and in_force >= step.rollout.revision:
                step.known_at = self._replica.now

    def _update_steps(self, tree: Tree) -> None:
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
        self._started_at = {key: at for key, at in self._started_at.items() if key in began}
        if not self._steps:
            self._evidence.clear()
            self._last_reasons.clear()

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
        self._last_reasons[rollout.service] = decision.reason
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
                elapsed_milliseconds=round(view.elapsed * MILLISECONDS_PER_SECOND),
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


def _report_order(evidence: BackEndEvidence) -> tuple[int, int]:
    return (evidence.incarnation, evidence.number)


def _is_same_step(one: Rollout, other: Rollout) -> bool:
    return (one.began_milliseconds, one.share) == (other.began_milliseconds, other.share)
