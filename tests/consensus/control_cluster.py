"""Control replicas in virtual time, with seeded links, disks, clocks and faults."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

import msgspec
from tests.consensus.invariants import Invariants
from tests.consensus.memory_store import MemoryStore

from peppershore.connection.codec import decode_message
from peppershore.connection.messages.base import Message
from peppershore.connection.messages.consensus import ReplicaHello
from peppershore.process import commands, events
from peppershore.process.consensus.records import PersistLog, Record
from peppershore.process.control.core import ControlCore
from peppershore.process.settings import ControlSettings, PeerReplica

CLIENT_LINK_STEP = 2
CHUNK_BYTES = 8_000
MAX_CLOCK_DRIFT = 0.05


class Faults(msgspec.Struct, frozen=True):
    """Probabilities of faults per message, and bounds of delays in seconds."""

    loss: float = 0.0
    duplicate: float = 0.0
    shortest_delay: float = 0.0003
    longest_delay: float = 0.001
    longest_sync: float = 0.002


NO_FAULTS = Faults()


class Replica:
    """One machine: its disk, and the core of its process while that runs."""

    def __init__(self, settings: ControlSettings, identity: int, clock_rate: float) -> None:
        self.settings = settings
        self.store = MemoryStore(identity)
        self.clock_rate = clock_rate
        self.core: ControlCore | None = None
        self.incarnation = 0
        self.paused = False
        self.disk_full = False
        self.exits: list[str] = []
        self.notices: list[commands.Notice] = []
        self.backlog: list[events.Event] = []
        self.timers: dict[str, int] = {}
        self.pending: list[PersistLog] = []
        self.refusing = False
        self.links: dict[int, tuple[str, int, int]] = {}
        """Local link id -> (peer address, link id at the peer, incarnation of the peer)."""
        self.clients: dict[int, Callable[[Message], None]] = {}


class ControlCluster:
    """Simulates replicas, links and disks; checks the invariants after every step."""

    def __init__(
        self, names: tuple[str, ...], seed: int, faults: Faults = NO_FAULTS
    ) -> None:
        self.random = random.Random(seed)
        self.faults = faults
        self.time = 0.0
        self.invariants = Invariants()
        self.replicas: dict[str, Replica] = {}
        self.cut: set[tuple[str, str]] = set()
        self._last_arrival: dict[int, float] = {}
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._links = itertools.count(CLIENT_LINK_STEP, CLIENT_LINK_STEP)
        self._founders = tuple(PeerReplica(name=name, address=name) for name in names)
        for name in names:
            self.add(name)
            self.start(name)

    # --- processes -----------------------------------------------------------

    def add(self, name: str, join: bool = False) -> None:
        """Add a machine with a blank disk; its process is not started."""
        settings = self._settings(name, () if join else self._founders, join)
        drift = self.random.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT)
        self.replicas[name] = Replica(settings, self.random.getrandbits(60), 1 + drift)

    def _settings(
        self, name: str, founders: tuple[PeerReplica, ...], join: bool
    ) -> ControlSettings:
        return ControlSettings(
            cluster="test",
            replica=name,
            listen=name,
            data_folder="",
            replicas=founders,
            join=join,
            snapshot_entries=15,
            change_id_horizon=1_000,
        )

    def _make_core(self, replica: Replica) -> ControlCore:
        return ControlCore(replica.settings, replica.store.state)

    def start(self, name: str) -> None:
        replica = self.replicas[name]
        assert replica.core is None
        replica.incarnation += 1
        replica.core = self._make_core(replica)
        consensus = replica.core.consensus
        consensus.settings = msgspec.structs.replace(
            consensus.settings, snapshot_chunk_bytes=CHUNK_BYTES
        )
        replica.paused = False
        self.event(name, events.Started(self.random.getrandbits(60)))

    def crash(self, name: str) -> None:
        """Kill the process; unsynced writes are lost.

        At random the oldest of them survive, each one complete.
        """
        replica = self.replicas[name]
        if replica.core is None:
            return
        replica.store.write(self._randomly_synced_records(replica))
        replica.core = None
        replica.timers = {}
        replica.pending = []
        replica.backlog = []
        replica.refusing = False
        replica.clients = {}
        for address, link, incarnation in replica.links.values():
            self.later(
                0.001, lambda a=address, k=link, f=incarnation: self._closed(a, k, f)
            )
        replica.links = {}

    def blank_disk(self, name: str) -> None:
        assert self.replicas[name].core is None
        self.replicas[name].store = MemoryStore(self.random.getrandbits(60))

    def pause(self, name: str) -> None:
        self.replicas[name].paused = True

    def resume(self, name: str) -> None:
        replica = self.replicas[name]
        replica.paused = False
        backlog, replica.backlog = replica.backlog, []
        for event in backlog:
            self.event(name, event)

    def leader(self) -> str | None:
        """Return the name of the running replica that leads the highest term."""
        leading = [
            (replica.core.consensus.term, name)
            for name, replica in self.replicas.items()
            if replica.core is not None and replica.core.leads
        ]
        return max(leading)[1] if leading else None

    def core(self, name: str) -> ControlCore:
        core = self.replicas[name].core
        assert core is not None
        return core

    # --- clients -------------------------------------------------------------

    def connect(self, name: str, take: Callable[[Message], None]) -> int | None:
        """Open a client link and return its id; None while the replica is down."""
        replica = self.replicas[name]
        if replica.core is None:
            return None
        link = next(self._links)
        replica.clients[link] = take
        self.event(name, events.LinkOpened(link, "client"))
        return link

    def send(self, name: str, link: int, message: Message) -> None:
        incarnation = self.replicas[name].incarnation
        event = events.MessageReceived(link, message)
        self.later(
            self._delay(), lambda: self._event_in_incarnation(name, incarnation, event)
        )

    # --- time ----------------------------------------------------------------

    def later(self, delay: float, action: Callable[[], None]) -> None:
        self.at(self.time + delay, action)

    def at(self, time: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (time, next(self._sequence), action))

    def run(self, seconds: float) -> None:
        end = self.time + seconds
        while self._queue and self._queue[0][0] <= end:
            self.time, _, action = heapq.heappop(self._queue)
            action()
        self.time = end

    def run_until(self, condition: Callable[[], bool], bound_seconds: float = 20.0) -> None:
        end = self.time + bound_seconds
        while not condition():
            assert self.time < end, (
                "the condition did not hold within the bound of virtual time"
            )
            self.run(0.01)

    # --- events and commands -------------------------------------------------

    def event(self, name: str, event: events.Event) -> None:
        replica = self.replicas[name]
        core = replica.core
        if core is None:
            return
        if replica.paused:
            replica.backlog.append(event)
            return
        for command in core.step(event, 1_000 + self.time * replica.clock_rate):
            self._carry_out(name, replica, command)
        self.invariants.check(name, core)

    def _event_in_incarnation(
        self, name: str, incarnation: int, event: events.Event
    ) -> None:
        if self.replicas[name].incarnation == incarnation:
            self.event(name, event)

    def _carry_out(self, name: str, replica: Replica, command: commands.Command) -> None:
        if isinstance(command, commands.SendMessage):
            self._send(name, replica, command.link, command.message)
        elif isinstance(command, commands.SendEncoded):
            message = decode_message(command.payload).unwrap()
            self._send(name, replica, command.link, message)
        elif isinstance(command, commands.SetTimer):
            self._set_timer(name, replica, command)
        elif isinstance(command, PersistLog):
            self._persist(name, replica, command)
        elif isinstance(command, commands.OpenLink):
            self._open(name, replica, command)
        elif isinstance(command, commands.CloseLink):
            peer = replica.links.pop(command.link, None)
            if peer is not None:
                self.later(0.001, lambda: self._closed(*peer))
        elif isinstance(command, commands.Report):
            replica.notices.append(command.notice)
            self.invariants.noticed(name, command.notice)
        elif isinstance(command, commands.Exit):
            replica.exits.append(command.reason)
            self.crash(name)

    def _set_timer(self, name: str, replica: Replica, command: commands.SetTimer) -> None:
        number = next(self._sequence)
        replica.timers[command.timer] = number

        def fire() -> None:
            if replica.timers.get(command.timer) == number:
                del replica.timers[command.timer]
                self.event(name, events.TimerFired(command.timer))

        self.later(command.delay_seconds / replica.clock_rate, fire)

    # --- disk ----------------------------------------------------------------

    def _persist(self, name: str, replica: Replica, command: PersistLog) -> None:
        incarnation = replica.incarnation
        replica.pending.append(command)
        delay = self.random.uniform(0.0, self.faults.longest_sync)
        self.later(delay, lambda: self._sync(name, replica, incarnation))

    def _sync(self, name: str, replica: Replica, incarnation: int) -> None:
        if (
            replica.incarnation != incarnation
            or not replica.pending
            or replica.core is None
        ):
            return
        pending, replica.pending = replica.pending, []
        if pending[-1].retry:
            pending = pending[-1:]
            replica.refusing = False
        if replica.disk_full or replica.refusing:
            replica.refusing = True
            for command in pending:
                self.event(name, events.RecordsFailed(command.token, "disk full"))
            return
        for command in pending:
            replica.store.write(command.records)
        self.event(name, events.RecordsPersisted(pending[-1].token))

    def _randomly_synced_records(self, replica: Replica) -> list[Record]:
        if replica.disk_full or replica.refusing or not replica.pending:
            return []
        none_synced = self.random.random() < 0.7
        count = 0 if none_synced else self.random.randint(0, len(replica.pending))
        synced = replica.pending[:count]
        return [record for command in synced for record in command.records]

    # --- links ---------------------------------------------------------------

    def _open(self, name: str, replica: Replica, command: commands.OpenLink) -> None:
        incarnation = replica.incarnation
        target = command.address

        def connect() -> None:
            peer = self.replicas.get(target)
            if replica.incarnation != incarnation or replica.core is None:
                return
            if peer is None or peer.core is None or self._is_cut(name, target):
                self.event(name, events.LinkClosed(command.link, "refused"))
                return
            accepted = next(self._links)
            replica.links[command.link] = (target, accepted, peer.incarnation)
            peer.links[accepted] = (name, command.link, incarnation)
            self.event(target, events.LinkOpened(accepted, name))
            self.event(name, events.LinkOpened(command.link, target))

        self.later(self._delay(), connect)

    def _send(self, name: str, replica: Replica, link: int, message: Message) -> None:
        client = replica.clients.get(link)
        if client is not None:
            arrival = max(self.time + self._delay(), self._last_arrival.get(link, 0.0))
            self._last_arrival[link] = arrival
            self.at(arrival, lambda: client(message))
            return
        peer = replica.links.get(link)
        if peer is None or self._is_cut(name, peer[0]):
            return
        copies = 1
        if not isinstance(message, ReplicaHello):
            copies = 0 if self.random.random() < self.faults.loss else 1
            copies += 1 if self.random.random() < self.faults.duplicate else 0
        event = events.MessageReceived(peer[1], message)
        for _ in range(copies):
            self.later(
                self._delay(), lambda: self._event_in_incarnation(peer[0], peer[2], event)
            )

    def _closed(self, name: str, link: int, incarnation: int) -> None:
        replica = self.replicas[name]
        if replica.incarnation == incarnation and replica.links.pop(link, None) is not None:
            self.event(name, events.LinkClosed(link, "closed by peer"))

    def _is_cut(self, sender: str, receiver: str) -> bool:
        return (sender, receiver) in self.cut

    def _delay(self) -> float:
        return self.random.uniform(self.faults.shortest_delay, self.faults.longest_delay)

    def cut_off(self, name: str, outgoing: bool = True, incoming: bool = True) -> None:
        """Drop all messages from or to one replica, without closing its links."""
        for other in self.replicas:
            if outgoing:
                self.cut.add((name, other))
            if incoming:
                self.cut.add((other, name))
