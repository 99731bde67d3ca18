"""Ordering, digests and removal of endpoints, at a relay and at a node."""

from __future__ import annotations

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from peppershore.connection.messages.endpoints import Endpoint, EndpointsChanged
from peppershore.process.endpoints.advertised import AdvertisedNodes as VouchedNodes
from peppershore.process.endpoints.table import (
    TOMBSTONE_SECONDS,
    EndpointTable,
    as_gone,
    endpoints_digest,
    order_of,
)
from peppershore.process.node.endpoints import KnownEndpoints

STATES = st.sampled_from(["warming", "ready", "leaving", "gone"])


def endpoint(node: str, incarnation: int, sequence: int, state: str = "ready") -> Endpoint:
    return Endpoint(
        node, "kuitti", "z", incarnation, sequence, state, f"{node}:1", f"{node}:2", 20, 130
    )


ENDPOINTS = st.builds(
    endpoint, st.sampled_from("abc"), st.integers(1, 3), st.integers(1, 4), STATES
)


@given(st.lists(ENDPOINTS), st.randoms(use_true_random=False))
def test_the_table_is_the_same_whatever_order_states_come_in(
    states: list[Endpoint], shuffle: object
) -> None:
    by_order = {(each.node, order_of(each)): each for each in states}
    unique = list(by_order.values())
    one, other = EndpointTable(), EndpointTable()
    for each in unique:
        one.merge(each, 0.0)
    shuffle.shuffle(unique)  # type: ignore[attr-defined]
    for each in unique + unique:
        other.merge(each, 0.0)
    assert {*one.shown(["kuitti"])} == {*other.shown(["kuitti"])}
    assert one.digest(["kuitti"]) == other.digest(["kuitti"])


@given(st.lists(st.one_of(ENDPOINTS, st.sampled_from(["hide a", "hide b", "reveal a"]))))
def test_the_digest_kept_is_that_of_what_is_shown(steps: list[Endpoint | str]) -> None:
    table = EndpointTable()
    for step in steps:
        if isinstance(step, Endpoint):
            table.merge(step, 0.0)
        elif step.startswith("hide"):
            table.hide(step[-1], 0.0)
        else:
            table.reveal(step[-1])
        assert table.digest(["kuitti"]) == endpoints_digest(table.shown(["kuitti"]))


def test_a_gone_endpoint_is_not_restored_and_is_removed_in_the_end() -> None:
    table = EndpointTable()
    table.merge(endpoint("a", 1, 3, "gone"), 0.0)
    assert not table.merge(endpoint("a", 1, 2), 10.0)
    assert table.shown(["kuitti"]) == ()
    table.drop_old_tombstones(TOMBSTONE_SECONDS - 1)
    assert len(table) == 1
    table.drop_old_tombstones(TOMBSTONE_SECONDS)
    assert len(table) == 0


def test_a_hidden_endpoint_is_shown_again_when_it_is_revealed() -> None:
    table = EndpointTable()
    table.merge(endpoint("a", 1, 1), 0.0)
    assert table.hide("a", 5.0) == as_gone(endpoint("a", 1, 1))
    assert table.hide("a", 6.0) is None
    assert not table.has_ready("kuitti")
    assert table.reveal("a") == endpoint("a", 1, 1)
    assert table.has_ready("kuitti")


@given(st.lists(st.tuples(st.sampled_from("abcdef"), st.integers(0, 3), st.booleans())))
def test_buckets_differ_exactly_where_the_sets_differ(
    steps: list[tuple[str, int, bool]],
) -> None:
    one, other = VouchedNodes(), VouchedNodes()
    for node, sequence, to_both in steps:
        one.add(node, (1, sequence))
        if to_both:
            other.add(node, (1, sequence))
    for node in one.nodes:
        other.remove(node)
    differing = other.differing_buckets(one.buckets)
    assert set(one.in_buckets(differing)) == set(one.nodes)
    for node in one.nodes:
        one.remove(node)
    assert one.differing_buckets(other.buckets) == ()


def test_a_node_never_accepts_an_older_state_even_of_a_gone_endpoint() -> None:
    known = KnownEndpoints()
    assert known.take(EndpointsChanged((endpoint("a", 1, 2),)))
    assert not known.take(EndpointsChanged((endpoint("a", 1, 1, "leaving"),)))
    assert known.take(EndpointsChanged((endpoint("a", 1, 3, "gone"),)))
    assert not known.take(EndpointsChanged((endpoint("a", 1, 2),)))
    assert known.take(EndpointsChanged((endpoint("a", 2, 1),)))


def test_only_a_complete_list_removes_and_only_for_the_services_it_names() -> None:
    known = KnownEndpoints()
    other = msgspec.structs.replace(endpoint("b", 1, 1), service="kassa")
    known.take(EndpointsChanged((endpoint("a", 1, 1), other)))
    assert not known.take(EndpointsChanged(()))
    assert known.take(EndpointsChanged((), True, ("kuitti",)))
    assert known.endpoints == (other,)
    assert known.digest == endpoints_digest([other])
