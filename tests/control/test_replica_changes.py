"""Replacement of lost replicas, and a leader cut off, with real processes."""

from __future__ import annotations

import asyncio
import shutil
from collections.abc import Awaitable, Callable
from pathlib import Path

from peppershore.connection.messages.operators import (
    EditAnswered,
    NotLeader,
    SubmitEdit,
    TreeAnswered,
    TreeQuery,
)
from peppershore.version.model import (
    Edit,
    EditAccepted,
    Overrides,
    SetOverrides,
    Tree,
)
from peppershore_lab.peer_link import PeerLink
from peppershore_lab.replica_group import ReplicaGroup, member_of

NAMES = ("c1", "c2", "c3")
SNAPSHOT_ENTRIES = 30
"""Log entries between snapshots: so few that a joining replica needs a snapshot."""
LEASE_SECONDS = 0.4
PAST_LEASE_SECONDS = 3 * LEASE_SECONDS


def _edit(change_id: str, slots: int = 7) -> Edit:
    return Edit(change_id, (SetOverrides("/kassa", Overrides(slots=slots)),))


def _run(folder: Path, trial: Callable[[ReplicaGroup], Awaitable[None]]) -> None:
    async def run() -> None:
        async with ReplicaGroup(folder, NAMES, snapshot_entries=SNAPSHOT_ENTRIES) as group:
            await group.start()
            await group.leader()
            await trial(group)

    asyncio.run(run())


async def _accept(group: ReplicaGroup, *change_ids: str) -> int:
    version = 0
    for change_id in change_ids:
        outcome = await group.submit(_edit(change_id))
        assert isinstance(outcome, EditAccepted)
        version = outcome.version
    return version


async def _tree(group: ReplicaGroup, name: str, version: int = 0) -> Tree:
    answer = await group.ask(name, TreeQuery(version))
    assert isinstance(answer, TreeAnswered), answer
    return answer.tree


async def _command(group: ReplicaGroup, *arguments: str) -> dict[str, object]:
    done = await group.operator().run("replica", *arguments)
    assert done.exit_code == 0, done.error
    return done.output


async def _listed(group: ReplicaGroup) -> dict[str, bool]:
    """Return the members and whether they vote, as the command line lists them."""
    output = await _command(group, "list")
    replicas = output["replicas"]
    assert isinstance(replicas, list)
    return {each["replica"]: each["voter"] for each in replicas}


def test_a_lost_replica_is_replaced_and_a_second_is_lost_right_after(
    tmp_path: Path,
) -> None:
    async def trial(group: ReplicaGroup) -> None:
        await _accept(
            group, *(f"before-{number}" for number in range(3 * SNAPSHOT_ENTRIES))
        )
        leader = await group.leader()
        lost = next(name for name in NAMES if name != leader)
        group.kill(lost)
        shutil.rmtree(group.data_folder(lost))
        group.add_blank("c4")
        await group.start("c4")
        await _command(group, "remove", lost)
        await _command(group, "add", "c4", group.address("c4"))
        await _command(group, "add", "c4", group.address("c4"))
        remaining = [name for name in NAMES if name != lost]
        assert await _listed(group) == dict.fromkeys((*remaining, "c4"), True)

        group.kill(remaining[0])
        version = await _accept(group, "after-the-second-loss")
        await group.wait_for("c4", lambda status: status.version >= version)
        leader = await group.leader()
        assert await _tree(group, "c4", version) == await _tree(group, leader, version)
        again = await group.submit(_edit("before-0"))
        assert again == EditAccepted("before-0", again.version)  # type: ignore[union-attr]
        assert again.version < version  # type: ignore[union-attr]

    _run(tmp_path, trial)


def test_a_blank_disk_under_an_old_name_counts_only_once_it_was_added_again(
    tmp_path: Path,
) -> None:
    async def trial(group: ReplicaGroup) -> None:
        await _accept(group, "one")
        leader = await group.leader()
        blank, other = (name for name in NAMES if name != leader)
        group.kill(blank)
        shutil.rmtree(group.data_folder(blank))
        await group.start(blank)
        await _accept(group, "two")
        await group.wait_for_event("other_store_seen", leader)
        again = await group.operator().run("replica", "add", blank, group.address(blank))
        assert again.exit_code != 0
        assert "another disk" in str(again.output)
        moved = await group.operator().run("replica", "add", other, "127.0.0.1:1")
        assert moved.exit_code != 0
        assert group.address(other) in str(moved.output)

        group.kill(other)
        link = await PeerLink.open(group.address(leader))
        assert link is not None
        link.send(SubmitEdit(_edit("without-quorum")))
        answer = await link.receive(PAST_LEASE_SECONDS)
        assert not isinstance(answer, EditAnswered), "a blank disk counted in a quorum"
        link.close()

        await group.start(other)
        await group.leader()
        group.kill(blank)
        group.prepare_to_join(blank)
        await group.start(blank)
        await _command(group, "remove", blank)
        await _command(group, "add", blank, group.address(blank))
        assert await _listed(group) == dict.fromkeys(NAMES, True)
        group.kill(other)
        await _accept(group, "three")

    _run(tmp_path, trial)


def test_a_second_loss_during_a_repair_accepts_nothing_and_loses_nothing(
    tmp_path: Path,
) -> None:
    async def trial(group: ReplicaGroup) -> None:
        version = await _accept(group, "one")
        survivor = await group.leader()
        lost, second = (name for name in NAMES if name != survivor)
        group.kill(lost)
        await _command(group, "remove", lost)
        group.kill(second)
        refused = await group.operator().run(
            "tree", "set", "/kassa", "slots=9", "--timeout", "2"
        )
        assert refused.exit_code != 0
        group.add_blank("c4")
        await group.start("c4", second)
        await _command(group, "add", "c4", group.address("c4"))
        group.kill(second)
        newest = await _accept(group, "two")
        assert newest > version
        assert set(await _listed(group)) == {survivor, second, "c4"}

    _run(tmp_path, trial)


def test_a_leader_whose_followers_are_silent_accepts_and_confirms_nothing(
    tmp_path: Path,
) -> None:
    async def trial(group: ReplicaGroup) -> None:
        await _accept(group, "one")
        leader = await group.leader()
        followers = [name for name in NAMES if name != leader]
        for name in followers:
            group.processes[name].freeze()
        link = await PeerLink.open(group.address(leader))
        assert link is not None
        link.send(SubmitEdit(_edit("cut-off")))
        answer = await link.receive(PAST_LEASE_SECONDS + 1.0)
        assert answer is None or isinstance(answer, NotLeader), answer
        await asyncio.sleep(PAST_LEASE_SECONDS)
        read = await group.ask(leader, TreeQuery())
        assert isinstance(read, NotLeader), "a read without quorum was answered"
        link.close()
        for name in followers:
            group.processes[name].unfreeze()
        await _accept(group, "two")

    _run(tmp_path, trial)


def test_a_leader_that_was_frozen_answers_no_read_from_before(tmp_path: Path) -> None:
    async def trial(group: ReplicaGroup) -> None:
        await _accept(group, "one")
        suspended = await group.leader()
        others = [name for name in NAMES if name != suspended]
        link = await PeerLink.open(group.address(suspended))
        assert link is not None
        group.processes[suspended].freeze()
        link.send(TreeQuery())
        link.send(SubmitEdit(_edit("while-frozen")))
        await group.leader(*others)
        done = await group.operator(*others).submit(_edit("elsewhere", slots=9))
        accepted = done.unwrap()
        assert isinstance(accepted, EditAccepted)
        group.processes[suspended].unfreeze()
        for _ in range(2):
            answer = await link.receive(PAST_LEASE_SECONDS + 1.0)
            if isinstance(answer, TreeAnswered):
                assert answer.tree.version >= accepted.version
            elif isinstance(answer, EditAnswered):
                assert isinstance(answer.outcome, EditAccepted)
                assert answer.outcome.version > accepted.version
            else:
                assert answer is None or isinstance(answer, NotLeader)
        link.close()
        status = await group.wait_for(
            suspended, lambda each: each.version >= accepted.version
        )
        assert status.leader in others
        own = member_of(status, suspended)
        assert own is not None and own.role == "follower"

    _run(tmp_path, trial)
