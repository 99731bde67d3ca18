"""Relay and node cores together: the first path, an edit, the loss of a relay."""

from __future__ import annotations

from tests.relay.scripted_replica import (
    CLUSTER,
    AcceptEdit,
    ScriptedReplica,
    base_operations,
    timeout_change,
)
from tests.relay.virtual_network import VirtualNetwork

from peppershore.process.node.core import NodeCore, NodeMemory
from peppershore.process.relay.core import RelayCore
from peppershore.process.settings import (
    NodeSettings,
    PeerRelay,
    PeerReplica,
    RelaySettings,
)

RELAYS = tuple(
    PeerRelay(name=name, zone=zone, address=name)
    for name, zone in (("r1", "pasila"), ("r2", "pasila"), ("r3", "vantaa"))
)


class Site:
    """One replica, three relays, and nodes as they are added."""

    def __init__(self, **relay_settings: int) -> None:
        self.network = VirtualNetwork()
        self.replica = ScriptedReplica()
        self.relays: dict[str, RelayCore] = {}
        self.nodes: dict[str, NodeCore] = {}
        self._relay_settings = relay_settings
        self.network.start("replica", self.replica)
        self.edit(base_operations())
        for relay in RELAYS:
            self.start_relay(relay)

    def start_relay(self, relay: PeerRelay) -> RelayCore:
        core = RelayCore(
            RelaySettings(
                cluster=CLUSTER,
                relay=relay.name,
                zone=relay.zone,
                listen="",
                replicas=(PeerReplica(name="replica", address="replica"),),
                relays=RELAYS,
                **self._relay_settings,
            )
        )
        self.relays[relay.name] = core
        self.network.start(relay.name, core)
        return core

    def start_node(
        self,
        name: str,
        service: str,
        memory: NodeMemory | None = None,
        data_folder: str = "",
    ) -> NodeCore:
        settings = NodeSettings(
            cluster=CLUSTER,
            node=name,
            service=service,
            zone="pasila",
            listen="",
            relays=RELAYS,
            backend=f"{name}:80",
            data_folder=data_folder,
        )
        core = NodeCore(settings, memory or NodeMemory(incarnation=1))
        self.nodes[name] = core
        self.network.start(name, core)
        return core

    def edit(self, operations: tuple[object, ...]) -> None:
        self.network.give("replica", AcceptEdit(operations))  # type: ignore[arg-type]

    def relay_of(self, name: str) -> str:
        active = self.nodes[name].sessions.active
        return active.relay.name if active is not None else ""


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


def test_a_lost_relay_is_left_and_its_nodes_stay_in_the_table() -> None:
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
