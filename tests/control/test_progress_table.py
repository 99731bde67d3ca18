"""The version in force never exceeds what the relays are known to have."""

from __future__ import annotations

from tests.version.trees import edit_of

from peppershore.connection.messages.relay import LaggingNode, ProgressReported
from peppershore.process.control.progress import (
    RELAY_EXPIRY_SECONDS,
    RELAY_SILENT_SECONDS,
    ProgressTable,
)
from peppershore.process.control.rotation import RotationBarrier
from peppershore.version.model import PutSecret
from peppershore.version.tree import apply_edit, empty_tree

BOTH = ("r1", "r2")


class Relay:
    """Makes the reports of one relay, also after restarts."""

    def __init__(self, name: str, known_relays: tuple[str, ...] = BOTH) -> None:
        self._name = name
        self._known_relays = known_relays
        self._incarnation = 1
        self._number = 0

    def restart(self) -> None:
        self._incarnation += 1
        self._number = 0

    def report(
        self,
        version: int,
        in_force: int | None = None,
        settled: bool = True,
        silent: tuple[LaggingNode, ...] = (),
    ) -> ProgressReported:
        self._number += 1
        in_force = version if in_force is None else in_force
        return ProgressReported(
            relay=self._name,
            zone="pasila",
            version=version,
            in_force=in_force,
            nodes=1,
            lagging=(),
            control_bytes=0,
            incarnation=self._incarnation,
            settled=settled,
            relays=self._known_relays,
            number=self._number,
            silent=silent,
        )


def _table(version: int) -> tuple[ProgressTable, Relay, Relay]:
    table, first, second = ProgressTable(), Relay("r1"), Relay("r2")
    table.add_report(first.report(version), 0.0, 0.0)
    table.add_report(second.report(version), 0.0, 0.0)
    assert table.in_force == version
    return table, first, second


def test_nothing_is_in_force_before_every_relay_that_is_heard_has_reported() -> None:
    table, first, second = ProgressTable(), Relay("r1"), Relay("r2")
    table.add_report(first.report(7), 0.0, 0.0)
    assert table.in_force == 0
    assert table.awaited(0.0) == ("r2",)
    table.add_report(second.report(6), 0.1, 0.1)
    assert table.in_force == 6
    assert table.awaited(0.1) == ()


def test_a_restarted_relay_does_not_raise_what_is_in_force_before_it_is_settled() -> None:
    table, first, second = _table(5)
    first.restart()
    table.add_report(first.report(9, settled=False), 1.0, 1.0)
    table.add_report(second.report(9), 1.0, 1.0)
    assert table.in_force == 5
    table.add_report(first.report(9), 9.0, 9.0)
    assert table.in_force == 9


def test_a_restarted_relay_does_not_lower_what_is_in_force_while_it_catches_up() -> None:
    table, first, second = _table(5)
    first.restart()
    table.add_report(first.report(0, settled=False), 1.0, 1.0)
    assert table.in_force == 5
    table.add_report(first.report(4, settled=False), 1.1, 1.1)
    assert table.in_force == 5
    table.add_report(second.report(6, in_force=3), 1.2, 1.2)
    table.add_report(second.report(6), 1.3, 1.3)
    assert table.in_force == 3, "a node that moved to r1 may lack what r1 lacks"
    table.add_report(first.report(6, settled=False), 1.4, 1.4)
    assert table.in_force == 5


def test_a_lagging_node_of_a_restarted_relay_lowers_what_is_in_force() -> None:
    table, first, _ = _table(5)
    first.restart()
    table.add_report(first.report(6, in_force=3, settled=False), 1.0, 1.0)
    assert table.in_force == 3


def test_a_relay_that_was_unknown_counts_for_no_more_than_what_was_in_force() -> None:
    table, _, second = _table(5)
    third = Relay("r3", ("r1", "r2", "r3"))
    table.add_report(third.report(8, settled=False), 1.0, 1.0)
    table.add_report(second.report(8), 1.0, 1.0)
    assert table.in_force == 5


def test_a_late_report_of_a_former_life_or_of_before_is_not_taken() -> None:
    table, first, _ = _table(5)
    late = first.report(8)
    table.add_report(first.report(7, in_force=4), 1.0, 1.0)
    assert not table.add_report(late, 2.0, 2.0)
    late = first.report(8)
    first.restart()
    table.add_report(first.report(7, in_force=4, settled=False), 3.0, 3.0)
    assert not table.add_report(late, 4.0, 4.0)
    assert table.in_force == 4


def test_a_silent_relay_is_forgotten_only_when_no_other_relay_hears_it() -> None:
    table, _, second = _table(5)
    alone = Relay("r2", ("r2",))
    late = RELAY_EXPIRY_SECONDS + 1.0
    second.restart()
    table.add_report(second.report(9), late, late)
    table.refresh(late)
    assert table.in_force == 5
    alone.restart()
    alone.restart()
    table.add_report(alone.report(9), late + 1.0, late + 1.0)
    table.refresh(late + 1.0)
    assert table.in_force == 9


def test_a_relay_named_only_by_a_silent_one_is_not_awaited_for_ever() -> None:
    table, first = ProgressTable(), Relay("r1")
    table.add_report(first.report(7), 0.0, 0.0)
    assert table.awaited(RELAY_SILENT_SECONDS) == ()


def test_a_rotation_waits_for_a_relay_that_has_not_reported_or_is_not_settled() -> None:
    secret = edit_of(PutSecret("kassa", b"0" * 32), PutSecret("kassa", b"1" * 32))
    tree = apply_edit(empty_tree("test"), secret, 5).unwrap().tree
    table, first, second = ProgressTable(), Relay("r1"), Relay("r2")
    barrier = RotationBarrier(table, -RELAY_SILENT_SECONDS)
    table.add_report(first.report(5), 0.0, 0.0)
    assert barrier.due(tree, 0.0) == []
    assert "no report from relay r2" in barrier.descriptions(tree, 0.0)[0]
    table.add_report(second.report(5, settled=False), 0.0, 0.0)
    assert barrier.due(tree, 0.0) == []
    assert "started a moment ago" in barrier.descriptions(tree, 0.0)[0]
    table.add_report(second.report(5), 1.0, 1.0)
    assert len(barrier.due(tree, 1.0)) == 1


def test_a_rotation_waits_for_a_silent_node_and_names_every_obstacle() -> None:
    secret = edit_of(PutSecret("kassa", b"0" * 32), PutSecret("kassa", b"1" * 32))
    tree = apply_edit(empty_tree("test"), secret, 5).unwrap().tree
    table, first, second = ProgressTable(), Relay("r1"), Relay("r2")
    barrier = RotationBarrier(table, 0.0)
    silent = LaggingNode("kassa-2", "kassa", "pasila", 4, "its session ended")
    table.add_report(first.report(5, silent=(silent,)), 0.0, 0.0)
    (text,) = barrier.descriptions(tree, 0.0)
    assert "this replica started a moment ago" in text
    assert "no report from relay r2" in text
    assert "kassa-2 (its session ended)" in text
    table.add_report(second.report(5), 0.0, 0.0)
    table.add_report(first.report(5, silent=(silent,)), 60.0, 60.0)
    table.add_report(second.report(5), 60.0, 60.0)
    assert barrier.due(tree, 60.0) == []
    table.add_report(first.report(5), 61.0, 61.0)
    assert len(barrier.due(tree, 61.0)) == 1


def test_a_new_leader_lets_every_relay_report_before_a_rotation_goes_on() -> None:
    secret = edit_of(PutSecret("kassa", b"0" * 32), PutSecret("kassa", b"1" * 32))
    tree = apply_edit(empty_tree("test"), secret, 5).unwrap().tree
    table, first, second = ProgressTable(), Relay("r1"), Relay("r2")
    barrier = RotationBarrier(table, 0.0)
    for at in (0.0, 59.0):
        table.add_report(first.report(5), at, at)
        table.add_report(second.report(5), at, at)
    barrier.restart(60.0)
    assert barrier.due(tree, 60.0) == []
    table.add_report(first.report(5), 60.0 + RELAY_SILENT_SECONDS, 70.0)
    table.add_report(second.report(5), 60.0 + RELAY_SILENT_SECONDS, 70.0)
    assert len(barrier.due(tree, 60.0 + RELAY_SILENT_SECONDS)) == 1
