"""Releases: complete configurations, submitted to or read from any replica.

A replica that receives a configuration first has a read confirmed by a quorum, so that it
decides on the newest state. Then it composes the edit and has the leader propose it. It
answers when the edit, or its refusal, is applied here. A replica that may be behind refuses
nothing, and a configuration that was accepted once is acknowledged at every later request.
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
"""A request without an outcome after this time is answered as undecided, because callers go
to another replica after a second without a response."""

BASE_WAIT_SECONDS = 0.4
"""A configuration whose base release is not in place yet waits this long for it: several
may be in progress at once and overtake each other."""

RETRY_SECONDS = 0.25
"""Interval at which an edit without a known outcome is sent to the leader again."""

NO_QUORUM = "no-quorum"
UNDECIDED = "undecided"
NO_CONFIGURATION = "no-configuration"


class ReleaseAccepted(msgspec.Struct, frozen=True):
    """The configuration is accepted under its number, by this request or an earlier one."""

    release: Version


class ReleaseConflict(msgspec.Struct, frozen=True):
    """The configuration doesn't follow the newest release, ``current``; nothing changed."""

    current: Version


class ReleaseInvalid(msgspec.Struct, frozen=True):
    """The configuration is invalid for these ``problems``; nothing changed."""

    problems: tuple[Problem, ...]


class ReleaseUndecided(msgspec.Struct, frozen=True):
    """The outcome is unknown: the caller should retry, here or at another replica."""

    reason: str


class ReleaseRead(msgspec.Struct, frozen=True):
    """The newest configuration, confirmed by a quorum."""

    configuration: WholeConfiguration


ReleaseOutcome = ReleaseAccepted | ReleaseConflict | ReleaseInvalid | ReleaseUndecided


class ReleaseSubmitted(Event, frozen=True):
    """An operator sent a complete configuration; ``request`` numbers the request."""

    request: int
    configuration: WholeConfiguration


class ReleaseQueried(Event, frozen=True):
    """An operator asks for the newest configuration."""

    request: int


class ReleaseAnswered(Command, frozen=True):
    """Command to the shell: answer the request of that number."""

    request: int
    outcome: ReleaseOutcome | ReleaseRead


class _PendingRequest:
    """A request that is not answered yet. Times are monotonic seconds."""

    __slots__ = ("received_at", "change_id", "configuration", "is_proposed", "sent_at")

    def __init__(
        self, received_at: float, configuration: WholeConfiguration | None
    ) -> None:
        self.received_at = received_at
        self.configuration = configuration
        self.change_id = "" if configuration is None else change_id_of(configuration)
        self.is_proposed = False
        """Whether the edit was composed on a confirmed state and sent to the leader."""
        self.sent_at = 0.0


class Releases:
    """The requests to submit or read a complete configuration in progress at a replica."""

    def __init__(self, replica: ControlCore) -> None:
        """Start without requests; ``replica`` carries out reads and edits."""
        self._replica = replica
        self._pending: dict[int, _PendingRequest] = {}
        self._reads: dict[int, int] = {}
        self._cached: tuple[Tree, WholeConfiguration] | None = None

    # --- requests ------------------------------------------------------------

    def submit(self, event: ReleaseSubmitted) -> None:
        """Start to process a configuration; the answer follows as a command."""
        pending = _PendingRequest(self._replica.now, event.configuration)
        problems = find_problems(event.configuration)
        if problems:
            self._answer(event.request, pending, ReleaseInvalid(problems))
            return
        self._pending[event.request] = pending
        if not self._answer_known(event.request, pending):
            self._start_read(event.request)

    def read_newest(self, event: ReleaseQueried) -> None:
        """Start to read the newest configuration; the answer follows as a command."""
        self._pending[event.request] = _PendingRequest(self._replica.now, None)
        self._start_read(event.request)

    # --- confirmed reads and applied edits -----------------------------------

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
        """Answer the requests whose outcome has been applied here.

        A configuration that waits for its base release is decided again, after a confirmed
        read, if that release is the newest now.
        """
        known = {outcome.change_id for outcome in outcomes}
        for request, pending in list(self._pending.items()):
            if pending.change_id in known:
                self._answer_known(request, pending)
            elif pending.configuration is not None and not pending.is_proposed:
                self._retry_with_new_base(request, pending)

    def state_installed(self) -> None:
        """Answer the requests whose outcome came with an installed snapshot."""
        for request, pending in list(self._pending.items()):
            self._answer_known(request, pending)

    def tick(self) -> None:
        """Answer requests without an outcome in time as undecided; retry the others."""
        now = self._replica.now
        reading = set(self._reads.values())
        for request, pending in list(self._pending.items()):
            waited = now - pending.received_at
            if waited >= ANSWER_SECONDS:
                reason = UNDECIDED if pending.is_proposed else NO_QUORUM
                self._answer(request, pending, ReleaseUndecided(reason))
            elif pending.is_proposed:
                if now - pending.sent_at >= RETRY_SECONDS:
                    self._propose(pending)
            elif request not in reading:
                self._start_read(request)

    # --- internals -----------------------------------------------------------

    def _start_read(self, request: int) -> None:
        self._reads[self._replica.read()] = request

    def _handle_confirmed_read(self, request: int, pending: _PendingRequest) -> None:
        if pending.configuration is not None:
            if not self._answer_known(request, pending):
                self._decide(request, pending, pending.configuration)
            return
        tree = self._replica.state.tree
        if tree.release == 0:
            self._answer(request, pending, ReleaseUndecided(NO_CONFIGURATION))
        else:
            self._answer(request, pending, ReleaseRead(self._cached_configuration(tree)))

    def _retry_with_new_base(self, request: int, pending: _PendingRequest) -> None:
        """Start a read to decide again if the configuration's base is the newest now."""
        assert pending.configuration is not None
        if self._replica.state.tree.release == pending.configuration.base:
            self._start_read(request)

    def _decide(
        self, request: int, pending: _PendingRequest, configuration: WholeConfiguration
    ) -> None:
        """Propose the edit of a configuration that follows the newest release, else refuse.

        To be called on a state that a quorum confirmed after the request came. While the
        base is newer than the newest release here, nothing is done for up to
        ``BASE_WAIT_SECONDS``, because it may still arrive.
        """
        current = self._replica.state.tree.release
        waited = self._replica.now - pending.received_at
        if configuration.base > current and waited < BASE_WAIT_SECONDS:
            return
        if configuration.base != current or configuration.version <= current:
            self._answer(request, pending, ReleaseConflict(current))
            return
        pending.is_proposed = True
        self._propose(pending)

    def _propose(self, pending: _PendingRequest) -> None:
        """Send the edit of the pending configuration to the leader, which proposes it.

        An edit that is sent again is accepted once only. Nothing is sent while the newest
        release at this replica is not the one that the configuration names as its base.
        """
        assert pending.configuration is not None
        replica = self._replica
        pending.sent_at = replica.now
        if replica.state.tree.release != pending.configuration.base:
            return
        replica.submit_to_leader(edit_of(replica.state.tree, pending.configuration))

    def _answer_known(self, request: int, pending: _PendingRequest) -> bool:
        """Answer a request whose edit has a recorded outcome; return False without one."""
        if not pending.change_id:
            return False
        outcome = self._replica.state.outcomes.find(pending.change_id)
        if outcome is None:
            return False
        self._answer(request, pending, _release_outcome(outcome, pending))
        return True

    def _answer(
        self, request: int, pending: _PendingRequest, outcome: ReleaseOutcome | ReleaseRead
    ) -> None:
        self._pending.pop(request, None)
        self._replica.command(ReleaseAnswered(request, outcome))
        waited = round((self._replica.now - pending.received_at) * 1_000)
        self._replica.report(_notice(self._replica.name, pending, outcome, waited))

    def _cached_configuration(self, tree: Tree) -> WholeConfiguration:
        if self._cached is None or self._cached[0] is not tree:
            self._cached = (tree, configuration_of(tree))
        return self._cached[1]


def _release_outcome(outcome: EditOutcome, pending: _PendingRequest) -> ReleaseOutcome:
    assert pending.configuration is not None
    match outcome:
        case EditAccepted():
            return ReleaseAccepted(pending.configuration.version)
        case EditConflict(actual_revision=current):
            return ReleaseConflict(current)
        case EditInvalid(problems=problems):
            return ReleaseInvalid(problems)
        case _:
            return ReleaseUndecided(UNDECIDED)


def _notice(
    replica: str,
    pending: _PendingRequest,
    outcome: ReleaseOutcome | ReleaseRead,
    waited_milliseconds: int,
) -> notices.ReleaseJudged | notices.ReleaseShown:
    configuration = pending.configuration
    if configuration is None:
        shown = outcome.configuration.version if isinstance(outcome, ReleaseRead) else 0
        reason = outcome.reason if isinstance(outcome, ReleaseUndecided) else ""
        return notices.ReleaseShown(replica, shown, reason, waited_milliseconds)
    name, detail = _outcome_and_detail(outcome)
    return notices.ReleaseJudged(
        replica=replica,
        release=configuration.version,
        base=configuration.base,
        change_id=pending.change_id,
        outcome=name,
        detail=detail,
        waited_milliseconds=waited_milliseconds,
    )


def _outcome_and_detail(outcome: ReleaseOutcome | ReleaseRead) -> tuple[str, str]:
    match outcome:
        case ReleaseAccepted():
            return "taken", ""
        case ReleaseConflict(current=current):
            return "conflict", f"release {current} is in place"
        case ReleaseInvalid(problems=problems):
            first = problems[0]
            return "invalid", f"{first.subject}: {first.reason}"
        case ReleaseUndecided(reason=reason):
            return "undecided", reason
        case _:
            raise AssertionError("a read has no outcome to report")
