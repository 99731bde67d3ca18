"""Roll-out orders: accepted once, retained through crashes, ended in one way only."""

from __future__ import annotations

import pytest
from tests.consensus.self_kept_cluster import configuration
from tests.rollouts.rollout_cluster import SECONDS, RolloutCluster

from peppershore.connection.messages.base import Message
from peppershore.connection.messages.operators import EditAnswered, SubmitEdit
from peppershore.process.control.releases import ReleaseAccepted
from peppershore.process.control.rollout_orders import (
    RolloutAccepted,
    RolloutInProgress,
    RolloutOrder,
    RolloutRefused,
    find_problem,
)
from peppershore.version.model import Edit, EditInvalid, Overrides, SetOverrides
from peppershore.version.rollout import (
    ALL_CALLS,
    COMPLETED,
    ROLLED_BACK,
    RUNNING,
    end_edit,
)


def test_an_order_is_accepted_once_and_acknowledged_again_by_any_replica() -> None:
    cluster = RolloutCluster()
    assert cluster.order(at="a") == RolloutAccepted()
    began = cluster.read_rollout("b").began_milliseconds
    assert cluster.order(at="b") == RolloutAccepted()
    assert cluster.read_rollout("c").began_milliseconds == began


def test_another_order_is_refused_while_a_roll_out_of_the_service_runs() -> None:
    cluster = RolloutCluster()
    cluster.order("v2")
    assert cluster.order("v3", at="c") == RolloutInProgress("v2")
    assert cluster.read_rollout().version == "v2"


@pytest.mark.parametrize(
    "order",
    [
        RolloutOrder("kassa", "", SECONDS),
        RolloutOrder("kassa", "v 2", SECONDS),
        RolloutOrder("kassa", "v" * 65, SECONDS),
        RolloutOrder("kassa", "v2", 0.0),
        RolloutOrder("kassa", "v2", -1.0),
        RolloutOrder("kassa", "v2", float("nan")),
        RolloutOrder("kassa", "v2", 1e12),
    ],
)
def test_an_invalid_order_is_refused(order: RolloutOrder) -> None:
    assert find_problem(order) is not None


def test_an_unknown_service_and_the_running_version_are_refused() -> None:
    cluster = RolloutCluster()
    order = RolloutOrder("nobody", "v2", SECONDS)
    assert find_problem(order) is None
    cluster.order("v2")
    cluster.abort()
    assert cluster.read_rollout().state == ROLLED_BACK


def test_what_was_taken_outlives_all_processes_and_a_lost_disk() -> None:
    cluster = RolloutCluster()
    assert cluster.order() == RolloutAccepted()
    cluster.crash("c")
    cluster.blank_disk("c")
    for name in ("a", "b"):
        cluster.crash(name)
    for name in ("a", "b", "c"):
        cluster.restart_later(name)
    assert cluster.read_rollout("c").version == "v2"


def test_a_good_version_is_completed_in_time_whoever_leads() -> None:
    cluster = RolloutCluster()
    cluster.order()
    began = cluster.time
    states: list[str] = []
    while cluster.time < began + 1.5 * SECONDS:
        cluster.run(0.5)
        if cluster.time - began > 3.0 and "crashed" not in states:
            states.append("crashed")
            leader = cluster.leader()
            assert leader is not None
            cluster.crash(leader)
            cluster.restart_later(leader)
        rollout = cluster.stored_rollout("a") or cluster.stored_rollout("b")
        assert rollout is not None
        if rollout.state != RUNNING:
            break
        cluster.add_good_evidence()
    rollout = cluster.read_rollout()
    assert (rollout.state, rollout.share) == (COMPLETED, ALL_CALLS)
    assert cluster.time - began <= SECONDS


def test_a_failing_version_is_rolled_back_within_two_seconds_of_its_failures() -> None:
    cluster = RolloutCluster()
    cluster.order()
    cluster.run(2.0)
    cluster.add_evidence("v1", 40, 0, ())
    cluster.add_evidence("v2", 10, 5, ())
    cluster.run_until(lambda: cluster.read_rollout().state == ROLLED_BACK, 2.0)
    assert cluster.read_rollout().share == 0


def test_a_version_without_calls_is_rolled_back() -> None:
    cluster = RolloutCluster()
    cluster.order()
    cluster.run(SECONDS)
    assert cluster.read_rollout().state == ROLLED_BACK


def test_of_both_ends_only_the_first_is_taken() -> None:
    """A leader that completes a roll-out races with an operator who aborts it."""
    cluster = RolloutCluster()
    cluster.order()
    rollout = cluster.read_rollout()
    leader = cluster.leader()
    assert leader is not None
    core = cluster.core(leader)
    core.submit_internally(end_edit(rollout, COMPLETED, "first"))
    core.submit_internally(end_edit(rollout, ROLLED_BACK, "second"))
    cluster.run(1.0)
    assert cluster.read_rollout().state == COMPLETED
    assert isinstance(cluster.abort(), RolloutRefused)


def test_complete_configurations_do_not_affect_a_roll_out() -> None:
    cluster = RolloutCluster()
    cluster.order()
    began = cluster.read_rollout().began_milliseconds
    number = cluster.submit("b", configuration(2, 1, timeout=500))
    assert cluster.outcome(number) == ReleaseAccepted(2)
    rollout = cluster.read_rollout()
    assert (rollout.state, rollout.began_milliseconds) == (RUNNING, began)


def test_operators_cannot_edit_the_settings_of_a_roll_out() -> None:
    cluster = RolloutCluster()
    cluster.order()
    leader = cluster.leader()
    assert leader is not None
    seen: list[Message] = []
    link = cluster.connect(leader, seen.append)
    assert link is not None
    overrides = Overrides(rollout_state=COMPLETED)
    edit = Edit("mine", (SetOverrides("/kassa", overrides),))
    cluster.send(leader, link, SubmitEdit(edit))
    cluster.run(1.0)
    answers = [each.outcome for each in seen if isinstance(each, EditAnswered)]
    assert len(answers) == 1
    assert isinstance(answers[0], EditInvalid)
    assert cluster.read_rollout().state == RUNNING


def test_a_new_order_follows_one_that_ended() -> None:
    cluster = RolloutCluster()
    cluster.order("v2")
    cluster.abort()
    first = cluster.read_rollout()
    assert cluster.order("v3") == RolloutAccepted()
    second = cluster.read_rollout()
    assert (second.version, second.state) == ("v3", RUNNING)
    assert second.began_milliseconds > first.began_milliseconds


@pytest.mark.parametrize("seed", range(1, 6))
def test_a_roll_out_never_goes_back_through_crashes_and_races(seed: int) -> None:
    """An ended roll-out never runs again, whatever crashes, orders and aborts follow."""
    cluster = RolloutCluster(seed)
    cluster.order()
    ended: dict[int, str] = {}
    for _ in range(12):
        name = cluster.random.choice(("a", "b", "c"))
        if cluster.replicas[name].core is not None and len(cluster.answers_by_number) % 2:
            cluster.crash(name)
            cluster.run(0.2)
            cluster.restart_later(name)
        cluster.run(cluster.random.uniform(0.1, 1.5))
        at = cluster.random.choice(("a", "b", "c"))
        if cluster.random.random() < 0.2:
            cluster.abort(at)
        elif cluster.random.random() < 0.3:
            cluster.order(cluster.random.choice(("v2", "v3")), at)
        rollout = cluster.read_rollout(at)
        if rollout.state != RUNNING:
            known = ended.setdefault(rollout.began_milliseconds, rollout.state)
            assert known == rollout.state
        else:
            assert rollout.began_milliseconds not in ended
