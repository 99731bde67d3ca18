"""What each fault does to the cluster, and how it is undone."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from peppershore.process.events import StopRequested
from peppershore_lab.simulator.fault_kinds import Fault
from peppershore_lab.simulator.process import SimulatedProcess
from peppershore_lab.simulator.site import SimulatedSite

MAX_CLOCK_JUMP_SECONDS = 20.0
SLOW_ONE_WAY_SECONDS = 0.08
MAX_RESETS = 5
SLOW_DISK_FACTOR = 50.0
"""A sync then takes 0.1 s to 1 s."""

Action = Callable[[], None]


def nothing() -> None:
    """Nothing is left to undo."""


@dataclass(frozen=True)
class Effect:
    """A fault that was brought about: on whom, and how to end it."""

    victims: tuple[SimulatedProcess, ...]
    undo: Action = nothing


class FaultActions:
    """Brings single faults about, on victims drawn from the cluster's seed."""

    def __init__(self, cluster: SimulatedSite) -> None:
        """Act on this cluster."""
        self._cluster = cluster
        self._randomness = cluster.randomness
        self._actions: dict[Fault, Callable[[], Effect]] = {
            Fault.CRASH_REPLICA: lambda: self._crash(self._one(cluster.replicas)),
            Fault.CRASH_ALL_REPLICAS: lambda: self._crash(*cluster.replicas),
            Fault.CRASH_RELAY: lambda: self._crash(self._one(cluster.relays)),
            Fault.CRASH_ALL_RELAYS: lambda: self._crash(*cluster.relays),
            Fault.CRASH_NODE: lambda: self._crash(self._one(cluster.nodes)),
            Fault.CRASH_ALL_NODES: lambda: self._crash(*cluster.nodes),
            Fault.LOSE_NODE_MEMORY: self._lose_memory,
            Fault.CRASH_OPERATOR: lambda: self._crash(self._one(cluster.operators)),
            Fault.FREEZE_REPLICA: lambda: self._freeze(self._one(cluster.replicas)),
            Fault.FREEZE_RELAY: lambda: self._freeze(self._one(cluster.relays)),
            Fault.FREEZE_NODE: lambda: self._freeze(self._one(cluster.nodes)),
            Fault.ISOLATE_REPLICA: lambda: self._isolate(self._one(cluster.replicas)),
            Fault.ISOLATE_LEADER: self._isolate_leader,
            Fault.ISOLATE_RELAY: lambda: self._isolate(self._one(cluster.relays)),
            Fault.SEPARATE_RELAY_FROM_REPLICAS: self._separate_relay,
            Fault.ISOLATE_NODE: lambda: self._isolate(self._one(cluster.nodes)),
            Fault.CUT_ONE_WAY: self._cut_one_way,
            Fault.RESET_LINKS: self._reset_links,
            Fault.SLOW_NETWORK: self._slow_network,
            Fault.JUMP_CLOCK: self._jump_clock,
            Fault.REFUSE_DISK: self._refuse_disk,
            Fault.SLOW_DISK: self._slow_disk,
            Fault.CRASH_FLEET: lambda: self._crash(*cluster.relays, *cluster.nodes),
            Fault.ISOLATE_ZONE: self._isolate_zone,
            Fault.LOSE_REPLICA: lambda: self._lose_replica(nothing),
            Fault.LOSE_SECOND_REPLICA: self._lose_second_replica,
            Fault.STOP_NODE: self._stop_node,
            Fault.SUSPEND_REPLICA: lambda: self._suspend(self._one(cluster.replicas)),
            Fault.SUSPEND_LEADER: lambda: self._suspend(cluster.leader_or_any()),
            Fault.SUSPEND_RELAY: lambda: self._suspend(self._one(cluster.relays)),
            Fault.SUSPEND_NODE: lambda: self._suspend(self._one(cluster.nodes)),
        }

    def bring_about(self, kind: Fault) -> Effect:
        """Bring one fault about now."""
        return self._actions[kind]()

    def _one(self, processes: list[SimulatedProcess]) -> SimulatedProcess:
        return self._randomness.choice(processes)

    def _crash(self, *processes: SimulatedProcess) -> Effect:
        victims = tuple(process for process in processes if process.is_running)
        for process in victims:
            process.crash()
        return Effect(victims, lambda: _start(victims))

    def _lose_memory(self) -> Effect:
        victim = self._one(self._cluster.nodes)
        if victim.is_running:
            victim.crash()
        victim.role.lose_disk()
        return Effect((victim,), lambda: _start((victim,)))

    def _freeze(self, victim: SimulatedProcess) -> Effect:
        victim.freeze()
        return Effect((victim,), victim.thaw)

    def _suspend(self, victim: SimulatedProcess) -> Effect:
        victim.suspend()
        return Effect((victim,), victim.wake)

    def _isolate(self, victim: SimulatedProcess) -> Effect:
        return self._separate(victim, self._cluster.processes)

    def _isolate_leader(self) -> Effect:
        return self._separate(self._cluster.leader_or_any(), self._cluster.replicas)

    def _separate_relay(self) -> Effect:
        return self._separate(self._one(self._cluster.relays), self._cluster.replicas)

    def _isolate_zone(self) -> Effect:
        cluster = self._cluster
        zone = self._randomness.choice(cluster.zones)
        inside = cluster.processes_of_zone(zone)
        outside = [each for each in cluster.processes if each not in inside]
        effects = [self._separate(process, outside) for process in inside]

        def undo() -> None:
            for effect in effects:
                effect.undo()

        return Effect(tuple(inside), undo)

    def _separate(self, victim: SimulatedProcess, others: list[SimulatedProcess]) -> Effect:
        network = self._cluster.network
        names = [other.name for other in others if other is not victim]
        for name in names:
            network.cut(victim.name, name)
            network.cut(name, victim.name)

        def undo() -> None:
            for name in names:
                network.heal_between(victim.name, name)

        return Effect((victim,), undo)

    def _lose_replica(self, when_replaced: Action) -> Effect:
        """Lose one disk; while another one is not yet replaced, only crash."""
        cluster = self._cluster
        victim = self._one(cluster.replicas)
        if cluster.replacements or not cluster.is_group_whole():
            return self._crash(victim)
        if victim.is_running:
            victim.crash()
        victim.role.lose_disk()
        cluster.replace(victim, when_replaced)
        return Effect((victim,), lambda: _start((victim,)))

    def _lose_second_replica(self) -> Effect:
        return self._lose_replica(self._lose_replica_at_once)

    def _lose_replica_at_once(self) -> None:
        """The second loss: its process starts again at once, with a blank disk."""
        effect = self._lose_replica(nothing)
        names = ", ".join(process.name for process in effect.victims)
        self._cluster.trace.note(self._cluster.scheduler.now, f"second loss: {names}")
        effect.undo()

    def _stop_node(self) -> Effect:
        victim = self._one(self._cluster.nodes)
        victim.take(StopRequested())
        return Effect((victim,), lambda: _start((victim,)))

    def _cut_one_way(self) -> Effect:
        network = self._cluster.network
        sender, receiver = self._randomness.sample(self._cluster.processes, 2)
        network.cut(sender.name, receiver.name)

        def undo() -> None:
            network.heal_between(sender.name, receiver.name)

        return Effect((sender, receiver), undo)

    def _reset_links(self) -> Effect:
        for _ in range(self._randomness.randint(1, MAX_RESETS)):
            self._cluster.network.reset_random_link()
        return Effect(())

    def _slow_network(self) -> Effect:
        network = self._cluster.network
        usual = network.jitter_seconds
        network.jitter_seconds = SLOW_ONE_WAY_SECONDS

        def undo() -> None:
            network.jitter_seconds = usual

        return Effect((), undo)

    def _jump_clock(self) -> Effect:
        cluster = self._cluster
        victim = self._one([*cluster.replicas, *cluster.relays, *cluster.nodes])
        victim.jump_clock(self._randomness.random() * MAX_CLOCK_JUMP_SECONDS)
        return Effect((victim,))

    def _refuse_disk(self) -> Effect:
        victim = self._one([*self._cluster.replicas, *self._cluster.nodes])
        victim.disk_fails = True

        def undo() -> None:
            victim.disk_fails = False

        return Effect((victim,), undo)

    def _slow_disk(self) -> Effect:
        victim = self._one([*self._cluster.replicas, *self._cluster.nodes])
        victim.disk_slowness = SLOW_DISK_FACTOR

        def undo() -> None:
            victim.disk_slowness = 1.0

        return Effect((victim,), undo)


def _start(processes: tuple[SimulatedProcess, ...]) -> None:
    for process in processes:
        if not process.is_running:
            process.start()
