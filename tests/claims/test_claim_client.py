"""Playbooks of the claims client: events in, commands out."""

from peppershore.connection.messages import (
    ClaimCompleted,
    ClaimGranted,
    ClaimNoted,
    ClaimRefused,
    ClaimReleased,
    ClaimRequest,
    ClaimTaken,
)
from peppershore.process.claims.client_core import (
    REASON_NOT_LEADER,
    STALL_SECONDS,
    STALL_TIMER,
    ClaimClientCore,
    ClaimWanted,
    CompletionWanted,
    FinishWant,
    WantGranted,
    WantTaken,
    WantUnavailable,
)
from peppershore.process.commands import CloseLink, OpenLink, SendMessage
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


def test_a_taken_claim_is_told():
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
    core.step(MessageReceived(1, ClaimNoted(99)), 1.9)  # the link itself is alive
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


def test_a_completion_is_sent_again_on_a_new_link_and_dropped_after_its_tries():
    core = ClaimClientCore(REPLICAS)
    core.step(CompletionWanted(7, "pay-0001", "node-1/1", None), 0.0)
    note = ClaimCompleted(7, "pay-0001", "node-1/1", None)
    link = 1
    sent = 0
    for _ in range(10):
        sent += SendMessage(link, note) in core.step(LinkOpened(link, ""), 0.0)
        core.step(LinkClosed(link, "reset"), 0.0)
        opening = core.step(TimerFired("claims-reconnect"), 0.0)
        link = opening[0].link
    assert sent == 5
    assert core.pending == 0
