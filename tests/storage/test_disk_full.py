"""A full disk: edits are refused, accepted versions are served, and the store recovers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path

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
from peppershore.connection.messages.relay import EditsCommitted, FollowRequest
from peppershore.process.commands import Notice
from peppershore.process.consensus.notices import StorageRecovered, StorageRefused
from peppershore.process.consensus.replica_shell import ReplicaShell
from peppershore.process.control.core import ControlCore
from peppershore.process.settings import ControlSettings, PeerReplica
from peppershore.process.storage.opening import open_store
from peppershore.version.model import Edit, EditAccepted, Overrides, SetOverrides
from peppershore_lab.peer_link import PeerLink

HOST = "127.0.0.1"
FULL_PAGES = 1
LARGE_PAGES = 1_000_000
PADDING = "x" * 200
AFTERWARDS = 9_000
"""Number of an edit that no edit sent before has."""
BOUND_SECONDS = 30.0


def _edit(number: int) -> Edit:
    operation = SetOverrides("/kassa", Overrides(slots=1 + number))
    return Edit(f"edit-{number}", (operation,), comment=PADDING)


class Replica:
    """One replica in this process, with a real store that can be limited in size."""

    def __init__(self, folder: Path) -> None:
        settings = ControlSettings(
            cluster="test",
            replica="c1",
            listen=f"{HOST}:0",
            data_folder=str(folder),
            replicas=(PeerReplica(name="c1", address=f"{HOST}:1"),),
        )
        opened = open_store(folder, "test", "c1").unwrap()
        self.store = opened.store
        self.notices: list[Notice] = []
        self.core = ControlCore(settings, opened.stored)
        self.shell = ReplicaShell(self.core, self.store, self.notices.append)
        self.address = ""

    async def start(self) -> None:
        port = await self.shell.listen(HOST, 0)
        self.address = f"{HOST}:{port}"
        self.shell.start()
        await self.until(lambda: self.core.leads)

    async def close(self) -> None:
        await self.shell.close()
        self.store.close()

    async def until(self, condition: Callable[[], bool]) -> None:
        deadline = time.monotonic() + BOUND_SECONDS
        while not condition():
            assert time.monotonic() < deadline
            await asyncio.sleep(0.01)

    async def link(self) -> PeerLink:
        link = await PeerLink.open(self.address)
        assert link is not None
        return link

    async def ask(self, question: Message) -> Message | None:
        link = await self.link()
        link.send(question)
        answer = await link.receive(BOUND_SECONDS)
        link.close()
        return answer


def test_a_full_disk_refuses_edits_and_goes_on_serving(tmp_path: Path) -> None:
    asyncio.run(_fill_and_free(tmp_path))


async def _fill_and_free(folder: Path) -> None:
    replica = Replica(folder)
    await replica.start()
    relay = await replica.link()
    relay.send(FollowRequest("test", "r1", "pasila", 0))
    replica.store.limit_pages(FULL_PAGES)
    accepted, refused = await _edit_until_refused(replica)
    assert isinstance(refused, NotLeader) and refused.undecided
    assert any(isinstance(each, StorageRefused) for each in replica.notices)

    tree = await replica.ask(TreeQuery(accepted))
    assert isinstance(tree, TreeAnswered)
    assert isinstance(await replica.ask(StatusQuery()), StatusAnswered)
    assert isinstance(await replica.ask(TreeQuery()), NotLeader), "nothing is confirmed"
    assert isinstance(await replica.ask(SubmitEdit(_edit(AFTERWARDS))), NotLeader)
    await _follow_until(relay, accepted)

    replica.store.limit_pages(LARGE_PAGES)
    await replica.until(lambda: replica.core.leads)
    assert any(isinstance(each, StorageRecovered) for each in replica.notices)
    answer = await replica.ask(SubmitEdit(_edit(AFTERWARDS)))
    assert isinstance(answer, EditAnswered)
    assert isinstance(answer.outcome, EditAccepted)
    await _follow_until(relay, answer.outcome.version)
    relay.close()
    newest = replica.core.state.tree
    await replica.close()

    reopened = Replica(folder)
    await reopened.start()
    assert reopened.core.state.tree == newest
    await reopened.close()


async def _edit_until_refused(replica: Replica) -> tuple[int, Message | None]:
    """Send edits until one is refused.

    Return the newest accepted version and the answer to the refused edit.
    """
    version = 0
    for number in range(AFTERWARDS):
        answer = await replica.ask(SubmitEdit(_edit(number)))
        if not isinstance(answer, EditAnswered):
            return version, answer
        assert isinstance(answer.outcome, EditAccepted)
        version = answer.outcome.version
    raise AssertionError("the store never refused")


async def _follow_until(relay: PeerLink, version: int) -> None:
    seen = 0
    while seen < version:
        message = await relay.receive(BOUND_SECONDS)
        assert message is not None
        if isinstance(message, EditsCommitted):
            seen = message.edits[-1].version
