"""A simulated administrator: takes a lost replica out of its group and adds its successor.

The successor has the name and address of the lost one and a blank disk.  Each
change is asked for again, at whoever leads, until it is answered.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from peppershore.connection.messages.operators import (
    MembershipAnswered,
    MembershipChange,
    NotLeader,
)
from peppershore.process import events
from peppershore.process.commands import CloseLink, Command, OpenLink, SendMessage, SetTimer
from peppershore.process.consensus.membership_changes import ACTION_ADD, ACTION_REMOVE
from peppershore.process.link_numbers import LinkNumbers

LOOK_TIMER = "look"
ANSWER_TIMER = "answer"
LOOK_SECONDS = 0.1
ANSWER_SECONDS = 3.0
MEMBER_ALREADY = "is a member already"
NO_MEMBER = "is no member"


@dataclass(frozen=True)
class Replacement:
    """A replica whose disk is lost, and what to do once its successor votes."""

    replica: str
    address: str
    is_done: Callable[[], bool]
    when_done: Callable[[], None]


class Replacements:
    """The replicas that wait for their replacement, the oldest first."""

    def __init__(self) -> None:
        """Begin without any."""
        self.done = 0
        self._waiting: deque[Replacement] = deque()

    def __len__(self) -> int:
        """Count those not yet finished."""
        return len(self._waiting)

    def add(self, replacement: Replacement) -> None:
        """Have one more replica replaced."""
        self._waiting.append(replacement)

    @property
    def next(self) -> Replacement | None:
        """The one to work on."""
        return self._waiting[0] if self._waiting else None

    def finish(self) -> None:
        """The one worked on is a voter."""
        finished = self._waiting.popleft()
        self.done += 1
        finished.when_done()


class AdministratorCore:
    """Works through the replacements, as a step function."""

    def __init__(self, replicas: tuple[str, ...], replacements: Replacements) -> None:
        """Ask the replicas at these addresses."""
        self._replicas = replicas
        self._replacements = replacements
        self._numbers = LinkNumbers()
        self._link: events.LinkId | None = None
        self._asked = 0
        self._leader = ""
        self._action = ACTION_REMOVE

    def step(self, event: events.Event, now: float) -> list[Command]:
        """Take one event."""
        del now
        match event:
            case events.Started():
                return [SetTimer(LOOK_TIMER, LOOK_SECONDS)]
            case events.TimerFired(timer=timer) if timer == LOOK_TIMER:
                return self._look()
            case events.TimerFired():
                return self._leave()
            case events.LinkOpened(link=link) if link == self._link:
                return self._ask()
            case events.LinkClosed(link=link) if link == self._link:
                self._link = None
                return []
            case events.MessageReceived(link=link) if link == self._link:
                return self._message(event)
            case _:
                return []

    def _look(self) -> list[Command]:
        again = SetTimer(LOOK_TIMER, LOOK_SECONDS)
        if self._link is not None or not self._replacements:
            return [again]
        self._link = self._numbers.take()
        address = self._leader or self._replicas[self._asked % len(self._replicas)]
        self._asked += 1
        self._leader = ""
        opening = OpenLink(self._link, address)
        return [opening, SetTimer(ANSWER_TIMER, ANSWER_SECONDS), again]

    def _ask(self) -> list[Command]:
        wanted = self._replacements.next
        assert wanted is not None and self._link is not None
        change = MembershipChange(self._action, wanted.replica, wanted.address)
        return [SendMessage(self._link, change), SetTimer(ANSWER_TIMER, ANSWER_SECONDS)]

    def _message(self, event: events.MessageReceived) -> list[Command]:
        match event.message:
            case MembershipAnswered(problem=problem):
                return self._answered(problem)
            case NotLeader(leader=leader):
                self._leader = leader
                return self._leave()
            case _:
                return self._leave()

    def _answered(self, problem: str) -> list[Command]:
        is_removed = not problem or problem.endswith(NO_MEMBER)
        is_added = not problem or problem.endswith(MEMBER_ALREADY)
        if self._action == ACTION_REMOVE and is_removed:
            self._action = ACTION_ADD
            return self._ask()
        if self._action == ACTION_ADD and is_added:
            self._finish_if_voter()
        return self._leave()

    def _finish_if_voter(self) -> None:
        """A member may still be a learner: then ask again later."""
        wanted = self._replacements.next
        assert wanted is not None
        if wanted.is_done():
            self._action = ACTION_REMOVE
            self._replacements.finish()

    def _leave(self) -> list[Command]:
        if self._link is None:
            return []
        link = self._link
        self._link = None
        return [CloseLink(link, "asked elsewhere")]
