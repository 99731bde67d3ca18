"""Random faults on relay and node cores.

No node may go back to a lower version or hold a partial configuration, and all nodes must
converge.
"""

from __future__ import annotations

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from tests.relay.scripted_replica import timeout_change
from tests.relay.site import RELAYS, Site

from peppershore.process.node.commands import ConfigurationSwapped, PersistSnapshot
from peppershore.process.node.core import NodeCore, NodeMemory
from peppershore.version.closure import find_gaps
from peppershore.version.digest import snapshot_digest
from peppershore.version.model import Version

RELAY_NAMES = st.sampled_from([relay.name for relay in RELAYS])
NODES = {"a": "kassa", "b": "kuitti", "c": "kassa"}
NODE_NAMES = st.sampled_from(sorted(NODES))
WITH_DISK = frozenset({"a"})
SETTLE_SECONDS = 60.0


class RelayAndNodes(RuleBasedStateMachine):
    """Node "a" has a disk; the others lose all memory at a restart."""

    def __init__(self) -> None:
        super().__init__()
        self.site = Site()
        self.highest: dict[str, Version] = dict.fromkeys(NODES, 0)
        self.starts = 0
        for name in NODES:
            self._start_node(name, None)

    def _start_node(self, name: str, memory: NodeMemory | None) -> NodeCore:
        self.starts += 1
        memory = memory or NodeMemory(incarnation=self.starts)
        folder = "disk" if name in WITH_DISK else ""
        return self.site.start_node(
            name, NODES[name], memory, seed=self.starts, data_folder=folder
        )

    @rule(route=st.sampled_from(["kassa/pay", "kuitti/find"]), seconds=st.integers(1, 99))
    def edit(self, route: str, seconds: int) -> None:
        service, _, name = route.partition("/")
        self.site.edit(timeout_change(service, name, 1_000 * seconds))

    @rule(milliseconds=st.sampled_from([0, 1, 2, 10, 200, 3_000, 12_000]))
    def let_run(self, milliseconds: int) -> None:
        self.site.network.run(milliseconds / 1_000)

    @rule(name=NODE_NAMES)
    def restart_node(self, name: str) -> None:
        process = self.site.network.processes[name]
        synced = process.synced_tokens
        stored = [
            command.snapshot
            for command in process.others
            if isinstance(command, PersistSnapshot) and command.token in synced
        ]
        self.site.network.kill(name)
        memory = None
        if stored:
            self.starts += 1
            memory = NodeMemory(self.starts, stored[-1].version, stored[-1])
        elif name in WITH_DISK:
            held = self.site.nodes[name].holder
            assert held.snapshot.version == 0 or process.restored is not None
            memory = process.restored
        self._start_node(name, memory)
        self.site.network.processes[name].restored = memory

    @rule(name=RELAY_NAMES)
    def restart_relay(self, name: str) -> None:
        self.site.restart_relay(name)

    @rule(name=RELAY_NAMES)
    def freeze_relay(self, name: str) -> None:
        self.site.network.freeze(name)

    @rule(name=RELAY_NAMES)
    def thaw_relay(self, name: str) -> None:
        self.site.network.thaw(name)

    @rule(one=RELAY_NAMES, other=st.sampled_from(["replica", "r1", "r2", "r3", *NODES]))
    def cut(self, one: str, other: str) -> None:
        if one != other:
            self.site.network.cut(one, other)

    @rule()
    def heal(self) -> None:
        self.site.network.heal()

    @rule(has_quorum=st.booleans())
    def change_quorum(self, has_quorum: bool) -> None:
        self.site.replica.has_quorum = has_quorum

    @invariant()
    def no_node_goes_back_or_holds_a_part(self) -> None:
        for name, core in self.site.nodes.items():
            snapshot = core.holder.snapshot
            if core.holder.holds_nothing:
                continue
            assert snapshot.version >= self.highest[name], f"{name} went back"
            self.highest[name] = snapshot.version
            resources = snapshot.resources.values()
            assert snapshot_digest(snapshot.scope, resources) == snapshot.digest
            assert not find_gaps(snapshot.scope, resources)
            self._check_order_of_use(name)

    def _check_order_of_use(self, name: str) -> None:
        process = self.site.network.processes[name]
        used = [
            command.active.version
            for command in process.others
            if isinstance(command, ConfigurationSwapped)
        ]
        assert used == sorted(set(used))

    def teardown(self) -> None:
        for name in list(self.site.relays):
            self.site.network.thaw(name)
        self.site.network.heal()
        self.site.replica.has_quorum = True
        self.site.network.run(SETTLE_SECONDS)
        self.no_node_goes_back_or_holds_a_part()
        catalog = self.site.relays["r1"].follower.catalog
        assert catalog.version == self.site.replica.tree.version
        for name, core in self.site.nodes.items():
            scope = core.holder.snapshot.scope
            assert core.holder.digest == catalog.digest(scope), f"{name} did not converge"
            assert core.holder.effective_version == catalog.version
            known = {each.node for each in core.known.endpoints}
            wanted = {
                other for other in NODES if NODES[other] in catalog.services_held(scope)
            }
            assert known == wanted, f"{name} knows {known}"


TestRelayAndNodes = RelayAndNodes.TestCase
TestRelayAndNodes.settings = settings(
    max_examples=60,
    stateful_step_count=30,
    suppress_health_check=[HealthCheck.too_slow],
)
