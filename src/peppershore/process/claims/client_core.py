"""Client of a claims group at a node: requests claims and follows the group's leader.

The core receives claim requests ("wants") of the data plane and messages of the group.
Each want is answered once: granted, taken, or unavailable. After "unavailable" the call
must not be sent, and the attempt is released in case the group recorded its claim.

A group that does not answer for longer than a leader election takes is unavailable: all
waiting and new wants are refused at once, while the client sends probes to find out when
the group answers again.
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
GROUP_TIMEOUT_SECONDS = 1.5
"""Time without an answer confirmed by a quorum after which the group is unavailable. An
election of a leader takes less with the default settings."""

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
    """Number of answered claim requests by outcome since the process started."""

    granted: int = 0
    taken: int = 0
    unavailable: int = 0
    full: int = 0


class ClaimClientCore:
    """Holds one link to the group's leader, and every unanswered message."""

    def __init__(self, addresses: tuple[str, ...], seed: int = 0) -> None:
        """Store the replicas' addresses ("IP:port"); ``seed`` randomizes the back-off."""
        self.counts = ClaimCounts()
        self.table = PendingTable()
        self._choice = ReplicaChoice(addresses, Randomness(seed))
        self._links = itertools.count(FIRST_LINK, LINK_STEP)
        self._probes = itertools.count(FIRST_PROBE, PROBE_STEP)
        self._link: events.LinkId | None = None
        self._link_ready = False
        self._link_received_at = 0.0
        self._group_answered_at = 0.0
        self._unavailable_since: float | None = None
        self._timer_set = False
        self._timer_due_at = 0.0

    @property
    def pending(self) -> int:
        """Number of messages not yet answered."""
        return len(self.table)

    @property
    def unavailable(self) -> bool:
        """Whether the group is unavailable, so that claim requests are refused at once."""
        return self._unavailable_since is not None

    def step(self, event: events.Event, now: float) -> list[commands.Command]:
        """Handle one event; return the commands to run."""
        match event:
            case ClaimWanted():
                return self._add_want(event, now)
            case CompletionWanted():
                completed = ClaimCompleted(
                    event.request, event.key, event.attempt, event.answer
                )
                return self._add_note(completed, now)
            case ReleaseWanted():
                released = ClaimReleased(event.request, event.key, event.attempt)
                return self._add_note(released, now)
            case events.LinkOpened():
                return self._opened(event, now)
            case events.LinkClosed():
                return self._closed(event, now)
            case events.MessageReceived():
                return self._received(event, now)
            case events.TimerFired(timer=timer) if timer == STALL_TIMER:
                return self._check_timeouts(now)
            case events.TimerFired(timer=timer) if timer == RECONNECT_TIMER:
                return self._connect(now)
            case _:
                return []

    # --- requests of the data plane ------------------------------------------

    def _add_want(self, want: ClaimWanted, now: float) -> list[commands.Command]:
        if self.unavailable:
            return [self._finish(want.request, WantUnavailable(REASON_UNAVAILABLE))]
        if self.table.wants_full:
            refusal = WantUnavailable("too many claims pending")
            return [self._finish(want.request, refusal)]
        message = ClaimRequest(want.request, want.key, want.attempt)
        self._restart_timeouts_if_idle(now)
        return self._send_or_connect(self.table.add_want(message, want.deadline, now), now)

    def _add_note(
        self, note: ClaimCompleted | ClaimReleased, now: float
    ) -> list[commands.Command]:
        self._restart_timeouts_if_idle(now)
        return self._send_or_connect(self.table.add_note(note, now), now)

    def _restart_timeouts_if_idle(self, now: float) -> None:
        """Restart the time-outs of a silent replica and group, if no answer was awaited."""
        if not self.table:
            self._link_received_at = now
            self._group_answered_at = now

    def _send_or_connect(self, entry: Pending, now: float) -> list[commands.Command]:
        result = self._transmit(entry, now)
        result += self._ensure_timer(now)
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
        self._link_received_at = now
        return [commands.OpenLink(self._link, self._choice.address)]

    def _opened(self, event: events.LinkOpened, now: float) -> list[commands.Command]:
        if event.link != self._link:
            return []
        self._link_ready = True
        self._link_received_at = now
        result: list[commands.Command] = []
        if self.unavailable and not self.table:
            probe = ClaimReleased(next(self._probes), PROBE_KEY, PROBE_KEY)
            self.table.add_note(probe, now)
            result += self._ensure_timer(now)
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
        """Back off from the replica in use, which failed, and try another one."""
        lost = self._choice.address
        self._choice.failed(now)
        result = self._drop_link(lost, reason, now)
        if self._choice.all_failing(now):
            result += self._mark_unavailable("no replica can be reached", now)
        return result

    def _drop_link(self, address: str, reason: str, now: float) -> list[commands.Command]:
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
        self._link_received_at = now
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
            return result  # late answer to an abandoned want: its release stays pending
        self.table.pop(request)
        return [*result, self._finish(request, outcome)]

    def _group_answered(self, now: float) -> list[commands.Command]:
        """Record that a quorum works, as the group's answer shows a committed entry."""
        self._group_answered_at = now
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
            former = self._choice.address
            self._choice.redirected(refused.leader, now)
            closing = commands.CloseLink(link, refused.reason)
            return [closing, *self._drop_link(former, refused.reason, now)]
        entry = self.table.get(refused.request)
        if entry is None or not entry.is_want:
            return []  # the periodic timer sends a completion or release again
        outcome = WantUnavailable(refused.reason)
        return self._abandon(refused.request, entry, outcome, now)

    # --- time ----------------------------------------------------------------

    def _ensure_timer(self, now: float) -> list[commands.Command]:
        if self._timer_set:
            return []
        self._timer_set = True
        self._timer_due_at = now + TICK_SECONDS
        return [commands.SetTimer(STALL_TIMER, TICK_SECONDS)]

    def _check_timeouts(self, now: float) -> list[commands.Command]:
        """Handle the periodic timer: check all time-outs, retry completions and releases.

        Expire claim requests, disconnect from a silent replica, and detect an unavailable
        group.
        """
        self._timer_set = False
        if now - self._timer_due_at >= STALL_SECONDS:
            self._restart_silence_timeouts(now)
        result = self._expire(now)
        self.table.drop_old_notes(now)
        if not self.table and not self.unavailable:
            return result
        result += self._ensure_timer(now)
        if self._link is not None and now - self._link_received_at >= STALL_SECONDS:
            result.append(commands.CloseLink(self._link, "stalled"))
            result += self._fail_over("stalled", now)
        if self.table and now - self._group_answered_at >= GROUP_TIMEOUT_SECONDS:
            result += self._mark_unavailable("no answer from a quorum", now)
        return result + self._retry_notes(now)

    def _restart_silence_timeouts(self, now: float) -> None:
        """Restart the silence time-outs after this process itself was suspended.

        Messages that arrived meanwhile are not read yet.
        """
        self._link_received_at = now
        self._group_answered_at = now

    def _expire(self, now: float) -> list[commands.Command]:
        result: list[commands.Command] = []
        outcome = WantUnavailable("no claim before the deadline")
        for request in self.table.requests():
            entry = self.table.get(request)
            assert entry is not None
            if entry.deadline is not None and now >= entry.deadline:
                result += self._abandon(request, entry, outcome, now)
        return result

    def _mark_unavailable(self, reason: str, now: float) -> list[commands.Command]:
        """Refuse all claim requests, waiting and new, until a quorum answers again."""
        result: list[commands.Command] = []
        wants = self.table.wants
        for request in self.table.requests():
            entry = self.table.get(request)
            if entry is not None and entry.is_want:
                outcome = WantUnavailable(REASON_UNAVAILABLE)
                result += self._abandon(request, entry, outcome, now)
        if not self.unavailable:
            self._unavailable_since = now
            result.append(commands.Report(ClaimsGroupUnavailable(reason, wants)))
            result += self._ensure_timer(now)
        return result

    def _abandon(
        self, request: int, entry: Pending, outcome: WantUnavailable, now: float
    ) -> list[commands.Command]:
        """Finish a claim request as unavailable; release any claim recorded for it."""
        self.table.pop(request)
        finish = self._finish(request, outcome)
        if entry.sends == 0 or outcome.reason == REASON_FULL:
            return [finish]
        request_message = entry.message
        release = ClaimReleased(request, request_message.key, request_message.attempt)
        return [finish, *self._transmit(self.table.add_note(release, now), now)]

    def _retry_notes(self, now: float) -> list[commands.Command]:
        """Send unanswered completions and releases again.

        A busy replica may have refused them. The group applies each of them only once.
        """
        result: list[commands.Command] = []
        for request in self.table.requests():
            entry = self.table.get(request)
            assert entry is not None
            if not entry.is_want and now - entry.sent_at >= NOTE_RESEND_SECONDS:
                result += self._transmit(entry, now)
        return result
