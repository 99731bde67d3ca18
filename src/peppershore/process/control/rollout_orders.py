"""Operators' roll-out orders and queries, accepted at any replica.

As with complete configurations, a replica decides only on a state that a quorum confirmed
after the request came, has the leader propose the edit, and answers when the outcome is
applied here. A replica that may be behind refuses nothing, and an order that was accepted
is acknowledged again when it is repeated.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from peppershore.process.commands import Command
from peppershore.process.control import notices
from peppershore.process.control.releases import (
    ANSWER_SECONDS,
    NO_QUORUM,
    RETRY_SECONDS,
    UNDECIDED,
)
from peppershore.process.events import Event
from peppershore.version.model import Edit, EditAccepted, EditOutcome, Problem
from peppershore.version.path import service_path
from peppershore.version.rollout import (
    ROLLED_BACK,
    RUNNING,
    Rollout,
    end_edit,
    rollout_of,
    start_edit,
)
from peppershore.version.setting_rules import (
    SETTING_RULES,
    SOFTWARE_VERSION_RULE,
)

if TYPE_CHECKING:
    from peppershore.process.control.core import ControlCore

MAX_ROLLOUT_SECONDS = 7 * 86_400.0
ABORT_REASON = "an operator took it back"


class RolloutOrder(msgspec.Struct, frozen=True):
    """An order to move a service's calls to ``target_version`` in ``duration_seconds``."""

    service: str
    target_version: str
    duration_seconds: float

    @property
    def milliseconds(self) -> int:
        """Duration that the roll-out may take, in milliseconds."""
        return round(self.duration_seconds * 1_000)


class RolloutOrdered(Event, frozen=True):
    """An operator orders a roll-out; ``request`` numbers the request."""

    request: int
    order: RolloutOrder


class RolloutAborted(Event, frozen=True):
    """An operator orders the roll-back of a service's roll-out."""

    request: int
    service: str


class RolloutQueried(Event, frozen=True):
    """An operator asks for the latest roll-out of a service."""

    request: int
    service: str


class RolloutAccepted(msgspec.Struct, frozen=True):
    """The order is accepted, by this request or an earlier one."""


class RolloutInProgress(msgspec.Struct, frozen=True):
    """Another roll-out of that service is in progress; nothing changed."""

    target_version: str


class RolloutRefused(msgspec.Struct, frozen=True):
    """The order can't be carried out for this ``problem``; nothing changed."""

    problem: Problem


class RolloutUnknown(msgspec.Struct, frozen=True):
    """There was no roll-out of that service."""


class RolloutUndecided(msgspec.Struct, frozen=True):
    """The outcome is unknown: the caller should retry, here or at another replica."""

    reason: str


class RolloutRead(msgspec.Struct, frozen=True):
    """The latest roll-out, confirmed by a quorum."""

    rollout: Rollout


RolloutOutcome = (
    RolloutAccepted
    | RolloutInProgress
    | RolloutRefused
    | RolloutUnknown
    | RolloutUndecided
    | RolloutRead
)


class RolloutAnswered(Command, frozen=True):
    """Command to the shell: answer the request of that number."""

    request: int
    outcome: RolloutOutcome


RolloutRequest = RolloutOrdered | RolloutAborted | RolloutQueried


class _PendingRequest:
    """A request that is not answered yet. Times are monotonic seconds."""

    __slots__ = ("event", "received_at", "edit", "sent_at")

    def __init__(self, event: RolloutRequest, received_at: float) -> None:
        self.event = event
        self.received_at = received_at
        self.edit: Edit | None = None
        self.sent_at = 0.0


class RolloutOrders:
    """The roll-out orders and queries in progress at one replica."""

    def __init__(self, replica: ControlCore) -> None:
        """Start without requests; ``replica`` carries out reads and edits."""
        self._replica = replica
        self._pending: dict[int, _PendingRequest] = {}
        self._reads: dict[int, int] = {}

    def handle_request(self, event: RolloutRequest) -> None:
        """Start to process a request; the answer follows as a command."""
        pending = _PendingRequest(event, self._replica.now)
        self._pending[event.request] = pending
        if isinstance(event, RolloutOrdered):
            problem = find_problem(event.order)
            if problem is not None:
                self._answer(event.request, RolloutRefused(problem))
                return
        self._start_read(event.request)

    def handle_read(self, number: int, confirmed: bool) -> bool:
        """Handle the outcome of a read; return False if another component started it."""
        request = self._reads.pop(number, None)
        if request is None:
            return False
        pending = self._pending.get(request)
        if pending is not None and confirmed:
            self._handle_confirmed_read(request, pending)
        return True

    def applied(self, outcomes: list[EditOutcome]) -> None:
        """Answer the orders whose edit has been applied here.

        An order whose edit was refused is decided again on a newer state.
        """
        by_id = {outcome.change_id: outcome for outcome in outcomes}
        for request, pending in list(self._pending.items()):
            if pending.edit is None or pending.edit.change_id not in by_id:
                continue
            if isinstance(by_id[pending.edit.change_id], EditAccepted):
                self._answer(request, RolloutAccepted())
            else:
                pending.edit = None
                self._start_read(request)

    def tick(self) -> None:
        """Answer requests without an outcome in time as undecided; retry the others."""
        now = self._replica.now
        reading = set(self._reads.values())
        for request, pending in list(self._pending.items()):
            if now - pending.received_at >= ANSWER_SECONDS:
                reason = NO_QUORUM if pending.edit is None else UNDECIDED
                self._answer(request, RolloutUndecided(reason))
            elif pending.edit is not None:
                if now - pending.sent_at >= RETRY_SECONDS:
                    self._propose(pending, pending.edit)
            elif request not in reading:
                self._start_read(request)

    def _start_read(self, request: int) -> None:
        self._reads[self._replica.read()] = request

    def _handle_confirmed_read(self, request: int, pending: _PendingRequest) -> None:
        """Answer a request, or propose its edit, on the state that this replica holds now.

        A quorum confirmed that state after the request came.
        """
        match pending.event:
            case RolloutOrdered():
                self._decide(request, pending, pending.event.order)
            case RolloutAborted():
                self._abort(request, pending, pending.event.service)
            case RolloutQueried():
                known = rollout_of(self._replica.state.tree, pending.event.service)
                outcome = RolloutUnknown() if known is None else RolloutRead(known)
                self._answer(request, outcome)

    def _decide(self, request: int, pending: _PendingRequest, order: RolloutOrder) -> None:
        tree = self._replica.state.tree
        node = tree.nodes.get(service_path(order.service))
        if node is None:
            problem = Problem("service", f"{order.service!r} is unknown", "a service")
            self._answer(request, RolloutRefused(problem))
            return
        known = rollout_of(tree, order.service)
        if known is not None:
            answer = _answer_from_latest(known, order)
            if answer is not None:
                self._answer(request, answer)
                return
        rollout = Rollout(
            service=order.service,
            version=order.target_version,
            state=RUNNING,
            share=self._replica.rollouts.first_share,
            began_milliseconds=self._start_milliseconds(known),
            milliseconds=order.milliseconds,
        )
        change_id = f"rollout-{order.service}-{order.target_version}-{node.revision}"
        self._propose(pending, start_edit(rollout, change_id))

    def _start_milliseconds(self, known: Rollout | None) -> int:
        """Return the start time of a new roll-out in milliseconds since the Unix epoch.

        It is always later than the start of ``known``, the service's previous roll-out.
        """
        now = self._replica.unix_milliseconds
        return now if known is None else max(now, known.began_milliseconds + 1)

    def _abort(self, request: int, pending: _PendingRequest, service: str) -> None:
        known = rollout_of(self._replica.state.tree, service)
        if known is None:
            self._answer(request, RolloutUnknown())
        elif known.state == RUNNING:
            self._propose(pending, end_edit(known, ROLLED_BACK, ABORT_REASON))
        elif known.state == ROLLED_BACK:
            self._answer(request, RolloutAccepted())
        else:
            problem = Problem("state", f"it is {known.state}", "a roll-out under way")
            self._answer(request, RolloutRefused(problem))

    def _propose(self, pending: _PendingRequest, edit: Edit) -> None:
        """Send the edit to the leader, which proposes it.

        An edit that is sent again is accepted once only.
        """
        pending.edit = edit
        pending.sent_at = self._replica.now
        self._replica.submit_to_leader(edit)

    def _answer(self, request: int, outcome: RolloutOutcome) -> None:
        pending = self._pending.pop(request)
        self._replica.command(RolloutAnswered(request, outcome))
        if not isinstance(pending.event, RolloutQueried):
            self._replica.report(_notice(self._replica.name, pending.event, outcome))


def find_problem(order: RolloutOrder) -> Problem | None:
    """Return what is wrong with an order regardless of the state, or None."""
    if not SETTING_RULES["rollout_version"].is_allowed(order.target_version):
        return Problem("target_version", "is no version", SOFTWARE_VERSION_RULE)
    seconds = order.duration_seconds
    if not math.isfinite(seconds) or not 0.0 < seconds <= MAX_ROLLOUT_SECONDS:
        allowed = f"above 0, at most {MAX_ROLLOUT_SECONDS:.0f} s"
        return Problem("duration_seconds", f"is {seconds}", allowed)
    return None


def _answer_from_latest(known: Rollout, order: RolloutOrder) -> RolloutOutcome | None:
    """Return the answer that the latest roll-out determines for an order.

    Return None if the order may start a new roll-out.
    """
    is_same = known.version == order.target_version
    if is_same and known.milliseconds == order.milliseconds:
        return RolloutAccepted()
    if known.state == RUNNING:
        return RolloutInProgress(known.version)
    if is_same and known.state != ROLLED_BACK:
        return RolloutRefused(
            Problem("target_version", "runs already", "another version than the present")
        )
    return None


def _notice(
    replica: str, event: RolloutRequest, outcome: RolloutOutcome
) -> notices.RolloutJudged:
    version = event.order.target_version if isinstance(event, RolloutOrdered) else ""
    service = event.order.service if isinstance(event, RolloutOrdered) else event.service
    name, detail = _outcome_and_detail(outcome)
    return notices.RolloutJudged(
        replica=replica, service=service, version=version, outcome=name, detail=detail
    )


def _outcome_and_detail(outcome: RolloutOutcome) -> tuple[str, str]:
    match outcome:
        case RolloutAccepted():
            return "taken", ""
        case RolloutInProgress(target_version=version):
            return "under-way", f"the roll-out of {version} is in progress"
        case RolloutRefused(problem=problem):
            return "refused", f"{problem.subject} {problem.reason}"
        case RolloutUndecided(reason=reason):
            return "undecided", reason
        case _:
            return "unknown", ""
