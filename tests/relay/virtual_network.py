"""Network of cores with virtual links and virtual time, for relay and node tests.

Messages are encoded and decoded. A suspended (frozen) process receives no events until
it resumes (is thawed). Two addresses that are cut off from each other can open no link,
and messages on their existing links are lost.
"""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from peppershore.connection.codec import decode_message, encode_message
from peppershore.connection.framing import HEADER_BYTES
from peppershore.connection.messages.base import Message
from peppershore.process import commands, events
from peppershore.process.core import Core

LATENCY_SECONDS = 0.001


@dataclass
class Process:
    """A core with the state that its shell would hold."""

    name: str
    core: Core
    started_at: float
    links: dict[int, tuple[Process, int]] = field(default_factory=dict)
    timers: dict[str, int] = field(default_factory=dict)
    accepted: itertools.count[int] = field(default_factory=lambda: itertools.count(2, 2))
    notices: list[commands.Notice] = field(default_factory=list)
    others: list[commands.Command] = field(default_factory=list)
    sent: list[Message] = field(default_factory=list)
    received: list[Message] = field(default_factory=list)
    bytes_by_link: Counter[int] = field(default_factory=Counter)
    closed_links: set[int] = field(default_factory=set)
    is_alive: bool = True
    is_frozen: bool = False
    is_exited: bool = False
    waiting: list[events.Event] = field(default_factory=list)
    synced_tokens: set[int] = field(default_factory=set)
    restored: Any = None


class VirtualNetwork:
    """Runs processes and links on a virtual clock."""

    def __init__(self) -> None:
        self.now = 0.0
        self.processes: dict[str, Process] = {}
        self.cuts: set[frozenset[str]] = set()
        self._losses: set[tuple[str, type[Message]]] = set()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def start(self, name: str, core: Core, seed: int = 1) -> Process:
        """Start a process whose address equals its name."""
        process = Process(name, core, self.now)
        self.processes[name] = process
        self._give(process, events.Started(seed))
        return process

    def kill(self, name: str) -> None:
        """Terminate a process at once; its peers see their links close."""
        process = self.processes.pop(name)
        process.is_alive = False
        for link in list(process.links):
            self._close(process, link, "connection reset")

    def freeze(self, name: str) -> None:
        """Suspend a process; its links stay open and no peer is notified."""
        self.processes[name].is_frozen = True

    def thaw(self, name: str) -> None:
        """Resume a suspended process, which first handles the events queued for it."""
        process = self.processes[name]
        process.is_frozen = False
        waiting, process.waiting = process.waiting, []
        for event in waiting:
            self._give(process, event)

    def cut(self, one: str, other: str) -> None:
        """Cut two processes off from each other without notifying them."""
        self.cuts.add(frozenset((one, other)))

    def lose_next(self, name: str, kind: type[Message]) -> None:
        """Drop the messages of one kind in the next step in which a process sends any."""
        self._losses.add((name, kind))

    def heal(self) -> None:
        """Remove all cuts and reset the links that were affected."""
        cuts, self.cuts = self.cuts, set()
        for process in list(self.processes.values()):
            for link, (peer, _) in list(process.links.items()):
                if frozenset((process.name, peer.name)) in cuts:
                    self._close(process, link, "reset")
                    self._give(process, events.LinkClosed(link, "reset"))

    def give(self, name: str, event: events.Event) -> None:
        """Deliver an event to a process."""
        self._give(self.processes[name], event)

    def run(self, seconds: float) -> None:
        """Advance virtual time, in seconds, and run all events due by then."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = end

    def _after(self, seconds: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self.now + seconds, next(self._order), action))

    def _give(self, process: Process, event: events.Event) -> None:
        if not process.is_alive or process.is_exited:
            return
        if process.is_frozen:
            process.waiting.append(event)
            return
        for command in process.core.step(event, self.now):
            self._carry_out(process, command)

    def _carry_out(self, process: Process, command: commands.Command) -> None:
        match command:
            case commands.OpenLink():
                self._after(LATENCY_SECONDS, lambda: self._open(process, command))
            case commands.CloseLink():
                process.closed_links.add(command.link)
                self._close(process, command.link, "closed by peer")
            case commands.SendMessage():
                self._send(process, command.link, encode_message(command.message))
            case commands.SendEncoded():
                self._send(process, command.link, command.payload)
            case commands.SetTimer():
                self._set_timer(process, command)
            case commands.CancelTimer():
                process.timers.pop(command.timer, None)
            case commands.Report():
                process.notices.append(command.notice)
            case commands.Exit():
                process.is_exited = True
                for link in list(process.links):
                    self._close(process, link, "closed by peer")
            case commands.PersistRecords():
                process.others.append(command)
                self._after(LATENCY_SECONDS, lambda: self._sync(process, command.token))
            case _:
                process.others.append(command)

    def _sync(self, process: Process, token: int) -> None:
        if process.is_alive:
            process.synced_tokens.add(token)
            self._give(process, events.RecordsPersisted(token))

    def _set_timer(self, process: Process, command: commands.SetTimer) -> None:
        number = next(self._order)
        process.timers[command.timer] = number

        def fire() -> None:
            if process.timers.get(command.timer) == number:
                del process.timers[command.timer]
                self._give(process, events.TimerFired(command.timer))

        self._after(command.delay_seconds, fire)

    def _open(self, process: Process, command: commands.OpenLink) -> None:
        peer = self.processes.get(command.address)
        is_cut = frozenset((process.name, command.address)) in self.cuts
        if peer is None or peer.is_exited or is_cut:
            self._give(process, events.LinkClosed(command.link, "connection refused"))
            return
        accepted = next(peer.accepted)
        process.links[command.link] = (peer, accepted)
        peer.links[accepted] = (process, command.link)
        self._give(peer, events.LinkOpened(accepted, process.name))
        self._give(process, events.LinkOpened(command.link, peer.name))

    def _send(self, process: Process, link: int, payload: bytes) -> None:
        message = decode_message(payload).unwrap()
        process.sent.append(message)
        process.bytes_by_link[link] += len(payload) + HEADER_BYTES
        if (process.name, type(message)) in self._losses:
            self._after(0.0, lambda: self._losses.discard((process.name, type(message))))
            return
        end = process.links.get(link)
        if end is None or frozenset((process.name, end[0].name)) in self.cuts:
            return
        peer, peer_link = end

        def arrive() -> None:
            if peer_link in peer.links:
                peer.received.append(message)
                self._give(peer, events.MessageReceived(peer_link, message))

        self._after(LATENCY_SECONDS, arrive)

    def _close(self, process: Process, link: int, reason: str) -> None:
        end = process.links.pop(link, None)
        if end is None:
            return
        peer, peer_link = end
        is_cut = frozenset((process.name, peer.name)) in self.cuts

        def arrive() -> None:
            if peer.links.pop(peer_link, None) is not None:
                self._give(peer, events.LinkClosed(peer_link, reason))

        if not is_cut:
            self._after(LATENCY_SECONDS, arrive)
