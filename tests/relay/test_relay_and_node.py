"""Relay and node cores together: first configuration, an edit, loss of a relay."""

from __future__ import annotations

from tests.relay.scripted_replica import timeout_change
from tests.relay.site import Site


def test_an_edit_reaches_the_nodes_it_concerns_and_no_others() -> None:
    site = Site()
    payer = site.start_node("a", "kassa")
    finder = site.start_node("b", "kuitti")
    site.network.run(1.0)
    site.edit(timeout_change("kassa", "pay", 1_234))
    site.network.run(0.02)
    assert payer.holder.snapshot.version == 2
    assert finder.holder.snapshot.version == 1
    site.network.run(3.0)
    assert finder.holder.effective_version == 2


def test_nodes_of_a_killed_relay_reconnect_and_stay_in_the_table() -> None:
    site = Site()
    names = [f"n{index}" for index in range(8)]
    for name in names:
        site.start_node(name, "kuitti")
    site.network.run(12.0)
    lost = site.relay_of("n0")
    site.network.kill(lost)
    site.network.run(2.0)
    assert all(site.relay_of(name) not in ("", lost) for name in names)
    site.network.run(30.0)
    for name in names:
        known = {endpoint.node for endpoint in site.nodes[name].known.endpoints}
        assert known == set(names)
