"""Operators, a relay and readers that check the answers of a control cluster."""

from __future__ import annotations

from tests.consensus.control_cluster import ControlCluster

from peppershore.connection.messages.base import Message
from peppershore.connection.messages.operators import EditAnswered, NotLeader, SubmitEdit
from peppershore.connection.messages.relay import (
    ConfirmReply,
    ConfirmRequest,
    EditsCommitted,
    FollowRequest,
    TreeState,
)
from peppershore.connection.messages.session import Goodbye
from peppershore.process.control.core import DISK_REFUSED
from peppershore.version.model import (
    Edit,
    EditAccepted,
    EditOutcome,
    ExpectedRevision,
    Overrides,
    SetOverrides,
)

RETRY_SECONDS = 0.4
THINK_SECONDS = 0.02
READ_SECONDS = 0.05
FOLLOW_SECONDS = 0.3


class Answers:
    """Outcomes that operators received, by change id; a retry must get the same one."""

    def __init__(self) -> None:
        self.outcomes: dict[str, EditOutcome] = {}
        self.newest_accepted = 0

    def take(self, outcome: EditOutcome) -> None:
        first = self.outcomes.setdefault(outcome.change_id, outcome)
        assert first == outcome, "a retry got another outcome"
        if isinstance(outcome, EditAccepted):
            self.newest_accepted = max(self.newest_accepted, outcome.version)


class Operator:
    """Submits one edit after another; retries with the same id until answered."""

    def __init__(self, name: str, cluster: ControlCluster, answers: Answers) -> None:
        self._name = name
        self._cluster = cluster
        self._answers = answers
        self._number = 0
        self._revision = 0
        self._attempt = 0
        self.stopped = False
        self._edit = self._next_edit()
        self._submit(None)

    def _next_edit(self) -> Edit:
        self._number += 1
        slots = 1 + self._cluster.random.randrange(100)
        path = f"/service{self._cluster.random.randrange(2)}"
        expected: tuple[ExpectedRevision, ...] = ()
        if self._cluster.random.random() < 0.3:
            expected = (ExpectedRevision(path, self._revision),)
        operation = SetOverrides(path, Overrides(slots=slots))
        return Edit(f"{self._name}-{self._number}", (operation,), expected)

    def _submit(self, replica: str | None) -> None:
        cluster = self._cluster
        self._attempt += 1
        attempt = self._attempt
        name = replica or cluster.random.choice(sorted(cluster.replicas))
        edit = self._edit
        link = cluster.connect(name, lambda message: self._take(edit, message))
        if link is not None:
            cluster.send(name, link, SubmitEdit(edit))
        cluster.later(RETRY_SECONDS, lambda: self._retry(attempt))

    def _retry(self, attempt: int) -> None:
        if attempt == self._attempt:
            self._submit(None)

    def _take(self, edit: Edit, message: Message) -> None:
        if isinstance(message, EditAnswered):
            self._answers.take(message.outcome)
            if isinstance(message.outcome, EditAccepted):
                self._revision = message.outcome.version
        if edit is not self._edit:
            return
        if isinstance(message, NotLeader) and message.leader in self._cluster.replicas:
            self._submit(message.leader)
        elif isinstance(message, EditAnswered):
            self._edit = self._next_edit()
            self._attempt += 1
            if not self.stopped:
                self._cluster.later(THINK_SECONDS, lambda: self._submit(None))


class Reader:
    """Reads confirmed versions; none may be older than an edit accepted before."""

    def __init__(self, cluster: ControlCluster, answers: Answers) -> None:
        self._cluster = cluster
        self._answers = answers
        self.confirmed = 0
        self._ask()

    def _ask(self) -> None:
        cluster = self._cluster
        name = cluster.random.choice(sorted(cluster.replicas))
        lowest = self._answers.newest_accepted
        link = cluster.connect(name, lambda message: self._take(message, lowest))
        if link is not None:
            cluster.send(name, link, ConfirmRequest(1))
        cluster.later(READ_SECONDS, self._ask)

    def _take(self, message: Message, lowest: int) -> None:
        assert isinstance(message, ConfirmReply)
        assert message.version >= lowest, "a stale version was confirmed as current"
        self.confirmed += 1


class Relay:
    """Follows one replica after another; edits must arrive in order without gaps."""

    def __init__(self, cluster: ControlCluster) -> None:
        self._cluster = cluster
        self.version = 0
        self.received: list[int] = []
        self._follow()

    def _follow(self) -> None:
        cluster = self._cluster
        name = cluster.random.choice(sorted(cluster.replicas))
        link = cluster.connect(name, self._take)
        if link is not None:
            cluster.send(name, link, FollowRequest("test", "relay", "zone", self.version))
        cluster.later(FOLLOW_SECONDS, self._follow)

    def _take(self, message: Message) -> None:
        if isinstance(message, TreeState):
            self.version = max(self.version, message.tree.version)
            return
        if isinstance(message, Goodbye):
            assert message.reason == DISK_REFUSED
            return
        assert isinstance(message, EditsCommitted)
        accepted = sorted(self._cluster.invariants.accepted.values())
        for committed in message.edits:
            if committed.version <= self.version:
                continue
            between = [each for each in accepted if self.version < each < committed.version]
            assert not between, "an accepted edit was left out"
            self.version = committed.version
            self.received.append(committed.version)
