"""After permanent loss of a majority a new group is made from one store or a backup."""

from __future__ import annotations

import asyncio
import shutil
from pathlib import Path

from click.testing import CliRunner
from returns.pipeline import is_successful
from returns.result import Failure

from peppershore.command.main import main
from peppershore.connection.messages.operators import TreeAnswered, TreeQuery
from peppershore.connection.messages.relay import EditsCommitted, FollowRequest, TreeState
from peppershore.process.control.recovery import NothingToRecover, recover_store
from peppershore.process.settings import ControlSettings, PeerReplica
from peppershore.process.storage.opening import open_store
from peppershore.version.model import Edit, EditAccepted, Overrides, SetOverrides, Tree
from peppershore_lab.peer_link import PeerLink
from peppershore_lab.replica_group import CLUSTER, ReplicaGroup

NAMES = ("c1", "c2", "c3")
SNAPSHOT_ENTRIES = 10
BOUND_SECONDS = 30.0


def _edit(number: int) -> Edit:
    return Edit(f"edit-{number}", (SetOverrides("/kassa", Overrides(slots=number)),))


async def _accept(group: ReplicaGroup, numbers: range) -> EditAccepted:
    outcome = None
    for number in numbers:
        outcome = await group.submit(_edit(number))
    assert isinstance(outcome, EditAccepted)
    return outcome


async def _tree(group: ReplicaGroup, name: str) -> Tree:
    answer = await group.ask(name, TreeQuery())
    assert isinstance(answer, TreeAnswered), answer
    return answer.tree


def _recover(group: ReplicaGroup, name: str) -> None:
    arguments = ["replica", "recover", "--yes", "--settings", str(group.settings(name))]
    done = CliRunner().invoke(main, arguments)
    assert done.exit_code == 0, done.output


def test_a_group_recovered_from_a_backup_never_takes_a_proxy_back(tmp_path: Path) -> None:
    async def run() -> None:
        overrides = {"snapshot_entries": SNAPSHOT_ENTRIES}
        async with ReplicaGroup(tmp_path, NAMES, **overrides) as group:
            await group.start()
            backed_up = await _accept(group, range(1, 26))
            leader = await group.leader()
            restored, other = (name for name in NAMES if name != leader)
            await _back_up(group, restored, tmp_path / "backup")
            lost = await _accept(group, range(26, 40))

            group.kill(*NAMES)
            shutil.rmtree(group.data_folder(restored))
            shutil.copytree(tmp_path / "backup", group.data_folder(restored))
            _recover(group, restored)
            await group.start(restored)
            await group.leader(restored)
            tree = await _tree(group, restored)
            assert tree.nodes["/kassa"].overrides.slots == 25
            assert tree.version > lost.version
            await _check_relay_is_sent_the_complete_tree(
                group, restored, lost.version, tree
            )

            repeated = await group.operator(restored).submit(_edit(25))
            assert repeated.unwrap() == backed_up
            await group.start(other)
            await group.wait_for_event("peer_refused", restored, other)
            again = await group.operator(restored).submit(_edit(50))
            assert is_successful(again)
            refused = await group.status(other)
            assert refused is not None
            assert not refused.leader

            group.kill(other)
            group.prepare_to_join(other)
            await group.start(other)
            added = await group.operator(restored).run(
                "replica", "add", other, group.address(other)
            )
            assert added.exit_code == 0, added.error
            assert await _tree(group, other) == await _tree(group, restored)

    asyncio.run(run())


async def _back_up(group: ReplicaGroup, name: str, target: Path) -> None:
    process = group.processes[name]
    process.ask_to_stop()
    process.wait_or_kill()
    shutil.copytree(group.data_folder(name), target)
    await group.start(name)


async def _check_relay_is_sent_the_complete_tree(
    group: ReplicaGroup, name: str, held: int, tree: Tree
) -> None:
    link = await PeerLink.open(group.address(name))
    assert link is not None
    link.send(FollowRequest(CLUSTER, "r1", "pasila", held))
    answer = await link.receive(BOUND_SECONDS)
    assert not isinstance(answer, EditsCommitted)
    assert isinstance(answer, TreeState)
    assert answer.tree.version == tree.version
    link.close()


def _settings(folder: Path, listed: bool = True) -> ControlSettings:
    replicas = (PeerReplica(name="c1", address="127.0.0.1:1"),) if listed else ()
    return ControlSettings(
        cluster="test",
        replica="c1",
        listen="127.0.0.1:1",
        data_folder=str(folder),
        replicas=replicas,
    )


def test_a_blank_store_is_not_recovered(tmp_path: Path) -> None:
    refused = recover_store(_settings(tmp_path))
    assert refused == Failure(NothingToRecover("the store is blank"))


def test_a_replica_whose_address_is_not_listed_is_not_recovered(tmp_path: Path) -> None:
    refused = recover_store(_settings(tmp_path, listed=False))
    assert isinstance(refused, Failure)
    assert not any(tmp_path.iterdir())


def test_a_store_in_use_is_not_recovered(tmp_path: Path) -> None:
    opened = open_store(tmp_path, "test", "c1").unwrap()
    assert isinstance(recover_store(_settings(tmp_path)), Failure)
    opened.store.close()
