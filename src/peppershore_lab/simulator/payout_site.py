"""A simulated site with a claims group, nodes that use it, and impatient callers."""

from __future__ import annotations

import itertools
from dataclasses import dataclass

from peppershore.process import commands, events
from peppershore.process.claims.core import ClaimsCore
from peppershore.process.consensus.records import StoredState
from peppershore.process.settings import ClaimsSettings, PeerReplica
from peppershore_lab.simulator.payout_calls import (
    BackEndSilent,
    CallArrived,
    PayoutJournal,
    RunEnded,
    SendToBackEnd,
    TellCaller,
    Told,
)
from peppershore_lab.simulator.payout_node import PayoutNodeCore
from peppershore_lab.simulator.process import Life, SimulatedProcess
from peppershore_lab.simulator.roles import PlainRole, ReplicaRole
from peppershore_lab.simulator.site import SimulatedSite

CLUSTER = "simulated"
MAX_RUN_SECONDS = 0.3
DEADLINE_SECONDS = 1.0
SNAPSHOT_ENTRIES = 40
REFUSED_SHARE = 0.2
SILENT_SHARE = 0.2
"""Shares of calls that the back end refuses, and whose answer is lost."""
RESENT_SHARE = 0.3
"""Share of answered calls that the caller sends again all the same."""
MAX_SENDS = 5
IMPATIENCE_SECONDS = 0.8
"""A caller sends again after up to so long without an answer, and after one."""


@dataclass(frozen=True)
class PayoutShape:
    """How many processes, and how often a new call comes (seconds)."""

    replicas: int = 3
    nodes: int = 4
    mean_gap_seconds: float = 0.03


class PayoutRole(PlainRole):
    """A node's machine: it sends calls to back ends and answers callers."""

    def __init__(self, site: PayoutSite, name: str) -> None:
        """Boot a new life of the node at each start."""
        super().__init__(lambda: site.make_node_core(name))
        self._site = site

    def execute(self, process: SimulatedProcess, command: commands.Command) -> None:
        """Carry out what only such a node asks."""
        match command:
            case SendToBackEnd():
                self._site.run_at_back_end(process, command)
            case TellCaller():
                self._site.answer_caller(command)
            case _:
                super().execute(process, command)


class PayoutSite(SimulatedSite):
    """The claims group, its nodes, their back ends and callers."""

    def __init__(self, shape: PayoutShape, seed: int) -> None:
        """Make the machines; nothing runs before ``start``."""
        super().__init__(seed)
        self.shape = shape
        self.journal = PayoutJournal()
        self.is_active = True
        self._incarnations = itertools.count(1)
        self._calls = itertools.count(1)
        self._keys = itertools.count(1)
        self._sends: dict[str, int] = {}
        self._open: dict[int, str] = {}
        self._peers = tuple(
            PeerReplica(name=f"p{number}", address=f"p{number}:1")
            for number in range(1, shape.replicas + 1)
        )
        self._addresses = tuple(peer.address for peer in self._peers)
        self.replicas = [self._replica(peer) for peer in self._peers]
        self.nodes = [
            self.make_machine(name, f"{name}:1", PayoutRole(self, name))
            for name in (f"n{number}" for number in range(1, shape.nodes + 1))
        ]
        self.administrators = [self.make_administrator(self._addresses)]

    @property
    def open_calls(self) -> int:
        """Calls whose callers still wait."""
        return len(self._open)

    def start(self) -> None:
        """Start all machines and the callers."""
        super().start()
        self._plan_call()

    def check_step(self, process: SimulatedProcess, event: events.Event) -> None:
        """The journal checks each run and each answer as it comes."""

    def make_node_core(self, name: str) -> PayoutNodeCore:
        """Make the core of a node's next life."""
        return PayoutNodeCore(name, next(self._incarnations), self._addresses)

    # --- callers ---------------------------------------------------------------------

    def _plan_call(self) -> None:
        wait = self.randomness.expovariate(1.0 / self.shape.mean_gap_seconds)
        self.scheduler.after(wait, self._new_call)

    def _new_call(self) -> None:
        if self.is_active:
            self.send(f"payout-{next(self._keys)}")
            self._plan_call()

    def send(self, key: str) -> None:
        """Send a call through a random node; resend it if no answer comes."""
        self._sends[key] = self._sends.get(key, 0) + 1
        call = next(self._calls)
        self._open[call] = key
        node = self.randomness.choice(self.nodes)
        delay = self.randomness.random() * self.network.jitter_seconds
        arrived = CallArrived(call, key, DEADLINE_SECONDS)
        self.scheduler.after(delay, lambda: self._arrive(node, arrived))
        self.scheduler.after(self._impatience(), lambda: self._lose_patience(call))

    def _arrive(self, node: SimulatedProcess, arrived: CallArrived) -> None:
        if node.is_running:
            node.take(arrived)

    def _lose_patience(self, call: int) -> None:
        key = self._open.pop(call, None)
        if key is not None:
            self._resend(key)

    def answer_caller(self, heard: TellCaller) -> None:
        """A caller hears; it may send again, above all if it got no answer."""
        self.journal.caller_heard(heard)
        is_late = self._open.pop(heard.call, None) is None
        is_answered = heard.told is Told.ANSWERED
        if is_late or (is_answered and self.randomness.random() >= RESENT_SHARE):
            return
        key = heard.key
        self.scheduler.after(self._impatience(), lambda: self._resend(key))

    def _resend(self, key: str) -> None:
        if self._sends[key] < MAX_SENDS:
            self.send(key)

    def _impatience(self) -> float:
        return self.randomness.random() * IMPATIENCE_SECONDS

    # --- back ends ---------------------------------------------------------------------

    def run_at_back_end(self, node: SimulatedProcess, sent: SendToBackEnd) -> None:
        """A call reaches its back end, whatever becomes of the node meanwhile."""
        life = node.life
        wait = self.randomness.random() * MAX_RUN_SECONDS
        if self.randomness.random() < REFUSED_SHARE:
            refused = RunEnded(sent.call, None)
            self.scheduler.after(wait, lambda: self._back_to(node, life, refused))
            return
        is_silent = self.randomness.random() < SILENT_SHARE
        if is_silent:
            early = self.randomness.random() * MAX_RUN_SECONDS
            silent = BackEndSilent(sent.call)
            self.scheduler.after(early, lambda: self._back_to(node, life, silent))
        self.scheduler.after(wait, lambda: self._run(node, life, sent))

    def _run(self, node: SimulatedProcess, life: Life, sent: SendToBackEnd) -> None:
        body = f"{sent.key} run by call {sent.call}".encode()
        self.journal.ran(sent.call, sent.key, body)
        self._back_to(node, life, RunEnded(sent.call, body))

    def _back_to(self, node: SimulatedProcess, life: Life, event: events.Event) -> None:
        """What a back end says reaches only the life of the node that sent the call."""
        if node.is_running and node.life == life:
            node.take(event)

    def _replica(self, peer: PeerReplica) -> SimulatedProcess:
        settings = ClaimsSettings(
            cluster=CLUSTER,
            replica=peer.name,
            listen=peer.address,
            data_folder="simulated",
            replicas=self._peers,
            snapshot_entries=SNAPSHOT_ENTRIES,
        )

        def make(stored: StoredState) -> ClaimsCore:
            return ClaimsCore(settings, stored)

        role = ReplicaRole(make, lambda: self.randomness.getrandbits(62))
        return self.make_machine(peer.name, peer.address, role)
