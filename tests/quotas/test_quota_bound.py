"""In no time window do all nodes together run more calls than the limit's bound allows.

Each test checks windows that start at every call that ran, under another load or fault.
"""

from __future__ import annotations

import pytest

from peppershore.process.quotas.limits import Limit
from peppershore_lab.quota_world import (
    QUOTAS,
    World,
    assert_within,
    bound_of,
    fullest_window,
)

LARGE = Limit(rate=350.0, burst=350.0)
MIDDLE = Limit(rate=40.0, burst=40.0)
SMALL = Limit(rate=2.0, burst=2.0)
BARE = Limit(rate=30.0, burst=0.0)
USUAL_SHARE = 1.0 / 1.6
SETTLED_SECONDS = 9.0
"""Time after which relays may grant calls in advance."""


def usual(limit: Limit) -> float:
    return limit.rate * USUAL_SHARE


def limits() -> dict[str, Limit]:
    return {"large": LARGE, "middle": MIDDLE, "small": SMALL, "bare": BARE}


def settled(seed: int = 1) -> World:
    """Return a world in which all tenants have sent their usual load for a while."""
    world = World(limits(), seed=seed)
    for tenant, limit in limits().items():
        world.offer(tenant, usual(limit), SETTLED_SECONDS)
    world.run(SETTLED_SECONDS)
    return world


def check_all(world: World) -> None:
    for tenant, limit in limits().items():
        assert_within(world, tenant, limit)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_usual_load_is_not_refused_by_the_limit(seed: int) -> None:
    world = settled(seed)
    start = world.now
    for tenant, limit in limits().items():
        world.offer(tenant, usual(limit), 20.0)
    world.run(21.0)
    check_all(world)
    asked = sum(at >= start for each in world.asked.values() for at in each)
    denied = sum(at >= start for each in world.denied.values() for at in each)
    assert not world.unanswered
    assert denied <= 0.005 * asked


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_tenant_at_nine_times_its_usual_gets_its_limit_and_no_more(seed: int) -> None:
    world = settled(seed)
    start = world.now
    world.offer("large", 9.0 * usual(LARGE), 12.0)
    for tenant, limit in limits().items():
        if tenant != "large":
            world.offer(tenant, usual(limit), 12.0)
    world.run(12.0)
    check_all(world)
    ran = [at for at in world.calls("large") if at >= start]
    assert len(ran) >= 0.97 * 12.0 * LARGE.rate
    others = ("middle", "small", "bare")
    asked = sum(len(world.calls(tenant, "asked")) for tenant in others)
    denied = sum(len(world.calls(tenant, "denied")) for tenant in others)
    assert denied <= 0.005 * asked


@pytest.mark.parametrize("tenant", list(limits()))
def test_every_size_of_tenant_is_bound_at_nine_times_its_usual(tenant: str) -> None:
    world = settled()
    start = world.now
    limit = limits()[tenant]
    world.offer(tenant, 9.0 * usual(limit), 15.0)
    world.run(15.0)
    check_all(world)
    ran = [at for at in world.calls(tenant) if at >= start]
    assert len(ran) >= 0.9 * 15.0 * limit.rate


def test_a_load_that_comes_to_one_node_only() -> None:
    world = settled()
    start = world.now
    world.offer("large", 0.95 * LARGE.rate, 12.0, nodes=["n3"])
    world.run(12.0)
    check_all(world)
    denied = [at for at in world.calls("large", "denied") if at >= start]
    assert len(denied) <= 0.01 * len(world.calls("large", "asked"))


def test_a_load_over_the_limit_at_one_node_only() -> None:
    world = settled()
    world.offer("large", 6.0 * LARGE.rate, 12.0, nodes=["n3"])
    world.run(12.0)
    check_all(world)


def test_a_load_that_moves_between_relays_at_the_limit() -> None:
    world = settled()
    nodes = list(world.nodes)
    for turn in range(6):
        world.offer("large", 4.0 * LARGE.rate, 2.0, nodes=nodes[turn % 4 :: 4])
        world.run(2.0)
    check_all(world)


def test_nodes_and_relays_that_are_cut_off_run_little_more() -> None:
    world = settled()
    for tenant, limit in limits().items():
        world.offer(tenant, 3.0 * limit.rate, 20.0)
    world.run(3.0)
    assert world.leader is not None
    world.cut("r0", world.leader.name)
    world.cut("n5", "r1")
    start = world.now
    world.run(10.0)
    lonely = [at for at in world.calls("large") if at >= start]
    assert len(lonely) > 0
    world.heal()
    world.run(7.0)
    check_all(world)


def test_a_leader_that_is_lost_and_another_elected() -> None:
    world = settled()
    for tenant, limit in limits().items():
        world.offer(tenant, 4.0 * limit.rate, 12.0)
    for _ in range(3):
        world.run(2.5)
        assert world.leader is not None
        world.leader.has_turn = False
        world.leader.is_dead = True
        world.run(0.5)
        world.elect()
    world.run(3.0)
    check_all(world)


def test_a_leader_that_was_suspended_grants_nothing_when_it_goes_on() -> None:
    """Its lease has expired by its clock, so it answers pending requests as unknown."""
    world = settled()
    for tenant, limit in limits().items():
        world.offer(tenant, 4.0 * limit.rate, 14.0)
    world.run(2.0)
    former = world.leader
    assert former is not None
    former.is_frozen = True
    world.run(1.0)
    former.has_turn = False
    world.elect()
    world.run(4.0)
    world.thaw(former)
    world.run(7.0)
    check_all(world)


def test_a_relay_that_was_suspended_uses_no_grants_from_before() -> None:
    world = settled()
    for tenant, limit in limits().items():
        world.offer(tenant, 4.0 * limit.rate, 14.0)
    for relay in ("r0", "r1", "r2"):
        world.run(1.0)
        world.relays[relay].is_frozen = True
    world.run(5.0)
    for relay in ("r0", "r1", "r2"):
        world.thaw(world.relays[relay])
    world.run(6.0)
    check_all(world)


def test_a_node_that_was_suspended_uses_no_grants_from_before() -> None:
    world = settled()
    for tenant, limit in limits().items():
        world.offer(tenant, 4.0 * limit.rate, 14.0)
    world.run(1.0)
    for node in ("n1", "n2", "n3"):
        world.nodes[node].is_frozen = True
    world.run(5.0)
    for node in ("n1", "n2", "n3"):
        world.thaw(world.nodes[node])
    world.run(8.0)
    check_all(world)


def test_all_machines_dark_for_a_moment() -> None:
    world = settled()
    for tenant, limit in limits().items():
        world.offer(tenant, 5.0 * limit.rate, 20.0)
    for _ in range(3):
        world.run(2.0)
        world.everything_dark(0.6)
    world.run(8.0)
    check_all(world)


def test_relays_that_restart_in_turn_grant_no_more_in_advance() -> None:
    world = settled()
    for tenant, limit in limits().items():
        world.offer(tenant, 5.0 * limit.rate, 24.0)
    for turn in range(20):
        world.run(1.0)
        world.restart(f"r{turn % 4}")
    world.run(4.0)
    check_all(world)


def test_a_limit_lowered_far_below_what_is_sent_binds_one_window_later() -> None:
    world = settled()
    world.offer("large", LARGE.rate, 20.0)
    world.run(4.0)
    lower = Limit(rate=10.0, burst=10.0)
    world.change(large=lower)
    changed_at = world.now
    world.run(16.0)
    assert_within(world, "large", LARGE)
    assert_within(world, "large", lower, since=changed_at + QUOTAS.window_seconds)
    after = [at for at in world.calls("large") if at >= changed_at + 1.0]
    assert fullest_window(after, QUOTAS.window_seconds) <= bound_of(lower)


def test_a_limit_that_is_raised_lets_more_run_at_once() -> None:
    world = settled()
    world.offer("middle", 150.0, 12.0)
    world.run(4.0)
    raised = Limit(rate=200.0, burst=200.0)
    world.change(middle=raised)
    changed_at = world.now
    world.run(8.0)
    assert_within(world, "middle", raised)
    denied = [at for at in world.calls("middle", "denied") if at >= changed_at + 0.5]
    assert not denied


def test_a_tenant_taken_away_and_added_again_brings_no_full_bucket() -> None:
    world = settled()
    world.offer("middle", 6.0 * MIDDLE.rate, 16.0)
    for _ in range(6):
        world.run(2.0)
        world.change(middle=None)
        world.run(0.1)
        world.change(middle=MIDDLE)
    world.run(3.0)
    check_all(world)


def test_a_tenant_that_is_renamed_has_one_limit_under_both_names() -> None:
    world = settled()
    names = ["middle", "one", "two", "three", "four"]
    for old, new in zip(names, names[1:], strict=False):
        world.offer(old, 6.0 * MIDDLE.rate, 1.5)
        world.run(1.0)
        world.change(**{old: None, new: MIDDLE})
    world.offer(names[-1], 6.0 * MIDDLE.rate, 6.0)
    world.run(7.0)
    together = [at for name in names for at in world.calls(name)]
    assert fullest_window(together, QUOTAS.window_seconds) <= bound_of(MIDDLE)


def test_most_calls_are_answered_by_their_relay_at_once() -> None:
    world = settled()
    world.waits.clear()
    for tenant, limit in limits().items():
        world.offer(tenant, usual(limit), 10.0)
    world.run(10.0)
    waits = sorted(world.waits)
    assert waits[len(waits) // 2] < 0.002
    assert waits[int(0.99 * len(waits))] < 0.02
