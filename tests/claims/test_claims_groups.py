"""Several claims groups: assignment of keys, and a change of the groups."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Result, Success

from peppershore.connection.messages.claims import KeptAnswer
from peppershore.process.claims.entries import (
    ClaimEntry,
    CompletionEntry,
    Granted,
    ReleaseEntry,
    Taken,
)
from peppershore.process.claims.layout import ClaimsLayout, layout_of
from peppershore.process.claims.router import ClaimsRouter
from peppershore.process.claims.table import ClaimTable
from peppershore.process.settings import ClaimsGroup, NodeSettings, PeerReplica
from peppershore.process.settings_examples import EXAMPLES
from peppershore.process.settings_loader import parse_settings
from peppershore.request.claim import (
    ClaimDenied,
    ClaimGranted,
    ClaimTaken,
    ClaimUnavailable,
)

ANSWER = KeptAnswer(200, (), b"paid")
HORIZON = 1_000


def groups(*names: str) -> tuple[ClaimsGroup, ...]:
    return tuple(
        ClaimsGroup(name=name, replicas=(PeerReplica(name="c1", address="127.0.0.1:1"),))
        for name in names
    )


ONE, TWO = groups("first"), groups("first", "second")
STEPS = (ClaimsLayout(ONE), ClaimsLayout(TWO, previous=ONE), ClaimsLayout(TWO))
"""Steps in which each node changes from one group to two."""

KEYS = st.text("abcdef/0123456789", min_size=8, max_size=40)


@given(KEYS)
def test_nodes_one_step_apart_share_a_group_for_each_key(key):
    for earlier, later in zip(STEPS, STEPS[1:], strict=False):
        assert set(earlier.groups_of(key)) & set(later.groups_of(key))


def test_a_further_group_takes_its_share_and_moves_no_other_key():
    keys = [f"kassa/payout/-/pay-{number}" for number in range(6_000)]
    two, three = ClaimsLayout(TWO), ClaimsLayout(groups("first", "second", "third"))
    moved = 0
    for key in keys:
        if two.groups_of(key) != three.groups_of(key):
            assert three.groups_of(key) == ("third",)
            moved += 1
    assert 0.30 < moved / len(keys) < 0.37


class FakeGroup:
    """Claims client of one group that answers from a real claims table."""

    def __init__(self) -> None:
        self.table = ClaimTable(HORIZON)
        self.reachable = True

    async def claim(
        self, key: str, attempt: str, seconds: float
    ) -> Result[ClaimGranted, ClaimDenied]:
        await asyncio.sleep(0)
        if not self.reachable:
            return Failure(ClaimUnavailable("gone"))
        answer = self.table.apply_entry(ClaimEntry(key, attempt))
        if isinstance(answer, Taken):
            return Failure(ClaimTaken(answer.answer))
        assert answer == Granted()
        return Success(ClaimGranted())

    def complete(self, key: str, attempt: str, answer: KeptAnswer | None) -> None:
        self.table.apply_entry(CompletionEntry(key, attempt, answer))

    def release(self, key: str, attempt: str) -> None:
        self.table.apply_entry(ReleaseEntry(key, attempt))

    async def settle(self, seconds: float) -> None:
        return

    async def close(self) -> None:
        return


def routers() -> tuple[dict[str, FakeGroup], list[ClaimsRouter]]:
    """Return two groups, and a router over them for each step of the change."""
    fakes = {"first": FakeGroup(), "second": FakeGroup()}
    return fakes, [
        ClaimsRouter(layout, {name: fakes[name] for name in layout.groups})
        for layout in STEPS
    ]


def key_of_second() -> str:
    return next(
        key
        for key in (f"payout-{number:04d}" for number in range(100))
        if STEPS[2].groups_of(key) == ("second",)
    )


@pytest.mark.parametrize(("first", "other"), [(0, 1), (1, 0), (1, 2), (2, 1)])
def test_a_moved_key_runs_once_between_nodes_one_step_apart(first, other):
    async def scene() -> None:
        _, steps = routers()
        key = key_of_second()
        assert isinstance(await steps[first].claim(key, "a", 1.0), Success)
        assert await steps[other].claim(key, "b", 1.0) == Failure(ClaimTaken(None))
        steps[first].complete(key, "a", ANSWER)
        assert await steps[other].claim(key, "c", 1.0) == Failure(ClaimTaken(ANSWER))

    asyncio.run(scene())


@pytest.mark.parametrize("denied_by", ["first", "second"])
def test_a_claim_that_one_group_denies_is_left_in_neither(denied_by):
    async def scene() -> None:
        fakes, steps = routers()
        key = key_of_second()
        fakes[denied_by].reachable = False
        refused = await steps[1].claim(key, "a", 1.0)
        assert refused == Failure(ClaimUnavailable("gone"))
        assert {fake.table.size for fake in fakes.values()} == {0}
        fakes[denied_by].reachable = True
        assert isinstance(await steps[1].claim(key, "b", 1.0), Success)

    asyncio.run(scene())


def test_a_release_frees_the_key_in_both_groups():
    async def scene() -> None:
        fakes, steps = routers()
        key = key_of_second()
        assert isinstance(await steps[1].claim(key, "a", 1.0), Success)
        assert {fake.table.size for fake in fakes.values()} == {1}
        steps[1].release(key, "a")
        assert {fake.table.size for fake in fakes.values()} == {0}

    asyncio.run(scene())


REPLICA = '[[{0}.replicas]]\nname = "c1"\naddress = "127.0.0.1:{2}"\n'
GROUP = '\n[[{0}]]\nname = "{1}"\n' + REPLICA


def node_settings(*tables: str) -> Result[NodeSettings, object]:
    text = EXAMPLES["node"].split("# [[claims")[0] + "".join(tables)
    return parse_settings(NodeSettings, text, {})


def test_settings_name_several_groups():
    settings = node_settings(
        GROUP.format("claims_groups", "first", 7501),
        GROUP.format("claims_groups", "second", 7502),
    ).unwrap()
    layout = layout_of(settings)
    assert layout is not None
    assert set(layout.groups) == {"first", "second"}


@pytest.mark.parametrize(
    "tables",
    [
        (GROUP.format("previous_claims_groups", "first", 7501),),
        (
            GROUP.format("claims_groups", "first", 7501),
            GROUP.format("claims_groups", "first", 7502),
        ),
        (
            GROUP.format("claims_groups", "first", 7501),
            '\n[[claims]]\nname = "c1"\naddress = "127.0.0.1:7501"\n',
        ),
        (
            GROUP.format("claims_groups", "first", 7501),
            GROUP.format("previous_claims_groups", "first", 7502),
        ),
        ('\n[[claims_groups]]\nname = "first"\nreplicas = []\n',),
    ],
)
def test_settings_that_contradict_themselves_are_refused(tables):
    assert isinstance(node_settings(*tables), Failure)
