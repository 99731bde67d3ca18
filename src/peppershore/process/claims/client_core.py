"""A node's side of a claims group: asks for claims, follows the leader.

Takes wants from the data plane and messages from the group; gives finished
wants.  A want is answered once: granted, taken, or unavailable.  After
"unavailable" the call must not be sent, and the attempt is released in case the
group recorded it.

A group that answers nothing for longer than a change of leader takes is
unavailable: all wants are refused at once, later ones too, while probes find
out when it answers again.
"""

from __future__ import annotations

import itertools

import msgspec

from peppershore.connection.messages.claims import (
    ClaimCompleted,
    ClaimGranted,
    ClaimNoted,
    ClaimRefused,
    ClaimReleased,
    ClaimRequest,
    ClaimTaken,
)
from peppershore.process import commands, events
from peppershore.process.claims.pending import Pending, PendingTable
from peppershore.process.claims.replica_choice import ReplicaChoice
from peppershore.process.claims.wants import (
    ClaimsGroupAvailable,
    ClaimsGroupUnavailable,
    ClaimsLinkLost,
    ClaimWanted,
    CompletionWanted,
    FinishWant,
    ReleaseWanted,
    WantGranted,
    WantOutcome,
    WantTaken,
    WantUnavailable,
)
from peppershore.process.randomness import Randomness

STALL_SECONDS = 0.4
TICK_SECONDS = 0.1
NOTE_RESEND_SECONDS = 1.0
PATIENCE_SECONDS = 1.5
"""Silence of the whole group after which it is unavailable; a change of leader
takes less with the default times."""

STALL_TIMER = "claims-stall"
RECONNECT_TIMER = "claims-reconnect"

FIRST_LINK = 1
LINK_STEP = 2
FIRST_PROBE = -1
PROBE_STEP = -1
PROBE_KEY = ""

REASON_NOT_LEADER = "not leader"
REASON_NO_QUORUM = "no quorum"
REASON_FULL = "full"
REASON_UNAVAILABLE = "claims group unavailable"


class ClaimCounts(msgspec.Struct):
    """Ends of wants since the start."""

    granted: int = 0
    taken: int = 0
    unavailable: int = 0
    full: int = 0


class ClaimClientCore:
    """Keeps one link to the group's leader and every unanswered message."""

    def __init__(self, addresses: tuple[str, ...], seed: int = 0) -> None:
        """Know the replicas' addresses ("IP:port"); ``seed`` spreads the waits."""
        self.counts = ClaimCounts()
        self.table = PendingTable()
        self._choice = ReplicaChoice(addresses, Randomness(seed))
        self._links = itertools.count(FIRST_LINK, LINK_STEP)
        self._probes = itertools.count(FIRST_PROBE, PROBE_STEP)
        self._link: events.LinkId | None = None
        self._link_ready = False
        self._link_heard_at = 0.0
        self._group_heard_at = 0.0
        self._unavailable_since: float | None = None
        self._ticking = False
        self._tick_due = 0.0

    @property
    def pending(self) -> int:
        """Messages not yet answered."""
        return len(self.table)

    @property
    def unavailable(self) -> bool:
        """Whether wants are refused at once."""
        return self._unavailable_since is not None

    def step(self, event: events.Event, now: float) -> list[commands.Command]:
        """Take one event; give what to do."""
        match event:
            case ClaimWanted():
                return self._want(event, now)
            case CompletionWanted():
                completed = ClaimCompleted(
                    event.request, event.key, event.attempt, event.answer
                )
                return self._note(completed, now)
            case ReleaseWanted():
                released = ClaimReleased(event.request, event.key, event.attempt)
                return self._note(released, now)
            case events.LinkOpened():
                return self._opened(event, now)
            case events.LinkClosed():
                return self._closed(event, now)
            case events.MessageReceived():
                return self._received(event, now)
            case events.TimerFired(timer=timer) if timer == STALL_TIMER:
                return self._tick(now)
            case events.TimerFired(timer=timer) if timer == RECONNECT_TIMER:
                return self._connect(now)
            case _:
                return []

    # --- what the data plane asks --------------------------------------------

    def _want(self, want: ClaimWanted, now: float) -> list[commands.Command]:
        if self.unavailable:
            return [self._finish(want.request, WantUnavailable(REASON_UNAVAILABLE))]
        if self.table.wants_full:
            refusal = WantUnavailable("too many claims pending")
            return [self._finish(want.request, refusal)]
        message = ClaimRequest(want.request, want.key, want.attempt)
        self._begin_waiting(now)
        return self._ask(self.table.add_want(message, want.deadline, now), now)

    def _note(
        self, note: ClaimCompleted | ClaimReleased, now: float
    ) -> list[commands.Command]:
        self._begin_waiting(now)
        return self._ask(self.table.add_note(note, now), now)

    def _begin_waiting(self, now: float) -> None:
        """Measure silence from the first message that waits for an answer."""
        if not self.table:
            self._link_heard_at = now
            self._group_heard_at = now

    def _ask(self, entry: Pending, now: float) -> list[commands.Command]:
        result = self._transmit(entry, now)
        result += self._keep_ticking(now)
        if self._link is None:
            result += self._connect(now)
        return result

    def _finish(self, request: int, outcome: WantOutcome) -> commands.Command:
        if isinstance(outcome, WantGranted):
            self.counts.granted += 1
        elif isinstance(outcome, WantTaken):
            self.counts.taken += 1
        elif outcome.reason == REASON_FULL:
            self.counts.full += 1
        else:
            self.counts.unavailable += 1
        return FinishWant(request, outcome)

    # --- links ---------------------------------------------------------------

    def _transmit(self, entry: Pending, now: float) -> list[commands.Command]:
        if self._link is None or not self._link_ready:
            return []
        entry.sent_at = now
        entry.sends += 1
        return [commands.SendMessage(self._link, entry.message)]

    def _connect(self, now: float) -> list[commands.Command]:
        if self._link is not None:
            return []
        wait = self._choice.wait_seconds(now)
        if wait > 0.0:
            return [commands.SetTimer(RECONNECT_TIMER, wait)]
        self._link = next(self._links)
        self._link_ready = False
        self._link_heard_at = now
        return [commands.OpenLink(self._link, self._choice.address)]

    def _opened(self, event: events.LinkOpened, now: float) -> list[commands.Command]:
        if event.link != self._link:
            return []
        self._link_ready = True
        self._link_heard_at = now
        result: list[commands.Command] = []
        if self.unavailable and not self.table:
            probe = ClaimReleased(next(self._probes), PROBE_KEY, PROBE_KEY)
            self.table.add_note(probe, now)
            result += self._keep_ticking(now)
        for request in self.table.requests():
            entry = self.table.get(request)
            assert entry is not None
            result += self._transmit(entry, now)
        return result

    def _closed(self, event: events.LinkClosed, now: float) -> list[commands.Command]:
        if event.link != self._link:
            return []
        return self._fail_over(event.reason, now)

    def _fail_over(self, reason: str, now: float) -> list[commands.Command]:
        """The replica in use failed: back off from it and try another."""
        lost = self._choice.address
        self._choice.failed(now)
        result = self._leave(lost, reason, now)
        if self._choice.all_failing(now):
            result += self._give_up_on_group("no replica can be reached", now)
        return result

    def _leave(self, address: str, reason: str, now: float) -> list[commands.Command]:
        self._link = None
        self._link_ready = False
        wait = max(self._choice.pause_seconds, self._choice.wait_seconds(now))
        retry = commands.SetTimer(RECONNECT_TIMER, wait)
        if self._choice.looking_for_leader:
            return [retry]
        notice = ClaimsLinkLost(address, reason, len(self.table))
        return [commands.Report(notice), retry]

    # --- answers -------------------------------------------------------------

    def _received(
        self, event: events.MessageReceived, now: float
    ) -> list[commands.Command]:
        if event.link != self._link:
            return []
        self._link_heard_at = now
        self._choice.answered()
        match event.message:
            case ClaimGranted(request=request, horizon_seconds=horizon):
                return self._answered(request, WantGranted(horizon), now)
            case ClaimTaken(request=request, answer=answer):
                return self._answered(request, WantTaken(answer), now)
            case ClaimNoted(request=request):
                result = self._group_answered(now)
                entry = self.table.get(request)
                if entry is not None and not entry.is_want:
                    self.table.pop(request)
                return result
            case ClaimRefused() as refused:
                return self._refused(refused, now)
            case _:
                return []

    def _answered(
        self, request: int, outcome: WantOutcome, now: float
    ) -> list[commands.Command]:
        result = self._group_answered(now)
        entry = self.table.get(request)
        if entry is None or not entry.is_want:
            return result  # a late answer to a want given up: its release stays
        self.table.pop(request)
        return [*result, self._finish(request, outcome)]

    def _group_answered(self, now: float) -> list[commands.Command]:
        """A quorum works: it committed what it answers about."""
        self._group_heard_at = now
        self._choice.group_answered()
        since = self._unavailable_since
        if since is None:
            return []
        self._unavailable_since = None
        return [commands.Report(ClaimsGroupAvailable(round(now - since, 3)))]

    def _refused(self, refused: ClaimRefused, now: float) -> list[commands.Command]:
        if refused.reason in (REASON_NOT_LEADER, REASON_NO_QUORUM):
            link = self._link
            assert link is not None
            left = self._choice.address
            self._choice.redirected(refused.leader, now)
            closing = commands.CloseLink(link, refused.reason)
            return [closing, *self._leave(left, refused.reason, now)]
        entry = self.table.get(refused.request)
        if entry is None or not entry.is_want:
            return []  # a note is sent again by the tick
        outcome = WantUnavailable(refused.reason)
        return self._give_up(refused.request, entry, outcome, now)

    # --- time ----------------------------------------------------------------

    def _keep_ticking(self, now: float) -> list[commands.Command]:
        if self._ticking:
            return []
        self._ticking = True
        self._tick_due = now + TICK_SECONDS
        return [commands.SetTimer(STALL_TIMER, TICK_SECONDS)]

    def _tick(self, now: float) -> list[commands.Command]:
        """Expire wants; leave a silent replica; judge whether the group answers."""
        self._ticking = False
        if now - self._tick_due >= STALL_SECONDS:
            self._excuse_silence(now)
        result = self._expire(now)
        self.table.drop_old_notes(now)
        if not self.table and not self.unavailable:
            return result
        result += self._keep_ticking(now)
        if self._link is not None and now - self._link_heard_at >= STALL_SECONDS:
            result.append(commands.CloseLink(self._link, "stalled"))
            result += self._fail_over("stalled", now)
        if self.table and now - self._group_heard_at >= PATIENCE_SECONDS:
            result += self._give_up_on_group("no answer from a quorum", now)
        return result + self._send_notes_again(now)

    def _excuse_silence(self, now: float) -> None:
        """This node itself was frozen: what came meanwhile is still to be read."""
        self._link_heard_at = now
        self._group_heard_at = now

    def _expire(self, now: float) -> list[commands.Command]:
        result: list[commands.Command] = []
        outcome = WantUnavailable("no claim before the deadline")
        for request in self.table.requests():
            entry = self.table.get(request)
            assert entry is not None
            if entry.deadline is not None and now >= entry.deadline:
                result += self._give_up(request, entry, outcome, now)
        return result

    def _give_up_on_group(self, reason: str, now: float) -> list[commands.Command]:
        """Refuse every call that waits, and those to come, until a quorum answers."""
        result: list[commands.Command] = []
        wants = self.table.wants
        for request in self.table.requests():
            entry = self.table.get(request)
            if entry is not None and entry.is_want:
                outcome = WantUnavailable(REASON_UNAVAILABLE)
                result += self._give_up(request, entry, outcome, now)
        if not self.unavailable:
            self._unavailable_since = now
            result.append(commands.Report(ClaimsGroupUnavailable(reason, wants)))
            result += self._keep_ticking(now)
        return result

    def _give_up(
        self, request: int, entry: Pending, outcome: WantUnavailable, now: float
    ) -> list[commands.Command]:
        """Finish a want as unavailable; release it if the group may have recorded it."""
        self.table.pop(request)
        finish = self._finish(request, outcome)
        if entry.sends == 0 or outcome.reason == REASON_FULL:
            return [finish]
        asked = entry.message
        release = ClaimReleased(request, asked.key, asked.attempt)
        return [finish, *self._transmit(self.table.add_note(release, now), now)]

    def _send_notes_again(self, now: float) -> list[commands.Command]:
        """Send again what a busy replica refused; the group takes it once."""
        result: list[commands.Command] = []
        for request in self.table.requests():
            entry = self.table.get(request)
            assert entry is not None
            if not entry.is_want and now - entry.sent_at >= NOTE_RESEND_SECONDS:
                result += self._transmit(entry, now)
        return result
