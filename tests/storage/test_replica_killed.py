"""Replicas are killed (SIGKILL) repeatedly while operators send edits.

Edits that were accepted are stored; an edit without an answer is stored completely or not
at all.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from pathlib import Path

import msgspec
import pytest

from peppershore.connection.messages.operators import (
    HistoryAnswered,
    HistoryQuery,
    SubmitEdit,
    TreeAnswered,
    TreeQuery,
)
from peppershore.version.model import (
    Edit,
    EditAccepted,
    EditInvalid,
    Overrides,
    SetOverrides,
    Tree,
)
from peppershore_lab.peer_link import PeerLink
from peppershore_lab.replica_group import ReplicaGroup, submit_on

OPERATORS = 4
PAIR = ("/left", "/right")
MAX_SLOTS = 1_000
PAUSE_SECONDS = 0.005
ALL_HISTORY = 100_000


class Operator:
    """Sends one edit after another, and retries each until it is accepted."""

    def __init__(self, group: ReplicaGroup, name: str, seed: int) -> None:
        self.sent: dict[str, Edit] = {}
        self.accepted: dict[str, int] = {}
        self.stopped = False
        self._group = group
        self._name = name
        self._random = random.Random(seed)

    async def run(self) -> None:
        for number in itertools.count():
            if self.stopped:
                return
            edit = self._edit(number)
            self.sent[edit.change_id] = edit
            while edit.change_id not in self.accepted and not self.stopped:
                await self._try(edit)

    def _edit(self, number: int) -> Edit:
        slots = Overrides(slots=1 + self._random.randrange(MAX_SLOTS))
        both = tuple(SetOverrides(path, slots) for path in PAIR)
        return Edit(f"{self._name}-{number}", both)

    async def _try(self, edit: Edit) -> None:
        replica = self._random.choice(sorted(self._group.processes))
        link = await PeerLink.open(self._group.address(replica))
        if link is None:
            await asyncio.sleep(PAUSE_SECONDS)
            return
        outcome = await submit_on(link, edit)
        link.close()
        assert not isinstance(outcome, EditInvalid), outcome
        if isinstance(outcome, EditAccepted):
            self.accepted[edit.change_id] = outcome.version
        else:
            await asyncio.sleep(PAUSE_SECONDS)


async def kill_and_restart(group: ReplicaGroup, kills: int, seed: int) -> None:
    generator = random.Random(seed)
    for _ in range(kills):
        await asyncio.sleep(generator.uniform(0.02, 0.2))
        name = generator.choice(sorted(group.processes))
        group.kill(name)
        await group.start(name)


@pytest.mark.parametrize(("names", "kills"), [(("c1",), 6), (("c1", "c2", "c3"), 9)])
def test_accepted_edits_survive_and_no_edit_is_stored_in_part(
    tmp_path: Path, names: tuple[str, ...], kills: int
) -> None:
    asyncio.run(_kill_while_editing(tmp_path, names, kills))


async def _kill_while_editing(folder: Path, names: tuple[str, ...], kills: int) -> None:
    async with ReplicaGroup(folder, names, snapshot_entries=40) as group:
        await group.start()
        await group.leader()
        operators = [Operator(group, f"o{each}", each) for each in range(OPERATORS)]
        tasks = [asyncio.create_task(each.run()) for each in operators]
        await kill_and_restart(group, kills, seed=len(names))
        await asyncio.sleep(0.5)
        while sum(len(each.accepted) for each in operators) <= OPERATORS:  # noqa: ASYNC110
            await asyncio.sleep(PAUSE_SECONDS)
        for operator in operators:
            operator.stopped = True
        await asyncio.gather(*tasks)
        group.kill(*names)
        await group.start()
        leader = await group.leader()
        tree = await _tree(group, leader, 0)
        await _check_history(group, leader, operators)
        first = min(version for each in operators for version in each.accepted.values())
        await _check_pair(group, leader, first, tree.version)
        for name in names:
            await group.wait_for(name, lambda status: status.version >= tree.version)
            assert await _tree(group, name, tree.version) == tree


async def _check_history(
    group: ReplicaGroup, leader: str, operators: list[Operator]
) -> None:
    history = await group.ask(leader, HistoryQuery(0, ALL_HISTORY))
    assert isinstance(history, HistoryAnswered)
    versions = {each.edit.change_id: each.version for each in history.edits}
    assert len(versions) == len(history.edits), "an edit was carried out twice"
    accepted = {key: value for each in operators for key, value in each.accepted.items()}
    assert len(accepted) > OPERATORS
    assert {key: versions.get(key) for key in accepted} == accepted
    sent = {key: edit for each in operators for key, edit in each.sent.items()}
    for committed in history.edits:
        stamped = committed.edit
        plain = msgspec.structs.replace(stamped, accepted_unix_milliseconds=0)
        assert plain == sent[stamped.change_id]


async def _check_pair(group: ReplicaGroup, leader: str, first: int, newest: int) -> None:
    """Check at each stored version that both settings of an edit were applied, or none.

    From version ``first`` on, which holds an accepted edit, they were.
    """
    for version in range(max(1, newest - 60), newest + 1):
        answer = await group.ask(leader, TreeQuery(version))
        if isinstance(answer, TreeAnswered):
            left, right = (answer.tree.nodes.get(path) for path in PAIR)
            if version < first and left is None and right is None:
                continue
            assert left is not None
            assert right is not None
            assert left.overrides.slots == right.overrides.slots


async def _tree(group: ReplicaGroup, name: str, version: int) -> Tree:
    answer = await group.ask(name, TreeQuery(version))
    assert isinstance(answer, TreeAnswered), answer
    return answer.tree


def test_a_resend_after_the_kill_of_everything_gets_the_first_outcome(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with ReplicaGroup(tmp_path, ("c1", "c2", "c3")) as group:
            await group.start()
            await group.leader()
            edit = Edit("once", (SetOverrides("/left", Overrides(slots=7)),))
            first = await group.submit(edit)
            link = await PeerLink.open(group.address(await group.leader()))
            assert link is not None
            link.send(SubmitEdit(Edit("late", edit.operations)))
            group.kill("c1", "c2", "c3")
            await group.start()
            assert await group.submit(edit) == first

    asyncio.run(run())
