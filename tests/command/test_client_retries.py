"""The client finds the leader, resends the same bytes and reports unknown outcomes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from returns.result import Failure, Result, Success

from peppershore.command.client import ControlGroup, NoAnswer, ask
from peppershore.command.edits import EditRequest, submit_on
from peppershore.command.exit_codes import ExitCode
from peppershore.command.failures import Failed
from peppershore.connection.codec import encode_message
from peppershore.connection.link import Link, LinkListener
from peppershore.connection.messages.base import Message
from peppershore.connection.messages.operators import (
    EditAnswered,
    NotLeader,
    StatusQuery,
    SubmitEdit,
    TreeAnswered,
    TreeQuery,
)
from peppershore.connection.messages.session import Refused, RetryAfter
from peppershore.version.model import Edit, EditAccepted, EditExpired, SetZone
from peppershore.version.tree import empty_tree

EDIT = SubmitEdit(Edit("change-1", (SetZone("pasila", "uusimaa"),)))
ACCEPTED = EditAnswered(EditAccepted("change-1", 7))
Script = Callable[["ScriptedReplica", int], Message | None]


class ScriptedReplica:
    """Replica that answers the n-th request as scripted; None closes the link."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.received: list[Message] = []
        self.address = ""
        self._listener = LinkListener(self._accepted, None)

    async def start(self) -> None:
        self.address = f"127.0.0.1:{await self._listener.start('127.0.0.1', 0)}"

    async def close(self) -> None:
        await self._listener.close()

    def _accepted(self, link: Link) -> None:
        link.start(lambda message, _: self._handle_message(link, message), lambda _: None)

    def _handle_message(self, link: Link, message: Message) -> None:
        self.received.append(message)
        answer = self.script(self, len(self.received))
        if answer is not None:
            link.send(encode_message(answer))
        link.close()


def play(
    scripts: list[Script], question: Message = EDIT, seconds: float = 5.0
) -> tuple[Result[EditAnswered, NoAnswer], list[ScriptedReplica]]:
    async def run() -> tuple[Result[EditAnswered, NoAnswer], list[ScriptedReplica]]:
        replicas = [ScriptedReplica(script) for script in scripts]
        for replica in replicas:
            await replica.start()
        addresses = tuple(replica.address for replica in replicas)
        answer = await ask(ControlGroup(addresses, seconds), question, EditAnswered)
        for replica in replicas:
            await replica.close()
        return answer, replicas

    return asyncio.run(run())


def test_follows_the_leader_that_a_replica_names() -> None:
    leader: list[str] = []

    def follower(replica: ScriptedReplica, count: int) -> Message:
        return NotLeader(leader[0])

    def leads(replica: ScriptedReplica, count: int) -> Message:
        return ACCEPTED

    async def run() -> list[int]:
        first, second, third = (ScriptedReplica(s) for s in (follower, follower, leads))
        for replica in (first, second, third):
            await replica.start()
        leader.append(third.address)
        addresses = (first.address, second.address)
        answer = await ask(ControlGroup(addresses, 5.0), EDIT, EditAnswered)
        assert answer == Success(ACCEPTED)
        for replica in (first, second, third):
            await replica.close()
        return [len(replica.received) for replica in (first, second, third)]

    assert asyncio.run(run()) == [1, 0, 1]


def test_resends_the_same_edit_when_the_answer_is_lost() -> None:
    answer, (replica,) = play([lambda _, count: ACCEPTED if count == 3 else None])
    assert answer == Success(ACCEPTED)
    assert replica.received == [EDIT, EDIT, EDIT]


def test_retries_after_a_retry_after_answer() -> None:
    answer, (replica,) = play([lambda _, count: RetryAfter(30) if count == 1 else ACCEPTED])
    assert answer == Success(ACCEPTED)
    assert len(replica.received) == 2


def test_lost_answer_leaves_the_outcome_unknown() -> None:
    answer, _ = play([lambda _replica, _count: None], seconds=0.3)
    assert isinstance(answer, Failure)
    assert answer.failure().maybe_sent


def test_leader_that_stepped_down_leaves_the_outcome_unknown() -> None:
    answer, _ = play([lambda *_: NotLeader("", undecided=True)], seconds=0.3)
    assert isinstance(answer, Failure)
    assert answer.failure().maybe_sent


def test_followers_without_leader_prove_that_nothing_was_sent() -> None:
    answer, _ = play([lambda *_: NotLeader("")], seconds=0.3)
    assert isinstance(answer, Failure)
    assert not answer.failure().maybe_sent
    assert answer.failure().failed.code == ExitCode.UNREACHABLE


def test_replicas_that_name_each_other_are_not_asked_without_pause() -> None:
    addresses: list[str] = []

    def names_the_other(replica: ScriptedReplica, count: int) -> Message:
        return NotLeader(next(each for each in addresses if each != replica.address))

    async def run() -> int:
        pair = [ScriptedReplica(names_the_other) for _ in range(2)]
        for replica in pair:
            await replica.start()
        addresses.extend(replica.address for replica in pair)
        answer = await ask(ControlGroup(tuple(addresses), 0.5), EDIT, EditAnswered)
        assert isinstance(answer, Failure)
        for replica in pair:
            await replica.close()
        return sum(len(replica.received) for replica in pair)

    assert asyncio.run(run()) < 40


def test_refusal_by_every_replica_ends_the_search() -> None:
    refusal = Refused("version-not-kept", "kept are 3 to 9")
    answer, replicas = play([lambda *_: refusal] * 2, TreeQuery(1), seconds=60.0)
    assert isinstance(answer, Failure)
    assert answer.failure().failed.code == ExitCode.NOT_FOUND
    assert [len(replica.received) for replica in replicas] == [1, 1]


def test_unreachable_replicas_are_named() -> None:
    group = ControlGroup(("127.0.0.1:1", "not an address"), 0.2)
    answer = asyncio.run(ask(group, StatusQuery(), EditAnswered))
    assert isinstance(answer, Failure)
    assert "127.0.0.1:1" in answer.failure().failed.message
    assert "not an address" in answer.failure().failed.message


def submit_to(script: Script, change_id: str = "") -> tuple[Failed, list[Message]]:
    async def run() -> tuple[Failed, list[Message]]:
        replica = ScriptedReplica(script)
        await replica.start()
        group = ControlGroup((replica.address,), 0.3)
        request = EditRequest((SetZone("pasila", "uusimaa"),), change_id)
        outcome = await submit_on(group, request, empty_tree("refund"))
        await replica.close()
        assert isinstance(outcome, Failure)
        return outcome.failure(), replica.received

    return asyncio.run(run())


def test_unknown_outcome_names_the_change_id_to_send_again() -> None:
    failed, received = submit_to(lambda *_: None)
    assert failed.code == ExitCode.UNKNOWN
    ids = {
        message.edit.change_id for message in received if isinstance(message, SubmitEdit)
    }
    assert ids == {failed.change_id}
    assert f"--change-id {failed.change_id}" in failed.next_step


def test_default_expected_revisions_are_those_of_the_tree_read() -> None:
    _, received = submit_to(lambda *_: None)
    first = received[0]
    assert isinstance(first, SubmitEdit)
    expected = [(item.subject, item.revision) for item in first.edit.expected]
    assert expected == [("zone:pasila", 0)]
    assert first.edit.change_id.startswith("v0-")


def test_expired_change_id_is_not_run() -> None:
    answer = EditAnswered(EditExpired("old", 900))
    failed, _ = submit_to(lambda *_: answer, change_id="old")
    assert (failed.code, failed.change_id) == (ExitCode.EXPIRED, "old")


def test_garbage_from_a_replica_ends_the_link_only() -> None:
    tree = TreeAnswered(empty_tree("refund"))
    answer, (replica,) = play([lambda _, count: ACCEPTED if count == 2 else tree])
    assert answer == Success(ACCEPTED)
    assert len(replica.received) == 2
