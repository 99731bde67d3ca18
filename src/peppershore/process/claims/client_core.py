"""A node's side of the claims group: asks for claims, follows the leader.

Takes wants from the data plane and messages from the group; gives finished
wants.  A want is answered once: granted, taken, or unavailable.  After
"unavailable" the call must not be sent, and the attempt is released in case the
group recorded it.
"""

from __future__ import annotations

import itertools

import msgspec

from peppershore.connection.messages import (
    ClaimCompleted,
    ClaimGranted,
    ClaimNoted,
    ClaimRefused,
    ClaimReleased,
    ClaimRequest,
    ClaimTaken,
    KeptAnswer,
    Message,
)
from peppershore.process import commands, events

STALL_SECONDS = 0.4
RECONNECT_SECONDS = 0.05
NOTE_ATTEMPTS = 5
MAX_PENDING = 10_000

STALL_TIMER = "claims-stall"
RECONNECT_TIMER = "claims-reconnect"

FIRST_LINK = 1
LINK_STEP = 2

REASON_NOT_LEADER = "not leader"
REASON_NO_QUORUM = "no quorum"


class ClaimWanted(events.Event, frozen=True):
    """The data plane wants the claim on ``key`` before ``deadline`` (core time)."""

    request: int
    key: str
    attempt: str
    deadline: float


class CompletionWanted(events.Event, frozen=True):
    """The attempt finished; keep its answer if it is given."""

    request: int
    key: str
    attempt: str
    answer: KeptAnswer | None


class ReleaseWanted(events.Event, frozen=True):
    """The attempt provably did not run."""

    request: int
    key: str
    attempt: str


class WantGranted(msgspec.Struct, frozen=True):
    """The attempt may run the call, once."""


class WantTaken(msgspec.Struct, frozen=True):
    """Another attempt holds the claim; its answer where kept."""

    answer: KeptAnswer | None


class WantUnavailable(msgspec.Struct, frozen=True):
    """No claim could be recorded in time; the call must not be sent."""

    reason: str


WantOutcome = WantGranted | WantTaken | WantUnavailable


class FinishWant(commands.Command, frozen=True):
    """Hand the outcome of a ``ClaimWanted`` to the data plane."""

    request: int
    outcome: WantOutcome


class ClaimsLinkLost(commands.Notice, frozen=True):
    """The link to a claims replica was given up; another is tried."""

    address: str
    reason: str
    pending: int


class _Pending(msgspec.Struct):
    """A message not yet answered.  ``deadline`` None marks a note (no want)."""

    message: Message
    deadline: float | None
    sends_left: int


class ClaimClientCore:
    """Keeps one link to the group's leader and every unanswered message."""

    def __init__(self, addresses: tuple[str, ...]) -> None:
        """Know the replicas' addresses ("IP:port")."""
        assert addresses, "a claims client needs at least one replica"
        self._addresses = addresses
        self._target = 0
        self._links = itertools.count(FIRST_LINK, LINK_STEP)
        self._link: events.LinkId | None = None
        self._link_ready = False
        self._last_progress = 0.0
        self._pending: dict[int, _Pending] = {}

    @property
    def pending(self) -> int:
        """Messages not yet answered."""
        return len(self._pending)

    def step(self, event: events.Event, now: float) -> list[commands.Command]:
        """Take one event; give what to do."""
        match event:
            case ClaimWanted():
                return self._want(event, now)
            case CompletionWanted():
                note = ClaimCompleted(event.request, event.key, event.attempt, event.answer)
                return self._add(event.request, _Pending(note, None, NOTE_ATTEMPTS), now)
            case ReleaseWanted():
                release = ClaimReleased(event.request, event.key, event.attempt)
                return self._add(event.request, _Pending(release, None, NOTE_ATTEMPTS), now)
            case events.LinkOpened():
                return self._opened(event, now)
            case events.LinkClosed():
                return self._closed(event)
            case events.MessageReceived():
                return self._received(event, now)
            case events.TimerFired(timer=timer) if timer == STALL_TIMER:
                return self._check_stall(now)
            case events.TimerFired(timer=timer) if timer == RECONNECT_TIMER:
                return self._connect()
            case _:
                return []

    def _want(self, want: ClaimWanted, now: float) -> list[commands.Command]:
        if len(self._pending) >= MAX_PENDING:
            return [FinishWant(want.request, WantUnavailable("too many claims pending"))]
        message = ClaimRequest(want.request, want.key, want.attempt)
        return self._add(want.request, _Pending(message, want.deadline, 0), now)

    def _add(self, request: int, entry: _Pending, now: float) -> list[commands.Command]:
        was_idle = not self._pending
        self._pending[request] = entry
        if was_idle:
            self._last_progress = now
        result = self._transmit(entry)
        if was_idle:
            result.append(commands.SetTimer(STALL_TIMER, STALL_SECONDS / 4))
        if self._link is None:
            result += self._connect()
        return result

    def _transmit(self, entry: _Pending) -> list[commands.Command]:
        if self._link is None or not self._link_ready:
            return []
        return [commands.SendMessage(self._link, entry.message)]

    def _connect(self) -> list[commands.Command]:
        if self._link is not None:
            return []
        self._link = next(self._links)
        self._link_ready = False
        return [commands.OpenLink(self._link, self._addresses[self._target])]

    def _opened(self, event: events.LinkOpened, now: float) -> list[commands.Command]:
        if event.link != self._link:
            return []
        self._link_ready = True
        self._last_progress = now
        result: list[commands.Command] = []
        for request in list(self._pending):
            result += self._send_again(request)
        return result

    def _send_again(self, request: int) -> list[commands.Command]:
        entry = self._pending[request]
        if entry.deadline is None:
            if entry.sends_left == 0:
                del self._pending[request]
                return []
            entry.sends_left -= 1
        return self._transmit(entry)

    def _closed(self, event: events.LinkClosed) -> list[commands.Command]:
        if event.link != self._link:
            return []
        return self._leave(event.reason, self._next_target())

    def _leave(self, reason: str, target: int) -> list[commands.Command]:
        """Give up the link and try ``target`` after a short pause."""
        notice = ClaimsLinkLost(self._addresses[self._target], reason, len(self._pending))
        self._link = None
        self._link_ready = False
        self._target = target
        return [
            commands.Report(notice),
            commands.SetTimer(RECONNECT_TIMER, RECONNECT_SECONDS),
        ]

    def _next_target(self) -> int:
        return (self._target + 1) % len(self._addresses)

    def _received(
        self, event: events.MessageReceived, now: float
    ) -> list[commands.Command]:
        if event.link != self._link:
            return []
        self._last_progress = now
        match event.message:
            case ClaimGranted(request=request):
                return self._finish(request, WantGranted())
            case ClaimTaken(request=request, answer=answer):
                return self._finish(request, WantTaken(answer))
            case ClaimNoted(request=request):
                self._pending.pop(request, None)
                return []
            case ClaimRefused() as refused:
                return self._refused(refused)
            case _:
                return []

    def _finish(self, request: int, outcome: WantOutcome) -> list[commands.Command]:
        entry = self._pending.get(request)
        if entry is None or entry.deadline is None:
            return []  # a late answer to a want that was given up: its release stays
        del self._pending[request]
        return [FinishWant(request, outcome)]

    def _refused(self, refused: ClaimRefused) -> list[commands.Command]:
        if refused.reason in (REASON_NOT_LEADER, REASON_NO_QUORUM):
            link = self._link
            assert link is not None
            closing: list[commands.Command] = [commands.CloseLink(link, refused.reason)]
            return closing + self._leave(refused.reason, self._target_of(refused.leader))
        return self._finish(refused.request, WantUnavailable(refused.reason))

    def _target_of(self, leader: str) -> int:
        if leader in self._addresses:
            return self._addresses.index(leader)
        return self._next_target()

    def _check_stall(self, now: float) -> list[commands.Command]:
        """Expire wants past their deadline; leave a replica that went silent."""
        result = self._expire(now)
        if not self._pending:
            return result
        result.append(commands.SetTimer(STALL_TIMER, STALL_SECONDS / 4))
        if self._link is not None and now - self._last_progress >= STALL_SECONDS:
            result.append(commands.CloseLink(self._link, "stalled"))
            result += self._leave("stalled", self._next_target())
        return result

    def _expire(self, now: float) -> list[commands.Command]:
        result: list[commands.Command] = []
        for request, entry in list(self._pending.items()):
            if entry.deadline is not None and now >= entry.deadline:
                result += self._give_up(request, entry)
        return result

    def _give_up(self, request: int, entry: _Pending) -> list[commands.Command]:
        asked = entry.message
        assert isinstance(asked, ClaimRequest)
        release = ClaimReleased(request, asked.key, asked.attempt)
        replacement = _Pending(release, None, NOTE_ATTEMPTS)
        self._pending[request] = replacement
        finish = FinishWant(request, WantUnavailable("no claim before the deadline"))
        return [finish, *self._transmit(replacement)]
