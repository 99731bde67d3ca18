"""A simulated operator: reads the tree, edits it, resends what was not answered."""

from __future__ import annotations

from random import Random
from typing import Protocol

from peppershore.connection.messages.base import Message
from peppershore.connection.messages.operators import (
    EditAnswered,
    NotLeader,
    StatusAnswered,
    StatusQuery,
    SubmitEdit,
    TreeAnswered,
    TreeQuery,
)
from peppershore.process import events
from peppershore.process.commands import CloseLink, Command, OpenLink, SendMessage, SetTimer
from peppershore.process.link_numbers import LinkNumbers
from peppershore.version.model import Edit, EditOutcome, Version
from peppershore_lab.simulator.edit_generator import random_edit

THINK_TIMER = "think"
ANSWER_TIMER = "answer"
ANSWER_SECONDS = 1.5
RECONNECT_SECONDS = 0.1
RESEND_SHARE = 0.3
"""Share of answered edits that the operator sends once more."""


class OperatorJournal(Protocol):
    """What the checks hear of operators."""

    def read_began(self) -> Version:
        """Give the version that a read beginning now must at least show."""
        ...

    def read_answered(self, operator: str, at_least: Version, version: Version) -> None:
        """A read of the newest tree was answered."""
        ...

    def edit_answered(self, operator: str, outcome: EditOutcome) -> None:
        """An edit was answered."""
        ...

    def status_answered(self, operator: str, status: StatusAnswered) -> None:
        """The state of the cluster was answered."""
        ...


class OperatorCore:
    """One operator at work, as a step function."""

    def __init__(
        self,
        name: str,
        replicas: tuple[str, ...],
        think_seconds: float,
        journal: OperatorJournal,
    ) -> None:
        """Work against the replicas at these addresses."""
        self.is_active = True
        self.is_watching = False
        self._name = name
        self._replicas = replicas
        self._think_seconds = think_seconds
        self._journal = journal
        self._numbers = LinkNumbers()
        self._randomness = Random(0)
        self._incarnation = 0
        self._edits = 0
        self._link: events.LinkId | None = None
        self._leader = ""
        self._edit: Edit | None = None
        self._read_at_least: Version = 0

    @property
    def is_idle(self) -> bool:
        """Whether no edit is under way."""
        return self._edit is None

    def step(self, event: events.Event, now: float) -> list[Command]:
        """Take one event."""
        del now
        match event:
            case events.Started():
                self._randomness = Random(event.seed)
                self._incarnation = self._randomness.getrandbits(32)
                return [self._think()]
            case events.TimerFired():
                return self._timer(event.timer)
            case events.LinkOpened():
                return self._opened() if event.link == self._link else []
            case events.LinkClosed():
                return self._lost() if event.link == self._link else []
            case events.MessageReceived():
                return self._message(event)
            case _:
                return []

    def _think(self) -> Command:
        return SetTimer(THINK_TIMER, self._randomness.random() * self._think_seconds)

    def _timer(self, timer: str) -> list[Command]:
        if timer == ANSWER_TIMER:
            return self._give_up()
        if not self.is_active and self._edit is None:
            return self._watch() if self.is_watching else [self._think()]
        if self._link is not None:
            return self._ask()
        return self._connect()

    def _watch(self) -> list[Command]:
        """Ask for the state; edits nothing."""
        if self._link is None:
            return self._connect()
        return [self._send(StatusQuery()), self._think()]

    def _connect(self) -> list[Command]:
        self._link = self._numbers.take()
        address = self._leader or self._randomness.choice(self._replicas)
        self._leader = ""
        return [OpenLink(self._link, address), SetTimer(ANSWER_TIMER, ANSWER_SECONDS)]

    def _opened(self) -> list[Command]:
        return self._ask()

    def _ask(self) -> list[Command]:
        message: Message
        if self._edit is not None:
            message = SubmitEdit(self._edit)
        elif not self.is_active:
            return self._watch()
        else:
            self._read_at_least = self._journal.read_began()
            message = TreeQuery()
        return [self._send(message), SetTimer(ANSWER_TIMER, ANSWER_SECONDS)]

    def _send(self, message: Message) -> Command:
        assert self._link is not None
        return SendMessage(self._link, message)

    def _message(self, event: events.MessageReceived) -> list[Command]:
        if event.link != self._link:
            return []
        match event.message:
            case TreeAnswered(tree=tree):
                version = tree.version
                self._journal.read_answered(self._name, self._read_at_least, version)
                self._edits += 1
                unique = f"{self._name}-{self._incarnation}-{self._edits}"
                self._edit = random_edit(tree, unique, self._randomness)
                return self._ask()
            case EditAnswered(outcome=outcome):
                return self._answered(outcome)
            case StatusAnswered() as status:
                self._journal.status_answered(self._name, status)
                return []
            case NotLeader(leader=leader):
                self._leader = leader
                return self._give_up()
            case _:
                return self._give_up()

    def _answered(self, outcome: EditOutcome) -> list[Command]:
        self._journal.edit_answered(self._name, outcome)
        if self._randomness.random() < RESEND_SHARE:
            return self._ask()
        self._edit = None
        status = self._send(StatusQuery())
        return [status, SetTimer(ANSWER_TIMER, ANSWER_SECONDS * 100), self._think()]

    def _give_up(self) -> list[Command]:
        if self._link is None:
            return self._lost()
        return [CloseLink(self._link, "no answer"), *self._lost()]

    def _lost(self) -> list[Command]:
        self._link = None
        wait = RECONNECT_SECONDS * (1.0 + self._randomness.random())
        return [SetTimer(THINK_TIMER, wait)]
