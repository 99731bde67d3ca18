"""Nodes, relays and leaders that grant calls, under virtual time and with faults.

The real decisions (``NodeGrants``, ``RelayPool``, ``Decider``) joined by links with a
delay.  Every call that runs is noted with its time: the bound is checked on these.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from peppershore.connection.codec import encode_message
from peppershore.connection.framing import HEADER_BYTES
from peppershore.connection.messages.base import Message
from peppershore.connection.messages.quotas import QuotaAsked, QuotaGranted
from peppershore.process.commands import Command, SendMessage, SetTimer
from peppershore.process.quotas.decider import Decider
from peppershore.process.quotas.limits import Limit
from peppershore.process.quotas.node_grants import (
    Decision,
    Denied,
    Granted,
    NodeGrants,
    Waiter,
)
from peppershore.process.quotas.relay_pool import RelayPool
from peppershore.process.quotas.terms import most_calls
from peppershore.process.settings import QuotaSettings

QUOTAS = QuotaSettings(window_seconds=5.0, overshoot=0.1, slack=20.0)
IN_ZONE_SECONDS = 0.0005
ACROSS_SECONDS = 0.003
SOURCE = 1
"""A relay's link to the group; nodes have the links from 2 on."""

PATIENCE_SECONDS = 0.3


@dataclass
class Process:
    """What can stand still: its events wait until it goes on."""

    name: str
    is_frozen: bool = False
    is_dead: bool = False
    waiting: list[Callable[[], None]] = field(default_factory=list)
    sent: int = 0
    bytes_sent: int = 0
    received: int = 0
    bytes_received: int = 0


class NodeProcess(Process):
    """One node and its relay's name."""

    def __init__(self, name: str, relay: str) -> None:
        """Begin without grants."""
        super().__init__(name)
        self.relay = relay
        self.grants = NodeGrants(QUOTAS)
        self.timer_at = math.inf


class RelayProcess(Process):
    """One relay; a restart gives it another pool."""

    def __init__(self, name: str, life: int) -> None:
        """Begin its first life."""
        super().__init__(name)
        self.timers: dict[str, int] = {}
        self.begin(life)

    def begin(self, life: int) -> None:
        """Begin a life that knows nothing of an earlier one."""
        self.pool = RelayPool(QUOTAS)
        self.pool.life = life


class LeaderProcess(Process):
    """A replica that believes to lead; ``has_turn`` is what its lease says."""

    def __init__(self, name: str, term: int, now: float, limits: dict[str, Limit]) -> None:
        """Begin with empty buckets."""
        super().__init__(name)
        self.has_turn = True
        self.decider = Decider(QUOTAS, term, now)
        self.decider.use_limits(dict(limits), now)


class World:
    """Runs processes until a virtual time."""

    def __init__(
        self,
        limits: dict[str, Limit],
        nodes: int = 12,
        relays: int = 4,
        seed: int = 1,
    ) -> None:
        """Start all processes and elect a leader."""
        self.now = 0.0
        self.random = random.Random(seed)
        self.limits = limits
        self.cuts: set[frozenset[str]] = set()
        self.ran: dict[str, list[float]] = {}
        self.asked: dict[str, list[float]] = {}
        self.denied: dict[str, list[float]] = {}
        self.unanswered: dict[str, list[float]] = {}
        self.waits: list[float] = []
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._lives = itertools.count(1)
        self.relays = {f"r{i}": RelayProcess(f"r{i}", self._life()) for i in range(relays)}
        self.nodes = {f"n{i}": NodeProcess(f"n{i}", f"r{i % relays}") for i in range(nodes)}
        self._terms = itertools.count(1)
        self.leader: LeaderProcess | None = None
        self.elect()

    # --- faults

    def elect(self) -> LeaderProcess:
        """Another leader begins; the former one must have lost its turn."""
        assert self.leader is None or not self.leader.has_turn
        term = next(self._terms)
        self.leader = LeaderProcess(f"l{term}", term, self.now, self.limits)
        return self.leader

    def change(self, **limits: Limit | None) -> None:
        """Commit other limits; None takes a tenant away."""
        for tenant, limit in limits.items():
            if limit is None:
                del self.limits[tenant]
            else:
                self.limits[tenant] = limit
        assert self.leader is not None
        self.leader.decider.use_limits(dict(self.limits), self.now)

    def cut(self, one: str, other: str) -> None:
        """Lose what two processes send each other."""
        self.cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """End all cuts."""
        self.cuts.clear()

    def thaw(self, process: Process) -> None:
        """Let a process that stood still go on with what came meanwhile."""
        process.is_frozen = False
        waiting, process.waiting = process.waiting, []
        for event in waiting:
            event()

    def restart(self, relay: str) -> None:
        """Start a relay anew: what it held and owed is forgotten."""
        process = self.relays[relay]
        process.timers.clear()
        process.begin(self._life())

    def everything_dark(self, seconds: float) -> None:
        """Lose all machines at once; they come back with nothing in memory."""
        assert self.leader is not None
        self.leader.has_turn = False
        self.run(seconds)
        for relay in self.relays:
            self.restart(relay)
        for node in self.nodes.values():
            node.grants = NodeGrants(QUOTAS)
        self.elect()

    # --- load

    def offer(
        self, tenant: str, rate: float, seconds: float, nodes: Iterable[str] = ()
    ) -> None:
        """Let a tenant's calls come at random over some nodes, or all."""
        chosen = list(nodes) or list(self.nodes)
        at = self.now
        while True:
            at += self.random.expovariate(rate)
            if at >= self.now + seconds:
                return
            self._come(at, self.nodes[self.random.choice(chosen)], tenant)

    def calls(self, tenant: str, kind: str = "ran") -> list[float]:
        """Give the times of calls that "ran", or were "asked", "denied", "unanswered"."""
        found: dict[str, list[float]] = getattr(self, kind)
        return found.get(tenant, [])

    def _come(self, at: float, node: NodeProcess, tenant: str) -> None:
        self._at(at, lambda: self._call(node, tenant))

    def _call(self, node: NodeProcess, tenant: str) -> None:
        if node.is_frozen:
            node.waiting.append(lambda: self._call(node, tenant))
            return
        self.asked.setdefault(tenant, []).append(self.now)
        waiter = Waiter(self.now, self.now + PATIENCE_SECONDS)
        decision = node.grants.take(tenant, waiter, self.now)
        if decision is not None:
            self._decided([(waiter, decision, tenant)])
        self._ask(node)

    def _decided(self, decisions: list[tuple[Waiter, Decision, str]]) -> None:
        for waiter, decision, tenant in decisions:
            if isinstance(decision, Granted):
                self.ran.setdefault(tenant, []).append(self.now)
                self.waits.append(self.now - waiter.call)
            elif isinstance(decision, Denied):
                self.denied.setdefault(tenant, []).append(self.now)
            else:
                self.unanswered.setdefault(tenant, []).append(self.now)

    # --- time

    def run(self, seconds: float) -> None:
        """Go on for some virtual time."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = end

    def _at(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (at, next(self._order), action))

    def _life(self) -> int:
        return next(self._lives) * 1_000_003

    def _to(self, process: Process, event: Callable[[], None]) -> None:
        if process.is_frozen:
            process.waiting.append(event)
        else:
            event()

    # --- links

    def _send(
        self, sender: Process, receiver: Process, delay: float, message: Message,
        event: Callable[[], None],
    ) -> None:  # fmt: skip
        size = len(encode_message(message)) + HEADER_BYTES
        sender.sent += 1
        sender.bytes_sent += size
        receiver.received += 1
        receiver.bytes_received += size
        if frozenset((sender.name, receiver.name)) in self.cuts:
            return
        jitter = self.random.uniform(0.8, 1.6) * delay
        self._at(self.now + jitter, lambda: self._to(receiver, event))

    def _ask(self, node: NodeProcess) -> None:
        ask = node.grants.due_ask(self.now)
        if ask is not None:
            self._to_relay(node, ask)
        due = node.grants.next_due(self.now)
        if due is not None and due < node.timer_at:
            node.timer_at = max(due, self.now + 0.001)
            at = node.timer_at
            self._at(at, lambda: self._to(node, lambda: self._tick(node, at)))

    def _to_relay(self, node: NodeProcess, ask: QuotaAsked) -> None:
        relay = self.relays[node.relay]
        link = 2 + int(node.name[1:])

        def arrive() -> None:
            self._relay(relay, relay.pool.node_asked(link, ask, SOURCE, self.now))

        self._send(node, relay, IN_ZONE_SECONDS, ask, arrive)

    def _tick(self, node: NodeProcess, at: float) -> None:
        if node.timer_at == at:
            node.timer_at = math.inf
        self._decided(node.grants.expired(self.now))
        self._ask(node)

    def _relay(self, relay: RelayProcess, commands: list[Command]) -> None:
        for command in commands:
            if isinstance(command, SetTimer):
                self._set_timer(relay, command)
            elif isinstance(command, SendMessage) and command.link == SOURCE:
                assert isinstance(command.message, QuotaAsked)
                self._to_leader(relay, command.message)
            elif isinstance(command, SendMessage):
                assert isinstance(command.message, QuotaGranted)
                self._to_node(relay, command.link, command.message)

    def _set_timer(self, relay: RelayProcess, command: SetTimer) -> None:
        number = next(self._order)
        relay.timers[command.timer] = number

        def fire() -> None:
            if relay.timers.get(command.timer) == number:
                self._relay(relay, relay.pool.timer(SOURCE, self.now))

        self._at(self.now + command.delay_seconds, lambda: self._to(relay, fire))

    def _to_node(self, relay: RelayProcess, link: int, granted: QuotaGranted) -> None:
        node = self.nodes[f"n{link - 2}"]

        def arrive() -> None:
            self._decided(node.grants.answered(granted, self.now))
            self._ask(node)

        self._send(relay, node, IN_ZONE_SECONDS, granted, arrive)

    def _to_leader(self, relay: RelayProcess, ask: QuotaAsked) -> None:
        leader, pool = self.leader, relay.pool
        assert leader is not None

        def decide() -> None:
            asker = f"{relay.name}/{ask.life}"
            if leader.has_turn:
                granted = leader.decider.answer(asker, ask.number, ask.asks, self.now)
            else:
                granted = QuotaGranted(ask.number, (), 0, is_known=False)
            if not leader.is_dead:
                self._send(leader, relay, ACROSS_SECONDS, granted, lambda: arrive(granted))

        def arrive(granted: QuotaGranted) -> None:
            if relay.pool is pool:
                self._relay(relay, pool.granted(granted, SOURCE, self.now))

        self._send(relay, leader, ACROSS_SECONDS, ask, decide)


def fullest_window(times: list[float], seconds: float) -> int:
    """Give the most calls in any window of that length."""
    most, first = 0, 0
    ordered = sorted(times)
    for last, at in enumerate(ordered):
        while ordered[first] <= at - seconds:
            first += 1
        most = max(most, last - first + 1)
    return most


def bound_of(limit: Limit) -> float:
    """Give the bound on calls in one window."""
    return most_calls(limit.rate, limit.burst, QUOTAS)


def assert_within(world: World, tenant: str, limit: Limit, since: float = 0.0) -> None:
    """Check every window of a tenant's calls that ran."""
    times = [at for at in world.calls(tenant) if at >= since]
    assert fullest_window(times, QUOTAS.window_seconds) <= bound_of(limit)
