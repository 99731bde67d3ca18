"""Operators' orders and questions about roll-outs: taken at any replica.

As with whole configurations, a replica judges only on a state that a quorum confirmed
after the order came, has the leader propose the edit, and answers when the outcome is
applied here.  Nothing is refused by a replica that may be behind, and what was taken is
acknowledged again.
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
    SEND_AGAIN_SECONDS,
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

MOST_SECONDS = 7 * 86_400.0
ABORTED = "an operator took it back"


class RolloutOrder(msgspec.Struct, frozen=True):
    """Bring ``target_version`` of a service in within ``duration_seconds``."""

    service: str
    target_version: str
    duration_seconds: float

    @property
    def milliseconds(self) -> int:
        """The time it may take."""
        return round(self.duration_seconds * 1_000)


class RolloutOrdered(Event, frozen=True):
    """An operator orders a roll-out; ``request`` names the question."""

    request: int
    order: RolloutOrder


class RolloutAborted(Event, frozen=True):
    """An operator takes the roll-out of a service back."""

    request: int
    service: str


class RolloutWanted(Event, frozen=True):
    """An operator asks for the latest roll-out of a service."""

    request: int
    service: str


class RolloutTaken(msgspec.Struct, frozen=True):
    """The order stands: now, or taken before."""


class RolloutUnderWay(msgspec.Struct, frozen=True):
    """Another roll-out of that service is under way; nothing changed."""

    target_version: str


class RolloutRefused(msgspec.Struct, frozen=True):
    """The order can't be carried out; nothing changed."""

    problem: Problem


class RolloutUnknown(msgspec.Struct, frozen=True):
    """There was no roll-out of that service."""


class RolloutUndecided(msgspec.Struct, frozen=True):
    """Nothing is known: send it again, here or elsewhere."""

    reason: str


class RolloutRead(msgspec.Struct, frozen=True):
    """The latest roll-out, confirmed by a quorum."""

    rollout: Rollout


RolloutOutcome = (
    RolloutTaken
    | RolloutUnderWay
    | RolloutRefused
    | RolloutUnknown
    | RolloutUndecided
    | RolloutRead
)


class RolloutAnswered(Command, frozen=True):
    """Answer the question of that number."""

    request: int
    outcome: RolloutOutcome


Ask = RolloutOrdered | RolloutAborted | RolloutWanted


class _Question:
    """A question without answer.  Times are monotonic seconds."""

    __slots__ = ("ask", "asked_at", "edit", "sent_at")

    def __init__(self, ask: Ask, asked_at: float) -> None:
        self.ask = ask
        self.asked_at = asked_at
        self.edit: Edit | None = None
        self.sent_at = 0.0


class RolloutOrders:
    """The orders and questions under way at one replica."""

    def __init__(self, replica: ControlCore) -> None:
        """Begin without questions."""
        self._replica = replica
        self._questions: dict[int, _Question] = {}
        self._reads: dict[int, int] = {}

    def ask(self, event: Ask) -> None:
        """Take a question; the answer follows."""
        question = _Question(event, self._replica.now)
        self._questions[event.request] = question
        if isinstance(event, RolloutOrdered):
            problem = find_problem(event.order)
            if problem is not None:
                self._answer(event.request, RolloutRefused(problem))
                return
        self._ask_read(event.request)

    def take_read(self, number: int, confirmed: bool) -> bool:
        """Take the outcome of a read; False if it is none of these questions'."""
        request = self._reads.pop(number, None)
        if request is None:
            return False
        question = self._questions.get(request)
        if question is not None and confirmed:
            self._confirmed(request, question)
        return True

    def applied(self, outcomes: list[EditOutcome]) -> None:
        """Answer the orders whose edit is applied here now; judge the others again."""
        by_id = {outcome.change_id: outcome for outcome in outcomes}
        for request, question in list(self._questions.items()):
            if question.edit is None or question.edit.change_id not in by_id:
                continue
            if isinstance(by_id[question.edit.change_id], EditAccepted):
                self._answer(request, RolloutTaken())
            else:
                question.edit = None
                self._ask_read(request)

    def tick(self) -> None:
        """End what takes too long; ask again where nobody answered."""
        now = self._replica.now
        reading = set(self._reads.values())
        for request, question in list(self._questions.items()):
            if now - question.asked_at >= ANSWER_SECONDS:
                reason = NO_QUORUM if question.edit is None else UNDECIDED
                self._answer(request, RolloutUndecided(reason))
            elif question.edit is not None:
                if now - question.sent_at >= SEND_AGAIN_SECONDS:
                    self._propose(question, question.edit)
            elif request not in reading:
                self._ask_read(request)

    def _ask_read(self, request: int) -> None:
        self._reads[self._replica.read()] = request

    def _confirmed(self, request: int, question: _Question) -> None:
        """Judge on a state that a quorum confirmed after the question came."""
        match question.ask:
            case RolloutOrdered():
                self._judge(request, question, question.ask.order)
            case RolloutAborted():
                self._abort(request, question, question.ask.service)
            case RolloutWanted():
                known = rollout_of(self._replica.state.tree, question.ask.service)
                outcome = RolloutUnknown() if known is None else RolloutRead(known)
                self._answer(request, outcome)

    def _judge(self, request: int, question: _Question, order: RolloutOrder) -> None:
        tree = self._replica.state.tree
        node = tree.nodes.get(service_path(order.service))
        if node is None:
            problem = Problem("service", f"{order.service!r} is unknown", "a service")
            self._answer(request, RolloutRefused(problem))
            return
        known = rollout_of(tree, order.service)
        if known is not None:
            answer = _answer_beside(known, order)
            if answer is not None:
                self._answer(request, answer)
                return
        rollout = Rollout(
            service=order.service,
            version=order.target_version,
            state=RUNNING,
            share=self._replica.rollouts.first_share,
            began_milliseconds=self._began(known),
            milliseconds=order.milliseconds,
        )
        change_id = f"rollout-{order.service}-{order.target_version}-{node.revision}"
        self._propose(question, start_edit(rollout, change_id))

    def _began(self, known: Rollout | None) -> int:
        """Give the moment of the order, later than that of the one before."""
        now = self._replica.unix_milliseconds
        return now if known is None else max(now, known.began_milliseconds + 1)

    def _abort(self, request: int, question: _Question, service: str) -> None:
        known = rollout_of(self._replica.state.tree, service)
        if known is None:
            self._answer(request, RolloutUnknown())
        elif known.state == RUNNING:
            self._propose(question, end_edit(known, ROLLED_BACK, ABORTED))
        elif known.state == ROLLED_BACK:
            self._answer(request, RolloutTaken())
        else:
            problem = Problem("state", f"it is {known.state}", "a roll-out under way")
            self._answer(request, RolloutRefused(problem))

    def _propose(self, question: _Question, edit: Edit) -> None:
        """Have the leader propose the edit, again and again: it is taken once."""
        question.edit = edit
        question.sent_at = self._replica.now
        self._replica.submit_to_leader(edit)

    def _answer(self, request: int, outcome: RolloutOutcome) -> None:
        question = self._questions.pop(request)
        self._replica.command(RolloutAnswered(request, outcome))
        if not isinstance(question.ask, RolloutWanted):
            self._replica.report(_notice(self._replica.name, question.ask, outcome))


def find_problem(order: RolloutOrder) -> Problem | None:
    """Give what is wrong with an order taken alone."""
    if not SETTING_RULES["rollout_version"].is_allowed(order.target_version):
        return Problem("target_version", "is no version", SOFTWARE_VERSION_RULE)
    seconds = order.duration_seconds
    if not math.isfinite(seconds) or not 0.0 < seconds <= MOST_SECONDS:
        allowed = f"above 0, at most {MOST_SECONDS:.0f} s"
        return Problem("duration_seconds", f"is {seconds}", allowed)
    return None


def _answer_beside(known: Rollout, order: RolloutOrder) -> RolloutOutcome | None:
    """Answer an order that the latest roll-out settles, or None if it may begin."""
    is_same = known.version == order.target_version
    if is_same and known.milliseconds == order.milliseconds:
        return RolloutTaken()
    if known.state == RUNNING:
        return RolloutUnderWay(known.version)
    if is_same and known.state != ROLLED_BACK:
        return RolloutRefused(
            Problem("target_version", "runs already", "another version than the present")
        )
    return None


def _notice(replica: str, ask: Ask, outcome: RolloutOutcome) -> notices.RolloutJudged:
    version = ask.order.target_version if isinstance(ask, RolloutOrdered) else ""
    service = ask.order.service if isinstance(ask, RolloutOrdered) else ask.service
    name, detail = _words(outcome)
    return notices.RolloutJudged(
        replica=replica, service=service, version=version, outcome=name, detail=detail
    )


def _words(outcome: RolloutOutcome) -> tuple[str, str]:
    match outcome:
        case RolloutTaken():
            return "taken", ""
        case RolloutUnderWay(target_version=version):
            return "under-way", f"that of {version} is"
        case RolloutRefused(problem=problem):
            return "refused", f"{problem.subject} {problem.reason}"
        case RolloutUndecided(reason=reason):
            return "undecided", reason
        case _:
            return "unknown", ""
