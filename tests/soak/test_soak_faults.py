"""The faults of a soak come from its seed alone, overlap, and strike every role."""

from __future__ import annotations

from peppershore_lab.soak.faults import KINDS, draw_faults

HUBS = ("hub-1", "hub-2", "hub-3")
NODES = ("node-1", "node-2")


def test_the_same_seed_draws_the_same_faults() -> None:
    assert draw_faults(7, 60.0, HUBS, NODES) == draw_faults(7, 60.0, HUBS, NODES)
    assert draw_faults(7, 60.0, HUBS, NODES) != draw_faults(8, 60.0, HUBS, NODES)


def test_every_kind_is_drawn_and_strikes_where_it_can() -> None:
    faults = [fault for seed in range(20) for fault in draw_faults(seed, 60.0, HUBS, NODES)]
    assert {fault.kind for fault in faults} == {kind for kind, _ in KINDS}
    assert {fault.machine for fault in faults if fault.kind == "wipe"} == set(HUBS)
    assert {fault.machine for fault in faults if fault.kind == "leave"} == set(NODES)


def test_faults_overlap() -> None:
    faults = draw_faults(1, 60.0, HUBS, NODES)
    pairs = zip(faults, faults[1:], strict=False)
    assert any(first.at + first.seconds > second.at for first, second in pairs)
