"""Simulated cluster of claims replicas and claims clients: real cores in virtual time."""

from __future__ import annotations

from typing import Any

from tests.consensus.control_cluster import (
    NO_FAULTS,
    ControlCluster,
    Faults,
    Replica,
)
from tests.consensus.invariants import Invariants

from peppershore.connection.messages.base import Message
from peppershore.connection.messages.claims import KeptAnswer
from peppershore.process import commands, events
from peppershore.process.claims.client_core import ClaimClientCore
from peppershore.process.claims.core import ClaimsCore
from peppershore.process.claims.wants import (
    ClaimWanted,
    CompletionWanted,
    FinishWant,
    ReleaseWanted,
    WantGranted,
    WantOutcome,
)
from peppershore.process.settings import ClaimsSettings, PeerReplica

NAMES = ("c1", "c2", "c3")
LINK_BREAK_SECONDS = 0.001


class _ClaimsInvariants(Invariants):
    def _check_command(self, index: int, payload: bytes) -> None:
        """Check nothing: a claims log holds no edits, and the tests check who may run."""


class ClaimsCluster(ControlCluster):
    """Three claims replicas, to which nodes connect as clients."""

    def __init__(
        self,
        seed: int,
        faults: Faults = NO_FAULTS,
        horizon_seconds: int = 3_600,
        max_records: dict[str, int] | None = None,
    ) -> None:
        self._max_records = max_records or {}
        self._horizon = horizon_seconds
        self.nodes: list[Node] = []
        super().__init__(NAMES, seed, faults)
        self.invariants = _ClaimsInvariants()

    def _settings(self, name: str, founders: tuple[PeerReplica, ...], join: bool) -> Any:
        return ClaimsSettings(
            cluster="test",
            replica=name,
            listen=name,
            data_folder="",
            replicas=founders,
            join=join,
            snapshot_entries=15,
            horizon_seconds=self._horizon,
            max_records=self._max_records.get(name, 1_000),
        )

    def _make_core(self, replica: Replica) -> Any:
        return ClaimsCore(replica.settings, replica.store.state)  # type: ignore[arg-type]

    def crash(self, name: str) -> None:
        """Kill a replica and break the nodes' links to it."""
        links = list(self.replicas[name].clients)
        super().crash(name)
        for node in self.nodes:
            for link in links:
                node.link_broke(name, link)


class Node:
    """One node's claims client, with the outcome and end time of each claim request."""

    def __init__(
        self, cluster: ClaimsCluster, name: str, addresses: tuple[str, ...] = NAMES
    ) -> None:
        self.cluster = cluster
        self.name = name
        self.core = ClaimClientCore(addresses, seed=len(cluster.nodes))
        self.outcomes: dict[int, WantOutcome] = {}
        self.ended: dict[int, float] = {}
        self.notices: list[commands.Notice] = []
        self.alive = True
        self.on_granted: dict[int, Any] = {}
        self._requests = 0
        self._timers: dict[str, int] = {}
        self._links: dict[int, tuple[str, int]] = {}
        cluster.nodes.append(self)

    def claim(self, key: str, attempt: str, seconds: float = 3.0) -> int:
        """Request a claim; return the request's number."""
        self._requests += 1
        deadline = self.cluster.time + seconds
        self._step(ClaimWanted(self._requests, key, attempt, deadline))
        return self._requests

    def outcome(self, key: str, attempt: str) -> WantOutcome:
        """Request a claim and return its outcome."""
        request = self.claim(key, attempt)
        self.cluster.run_until(lambda: request in self.outcomes)
        return self.outcomes[request]

    def complete(self, key: str, attempt: str, answer: KeptAnswer | None) -> None:
        self._requests += 1
        self._step(CompletionWanted(self._requests, key, attempt, answer))

    def release(self, key: str, attempt: str) -> None:
        self._requests += 1
        self._step(ReleaseWanted(self._requests, key, attempt))

    def die(self) -> None:
        """Kill the node; messages that it has not sent are lost."""
        self.alive = False
        for replica, link in self._links.values():
            self.cluster.replicas[replica].clients.pop(link, None)
            self.cluster.event(replica, events.LinkClosed(link, "reset"))
        self._links.clear()

    def link_broke(self, replica: str, link: int) -> None:
        for own, target in list(self._links.items()):
            if target == (replica, link):
                del self._links[own]
                closed = events.LinkClosed(own, "reset")
                self.cluster.later(LINK_BREAK_SECONDS, lambda e=closed: self._step(e))

    def _step(self, event: events.Event) -> None:
        if not self.alive:
            return
        for command in self.core.step(event, self.cluster.time):
            self._carry_out(command)

    def _carry_out(self, command: commands.Command) -> None:
        match command:
            case FinishWant(request=request, outcome=outcome):
                assert request not in self.outcomes, "a want ended twice"
                self.outcomes[request] = outcome
                self.ended[request] = self.cluster.time
                if isinstance(outcome, WantGranted) and request in self.on_granted:
                    self.on_granted[request]()
            case commands.OpenLink():
                self.cluster.later(0.001, lambda: self._open(command))
            case commands.CloseLink(link=link):
                self._close(link)
            case commands.SendMessage(link=link, message=message):
                if link in self._links:
                    replica, theirs = self._links[link]
                    self.cluster.send(replica, theirs, message)
            case commands.SetTimer():
                self._set_timer(command)
            case commands.Report(notice=notice):
                self.notices.append(notice)
            case _:
                raise AssertionError(command)

    def _open(self, command: commands.OpenLink) -> None:
        def take(message: Message) -> None:
            if command.link in self._links:
                self._step(events.MessageReceived(command.link, message))

        theirs = self.cluster.connect(command.address, take)
        if theirs is None:
            self._step(events.LinkClosed(command.link, "refused"))
            return
        self._links[command.link] = (command.address, theirs)
        self._step(events.LinkOpened(command.link, command.address))

    def _close(self, link: int) -> None:
        target = self._links.pop(link, None)
        if target is not None:
            replica, theirs = target
            self.cluster.replicas[replica].clients.pop(theirs, None)
            self.cluster.event(replica, events.LinkClosed(theirs, "closed by peer"))

    def _set_timer(self, command: commands.SetTimer) -> None:
        number = self._timers.get(command.timer, 0) + 1
        self._timers[command.timer] = number

        def fire() -> None:
            if self._timers.get(command.timer) == number:
                self._step(events.TimerFired(command.timer))

        self.cluster.later(command.delay_seconds, fire)
