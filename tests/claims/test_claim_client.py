"""Unit tests of the claims client: sequences of events, and the expected commands."""

from peppershore.connection.messages.claims import (
    ClaimCompleted,
    ClaimGranted,
    ClaimNoted,
    ClaimRefused,
    ClaimReleased,
    ClaimRequest,
    ClaimTaken,
    KeptAnswer,
)
from peppershore.process.claims.client_core import (
    REASON_NOT_LEADER,
    STALL_SECONDS,
    STALL_TIMER,
    ClaimClientCore,
)
from peppershore.process.claims.pending import (
    MAX_NOTE_BYTES,
    NOTE_SECONDS,
)
from peppershore.process.claims.replica_choice import BACKOFF_CEILING_SECONDS
from peppershore.process.claims.wants import (
    ClaimWanted,
    CompletionWanted,
    FinishWant,
    WantGranted,
    WantTaken,
    WantUnavailable,
)
from peppershore.process.commands import (
    CloseLink,
    OpenLink,
    Report,
    SendMessage,
    SetTimer,
)
from peppershore.process.events import LinkClosed, LinkOpened, MessageReceived, TimerFired

REPLICAS = ("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
WANT = ClaimWanted(1, "pay-0001", "node-1/1", deadline=2.0)
REQUEST = ClaimRequest(1, "pay-0001", "node-1/1")


def opened_client():
    core = ClaimClientCore(REPLICAS)
    assert OpenLink(1, REPLICAS[0]) in core.step(WANT, 0.0)
    assert core.step(LinkOpened(1, REPLICAS[0]), 0.0) == [SendMessage(1, REQUEST)]
    return core


def reconnect(core, now):
    (opening,) = core.step(TimerFired("claims-reconnect"), now)
    return opening


def test_a_want_is_sent_when_the_link_opens_and_finished_once():
    core = opened_client()
    granted = MessageReceived(1, ClaimGranted(1))
    assert core.step(granted, 0.1) == [FinishWant(1, WantGranted())]
    assert core.step(granted, 0.1) == []
    assert core.pending == 0


def test_a_taken_claim_is_reported():
    core = opened_client()
    taken = MessageReceived(1, ClaimTaken(1, None))
    assert core.step(taken, 0.1) == [FinishWant(1, WantTaken(None))]


def test_a_replica_that_does_not_lead_names_the_leader_and_the_want_goes_there():
    core = opened_client()
    refused = ClaimRefused(1, REASON_NOT_LEADER, REPLICAS[2])
    assert CloseLink(1, REASON_NOT_LEADER) in core.step(MessageReceived(1, refused), 0.1)
    assert reconnect(core, 0.2) == OpenLink(3, REPLICAS[2])
    assert core.step(LinkOpened(3, REPLICAS[2]), 0.2) == [SendMessage(3, REQUEST)]


def test_a_silent_replica_is_left_and_the_same_attempt_is_sent_to_the_next():
    core = opened_client()
    commands = core.step(TimerFired(STALL_TIMER), STALL_SECONDS)
    assert CloseLink(1, "stalled") in commands
    assert reconnect(core, 0.5) == OpenLink(3, REPLICAS[1])
    assert core.step(LinkOpened(3, REPLICAS[1]), 0.6) == [SendMessage(3, REQUEST)]


def test_past_the_deadline_the_want_is_unavailable_and_the_attempt_released():
    core = opened_client()
    core.step(MessageReceived(1, ClaimNoted(99)), 1.9)  # the link itself works
    commands = core.step(TimerFired(STALL_TIMER), 2.0)
    finished = [command for command in commands if isinstance(command, FinishWant)]
    assert [type(command.outcome) for command in finished] == [WantUnavailable]
    release = SendMessage(1, ClaimReleased(1, "pay-0001", "node-1/1"))
    assert release in commands
    late = MessageReceived(1, ClaimGranted(1))
    assert core.step(late, 2.1) == [], "a late grant must not let the call run"
    assert core.pending == 1, "the release stays until it is on disk"
    core.step(MessageReceived(1, ClaimNoted(1)), 2.2)
    assert core.pending == 0


def lose_link_and_reconnect(core, link, now):
    """Break the link and wait for the reconnect; return the new link and the time."""
    core.step(LinkClosed(link, "reset"), now)
    while True:
        now += BACKOFF_CEILING_SECONDS
        opening = core.step(TimerFired("claims-reconnect"), now)
        if isinstance(opening[0], OpenLink):
            return opening[0].link, now


def test_a_completion_is_sent_on_every_new_link_until_it_is_too_old():
    core = ClaimClientCore(REPLICAS)
    core.step(CompletionWanted(7, "pay-0001", "node-1/1", None), 0.0)
    note = ClaimCompleted(7, "pay-0001", "node-1/1", None)
    link, now, sent = 1, 0.0, 0
    while now < NOTE_SECONDS:
        sent += SendMessage(link, note) in core.step(LinkOpened(link, ""), now)
        link, now = lose_link_and_reconnect(core, link, now)
    assert sent == NOTE_SECONDS / BACKOFF_CEILING_SECONDS
    core.step(TimerFired(STALL_TIMER), NOTE_SECONDS)
    assert core.pending == 0
    assert core.table.notes_dropped == 1


def test_answers_waiting_for_the_group_are_bounded_in_bytes():
    core = ClaimClientCore(REPLICAS)
    answer = KeptAnswer(200, (), b"x" * (MAX_NOTE_BYTES // 2))
    for request in (1, 2, 3):
        core.step(CompletionWanted(request, "pay-0001", "node-1/1", answer), 0.0)
    sent = core.step(LinkOpened(1, ""), 0.0)
    kept = [each.message.answer for each in sent if isinstance(each, SendMessage)]
    assert kept == [answer, answer, None]
    assert core.table.answers_dropped == 1


def test_a_hint_at_a_replica_that_just_failed_is_not_followed():
    core = opened_client()
    core.step(LinkClosed(1, "reset"), 0.1)  # the first replica crashed
    assert reconnect(core, 0.2) == OpenLink(3, REPLICAS[1])
    core.step(LinkOpened(3, REPLICAS[1]), 0.2)
    hint = ClaimRefused(1, REASON_NOT_LEADER, REPLICAS[0])
    core.step(MessageReceived(3, hint), 0.2)  # a follower still names the crashed one
    assert reconnect(core, 0.25) == OpenLink(5, REPLICAS[2])


def test_a_replica_that_keeps_failing_is_tried_less_and_less_often():
    core = ClaimClientCore(REPLICAS[:1], seed=3)
    core.step(CompletionWanted(7, "pay-0001", "node-1/1", None), 0.0)
    now, opened = 0.0, 1
    link = 1
    core.step(LinkClosed(link, "refused"), now)
    while now < 20.0:
        now += 0.05
        for command in core.step(TimerFired("claims-reconnect"), now):
            if isinstance(command, OpenLink):
                opened += 1
                core.step(LinkClosed(command.link, "refused"), now)
    assert 10 <= opened <= 60, "not each 50 ms, and not never"


def test_a_busy_replica_refuses_the_want_and_the_note_is_sent_again():
    core = opened_client()
    busy = MessageReceived(1, ClaimRefused(1, "busy", ""))
    commands = core.step(busy, 0.1)
    assert FinishWant(1, WantUnavailable("busy")) in commands
    release = SendMessage(1, ClaimReleased(1, "pay-0001", "node-1/1"))
    assert release in commands, "an earlier send may have been recorded"
    assert core.step(busy, 0.2) == []
    core.step(MessageReceived(1, ClaimNoted(99)), 1.1)
    assert release in core.step(TimerFired(STALL_TIMER), 1.2)
    core.step(MessageReceived(1, ClaimNoted(1)), 1.3)
    assert core.pending == 0


def test_a_group_without_leader_is_asked_less_and_less_often_and_logged_once():
    core = opened_client()
    now, link, asked, reports = 0.1, 1, 0, 0
    while now < 1.4:
        refused = MessageReceived(link, ClaimRefused(1, REASON_NOT_LEADER, ""))
        commands = core.step(refused, now)
        reports += sum(isinstance(command, Report) for command in commands)
        (wait,) = [each for each in commands if isinstance(each, SetTimer)]
        now += wait.delay_seconds
        (opening,) = core.step(TimerFired("claims-reconnect"), now)
        link = opening.link
        core.step(LinkOpened(link, ""), now)
        asked += 1
    assert 6 <= asked <= 12, "three rounds at least, none of them in a hurry"
    assert reports == 1


def test_a_suspended_node_does_not_find_the_group_unavailable():
    core = opened_client()
    core.step(TimerFired(STALL_TIMER), 0.1)
    commands = core.step(TimerFired(STALL_TIMER), 1.9)  # suspended for 1.8 s
    assert not core.unavailable
    assert not any(isinstance(command, CloseLink) for command in commands)
    granted = MessageReceived(1, ClaimGranted(1))  # received while it was suspended
    assert core.step(granted, 1.9) == [FinishWant(1, WantGranted())]
