"""Whole configurations: taken at any replica, judged on what a quorum confirms.

A replica that is given a configuration first has a read confirmed, so that it judges
the newest state, then works out the edit and has the leader propose it.  The outcome
shows when the edit, or its refusal, is applied here.  Nothing is refused by a replica
that may be behind, and what was taken once is acknowledged for ever.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from peppershore.process.commands import Command
from peppershore.process.control import notices
from peppershore.process.events import Event
from peppershore.version.model import (
    EditAccepted,
    EditConflict,
    EditInvalid,
    EditOutcome,
    Problem,
    Tree,
    Version,
)
from peppershore.version.whole_configuration import (
    WholeConfiguration,
    change_id_of,
    configuration_of,
    edit_of,
    find_problems,
)

if TYPE_CHECKING:
    from peppershore.process.control.core import ControlCore

ANSWER_SECONDS = 0.85
"""A request without outcome by then is answered as undecided: callers move on after
a second without a response."""

BASE_SECONDS = 0.4
"""A configuration whose base is not in place yet waits so long for it: several may be
under way at once and overtake each other."""

SEND_AGAIN_SECONDS = 0.25
"""How often an edit is handed to the leader again while its outcome is not known."""

NO_QUORUM = "no-quorum"
UNDECIDED = "undecided"
NOTHING_TAKEN = "no-configuration"


class ReleaseTaken(msgspec.Struct, frozen=True):
    """The configuration is accepted, now or before, under its number."""

    release: Version


class ReleaseConflict(msgspec.Struct, frozen=True):
    """Another release than its base is in place; nothing changed."""

    current: Version


class ReleaseInvalid(msgspec.Struct, frozen=True):
    """The configuration breaks the rules; nothing changed."""

    problems: tuple[Problem, ...]


class ReleaseUndecided(msgspec.Struct, frozen=True):
    """Nothing is known: send it again, here or elsewhere."""

    reason: str


class ReleaseRead(msgspec.Struct, frozen=True):
    """The newest configuration, confirmed by a quorum."""

    configuration: WholeConfiguration


ReleaseOutcome = ReleaseTaken | ReleaseConflict | ReleaseInvalid | ReleaseUndecided


class ReleaseSubmitted(Event, frozen=True):
    """An operator sent a whole configuration; ``request`` names the question."""

    request: int
    configuration: WholeConfiguration


class ReleaseWanted(Event, frozen=True):
    """An operator asks for the newest configuration."""

    request: int


class ReleaseAnswered(Command, frozen=True):
    """Answer the question of that number."""

    request: int
    outcome: ReleaseOutcome | ReleaseRead


class _Question:
    """A question without answer.  Times are monotonic seconds."""

    __slots__ = ("asked_at", "change_id", "configuration", "is_judged", "sent_at")

    def __init__(self, asked_at: float, configuration: WholeConfiguration | None) -> None:
        self.asked_at = asked_at
        self.configuration = configuration
        self.change_id = "" if configuration is None else change_id_of(configuration)
        self.is_judged = False
        """The edit was worked out on a confirmed state and handed to the leader."""
        self.sent_at = 0.0


class Releases:
    """The whole configurations under way at one replica."""

    def __init__(self, replica: ControlCore) -> None:
        """Begin without questions."""
        self._replica = replica
        self._questions: dict[int, _Question] = {}
        self._reads: dict[int, int] = {}
        self._shown: tuple[Tree, WholeConfiguration] | None = None

    # --- questions -----------------------------------------------------------

    def submit(self, event: ReleaseSubmitted) -> None:
        """Take a configuration; the answer follows."""
        question = _Question(self._replica.now, event.configuration)
        problems = find_problems(event.configuration)
        if problems:
            self._answer(event.request, question, ReleaseInvalid(problems))
            return
        self._questions[event.request] = question
        if not self._answer_known(event.request, question):
            self._ask_read(event.request)

    def want(self, event: ReleaseWanted) -> None:
        """Take a question for the newest configuration."""
        self._questions[event.request] = _Question(self._replica.now, None)
        self._ask_read(event.request)

    # --- what the replica learns ---------------------------------------------

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
        """Answer the questions whose outcome is applied here now."""
        known = {outcome.change_id for outcome in outcomes}
        for request, question in list(self._questions.items()):
            if question.change_id in known:
                self._answer_known(request, question)
            elif question.configuration is not None and not question.is_judged:
                self._judge_again(request, question)

    def state_installed(self) -> None:
        """The state jumped ahead: outcomes may have come with it."""
        for request, question in list(self._questions.items()):
            self._answer_known(request, question)

    def tick(self) -> None:
        """End what takes too long; ask again where nobody answered."""
        now = self._replica.now
        reading = set(self._reads.values())
        for request, question in list(self._questions.items()):
            waited = now - question.asked_at
            if waited >= ANSWER_SECONDS:
                reason = UNDECIDED if question.is_judged else NO_QUORUM
                self._answer(request, question, ReleaseUndecided(reason))
            elif question.is_judged:
                if now - question.sent_at >= SEND_AGAIN_SECONDS:
                    self._propose(question)
            elif request not in reading:
                self._ask_read(request)

    # --- inside --------------------------------------------------------------

    def _ask_read(self, request: int) -> None:
        self._reads[self._replica.read()] = request

    def _confirmed(self, request: int, question: _Question) -> None:
        if question.configuration is not None:
            if not self._answer_known(request, question):
                self._judge(request, question, question.configuration)
            return
        tree = self._replica.state.tree
        if tree.release == 0:
            self._answer(request, question, ReleaseUndecided(NOTHING_TAKEN))
        else:
            self._answer(request, question, ReleaseRead(self._show(tree)))

    def _judge_again(self, request: int, question: _Question) -> None:
        """The state moved on: the base may be in place now."""
        assert question.configuration is not None
        if self._replica.state.tree.release == question.configuration.base:
            self._ask_read(request)

    def _judge(
        self, request: int, question: _Question, configuration: WholeConfiguration
    ) -> None:
        """Judge on a state that a quorum confirmed after the question came."""
        current = self._replica.state.tree.release
        waited = self._replica.now - question.asked_at
        if configuration.base > current and waited < BASE_SECONDS:
            return
        if configuration.base != current or configuration.version <= current:
            self._answer(request, question, ReleaseConflict(current))
            return
        question.is_judged = True
        self._propose(question)

    def _propose(self, question: _Question) -> None:
        """Have the leader propose the edit, again and again: it is taken once."""
        assert question.configuration is not None
        replica = self._replica
        question.sent_at = replica.now
        if replica.state.tree.release != question.configuration.base:
            return
        replica.submit_to_leader(edit_of(replica.state.tree, question.configuration))

    def _answer_known(self, request: int, question: _Question) -> bool:
        """Answer from the table of outcomes; False if it has none."""
        if not question.change_id:
            return False
        outcome = self._replica.state.outcomes.find(question.change_id)
        if outcome is None:
            return False
        self._answer(request, question, _as_release(outcome, question))
        return True

    def _answer(
        self, request: int, question: _Question, outcome: ReleaseOutcome | ReleaseRead
    ) -> None:
        self._questions.pop(request, None)
        self._replica.command(ReleaseAnswered(request, outcome))
        waited = round((self._replica.now - question.asked_at) * 1_000)
        self._replica.report(_notice(self._replica.name, question, outcome, waited))

    def _show(self, tree: Tree) -> WholeConfiguration:
        if self._shown is None or self._shown[0] is not tree:
            self._shown = (tree, configuration_of(tree))
        return self._shown[1]


def _as_release(outcome: EditOutcome, question: _Question) -> ReleaseOutcome:
    assert question.configuration is not None
    match outcome:
        case EditAccepted():
            return ReleaseTaken(question.configuration.version)
        case EditConflict(actual_revision=current):
            return ReleaseConflict(current)
        case EditInvalid(problems=problems):
            return ReleaseInvalid(problems)
        case _:
            return ReleaseUndecided(UNDECIDED)


def _notice(
    replica: str,
    question: _Question,
    outcome: ReleaseOutcome | ReleaseRead,
    waited_milliseconds: int,
) -> notices.ReleaseJudged | notices.ReleaseShown:
    configuration = question.configuration
    if configuration is None:
        shown = outcome.configuration.version if isinstance(outcome, ReleaseRead) else 0
        reason = outcome.reason if isinstance(outcome, ReleaseUndecided) else ""
        return notices.ReleaseShown(replica, shown, reason, waited_milliseconds)
    name, detail = _words(outcome)
    return notices.ReleaseJudged(
        replica=replica,
        release=configuration.version,
        base=configuration.base,
        change_id=question.change_id,
        outcome=name,
        detail=detail,
        waited_milliseconds=waited_milliseconds,
    )


def _words(outcome: ReleaseOutcome | ReleaseRead) -> tuple[str, str]:
    match outcome:
        case ReleaseTaken():
            return "taken", ""
        case ReleaseConflict(current=current):
            return "conflict", f"release {current} is in place"
        case ReleaseInvalid(problems=problems):
            first = problems[0]
            return "invalid", f"{first.subject}: {first.reason}"
        case ReleaseUndecided(reason=reason):
            return "undecided", reason
        case _:
            raise AssertionError("a read is no judgement")
