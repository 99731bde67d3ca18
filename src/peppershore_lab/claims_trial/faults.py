"""Faults of the trial: one after another, from a seed, on processes of every role."""

from __future__ import annotations

import asyncio
import random
import shutil
import time
from collections.abc import Awaitable, Callable

import msgspec
from returns.result import Failure

from peppershore.command.client import ControlGroup, ask
from peppershore.connection.messages.operators import MembershipAnswered, MembershipChange
from peppershore.process.settings import PeerReplica
from peppershore_lab.fleet.fleet import Fleet
from peppershore_lab.fleet.members import Member, claims_settings, settings_text
from peppershore_lab.fleet.readiness import fetch

LEADS = b"peppershore_leads 1"
SHORTEST_DOWN_SECONDS = 0.2
LONGEST_DOWN_SECONDS = 1.5
LONGEST_FREEZE_SECONDS = 2.5
CALM_SECONDS = 1.0
READY_SECONDS = 10.0
MEMBERSHIP_SECONDS = 8.0
POLL_SECONDS = 0.05


class FaultMark(msgspec.Struct, frozen=True):
    """One fault that was brought about."""

    fault: str
    process: str
    unix_seconds: float


class FaultSchedule:
    """Brings faults about until it is cancelled; afterwards everything runs again."""

    def __init__(self, fleet: Fleet, seed: int, only: tuple[str, ...] = ()) -> None:
        """Choose faults from ``seed``; every kind once before any is repeated.

        ``only``: no other kinds than these; empty for all.
        """
        self.marks: list[FaultMark] = []
        self._fleet = fleet
        self._random = random.Random(f"faults/{seed}")
        self._kinds: dict[str, Callable[[], Awaitable[None]]] = {
            "edge-killed": lambda: self._killed("edge-killed", self._edge()),
            "owner-killed": lambda: self._killed("owner-killed", self._owner()),
            "relay-killed": lambda: self._killed("relay-killed", self._relay()),
            "backend-killed": lambda: self._killed("backend-killed", self._backend()),
            "edge-frozen": lambda: self._frozen("edge-frozen", self._edge()),
            "owner-frozen": lambda: self._frozen("owner-frozen", self._owner()),
            "claims-leader-killed": self._claims_leader_killed,
            "claims-leader-frozen": self._claims_leader_frozen,
            "claims-second-loss": self._second_loss,
            "claims-disk-lost": self._disk_lost,
            "claims-quorum-lost": self._quorum_lost,
            "owner-and-backend-killed": self._owner_and_backend_killed,
        }
        self._kinds = {name: self._kinds[name] for name in only or self._kinds}

    @property
    def kinds(self) -> tuple[str, ...]:
        """All kinds of faults."""
        return tuple(self._kinds)

    async def run(self, seconds: float) -> None:
        """Bring faults about for so long; every process runs at the end."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            order = list(self._kinds)
            self._random.shuffle(order)
            for kind in order:
                if time.monotonic() >= end:
                    return
                await self._kinds[kind]()
                await asyncio.sleep(self._random.uniform(0.0, CALM_SECONDS))

    # --- choices -------------------------------------------------------------

    def _edge(self) -> Member:
        return self._random.choice(self._fleet.layout.edges)

    def _owner(self) -> Member:
        return self._random.choice(self._fleet.layout.nodes)

    def _relay(self) -> Member:
        return self._random.choice(self._fleet.layout.relays)

    def _backend(self) -> Member:
        return self._random.choice(self._fleet.layout.backends)

    async def _claims_leader(self) -> Member:
        for member in self._fleet.layout.claims:
            page = await fetch(member.admin_address, "/metrics")
            if page is not None and LEADS in page.body:
                return member
        return self._random.choice(self._fleet.layout.claims)

    # --- faults --------------------------------------------------------------

    def _mark(self, fault: str, member: Member) -> None:
        self.marks.append(FaultMark(fault, member.name, time.time()))

    def _down_seconds(self) -> float:
        return self._random.uniform(SHORTEST_DOWN_SECONDS, LONGEST_DOWN_SECONDS)

    async def _killed(self, fault: str, member: Member) -> None:
        """Kill -9, down for a while, started again."""
        self._mark(fault, member)
        process = self._fleet.processes[member.name]
        process.kill()
        await asyncio.sleep(self._down_seconds())
        process.start()

    async def _frozen(self, fault: str, member: Member) -> None:
        """Silence with all links open; what it still believes is old when it wakes."""
        self._mark(fault, member)
        process = self._fleet.processes[member.name]
        process.freeze()
        await asyncio.sleep(self._random.uniform(0.1, LONGEST_FREEZE_SECONDS))
        process.unfreeze()

    async def _claims_leader_killed(self) -> None:
        leader = await self._claims_leader()
        await self._killed("claims-leader-killed", leader)
        await self._ready(leader)

    async def _claims_leader_frozen(self) -> None:
        await self._frozen("claims-leader-frozen", await self._claims_leader())

    async def _owner_and_backend_killed(self) -> None:
        """The back end and the node beside it die together."""
        number = self._random.randrange(len(self._fleet.layout.nodes))
        pair = (self._fleet.layout.backends[number], self._fleet.layout.nodes[number])
        for member in pair:
            self._mark("owner-and-backend-killed", member)
            self._fleet.processes[member.name].kill()
        await asyncio.sleep(self._down_seconds())
        for member in pair:
            self._fleet.processes[member.name].start()

    async def _second_loss(self) -> None:
        """A replica is lost and repaired; another one goes the moment it is back."""
        first = self._random.choice(self._fleet.layout.claims)
        await self._killed("claims-second-loss", first)
        await self._ready(first)
        others = [each for each in self._fleet.layout.claims if each != first]
        second = self._random.choice(others)
        await self._killed("claims-second-loss", second)
        await self._ready(second)

    async def _quorum_lost(self) -> None:
        """Two of three replicas are gone: claims are refused until one is back."""
        lost = self._random.sample(self._fleet.layout.claims, 2)
        for member in lost:
            self._mark("claims-quorum-lost", member)
            self._fleet.processes[member.name].kill()
        await asyncio.sleep(LONGEST_DOWN_SECONDS + self._down_seconds())
        for member in lost:
            self._fleet.processes[member.name].start()
        for member in lost:
            await self._ready(member)

    async def _disk_lost(self) -> None:
        """A replica loses its disk, is replaced by an empty one; then another dies."""
        lost = self._random.choice(self._fleet.layout.claims)
        self._mark("claims-disk-lost", lost)
        process = self._fleet.processes[lost.name]
        process.kill()
        folder = self._fleet.folder / "data" / lost.name
        shutil.rmtree(folder)
        folder.mkdir()
        rest = tuple(each for each in self._fleet.layout.claims if each != lost)
        if not await self._changed(rest, MembershipChange("remove", lost.name, "")):
            return
        self._write_joining(lost)
        process.start()
        change = MembershipChange("add", lost.name, lost.link_address)
        if not await self._changed(rest, change):
            return
        second = self._random.choice(rest)
        await self._killed("claims-disk-lost", second)
        await self._ready(second)

    async def _changed(self, group: tuple[Member, ...], change: MembershipChange) -> bool:
        """Ask until the group has made the change; False if it never does."""
        addresses = tuple(member.link_address for member in group)
        end = time.monotonic() + MEMBERSHIP_SECONDS
        while time.monotonic() < end:
            control = ControlGroup(addresses, MEMBERSHIP_SECONDS)
            answer = await ask(control, change, MembershipAnswered)
            if not isinstance(answer, Failure) and not answer.unwrap().problem:
                return True
            await asyncio.sleep(POLL_SECONDS)
        self.marks.append(FaultMark("not-changed", change.replica, time.time()))
        return False

    def _write_joining(self, member: Member) -> None:
        """Let a replica with an empty disk wait to be added."""
        cluster = self._fleet.layout.deployment.cluster
        folder = self._fleet.folder / "data" / member.name
        settings = claims_settings(cluster, member, self._peers(), folder)
        joining = msgspec.structs.replace(settings, join=True)
        path = self._fleet.folder / "settings" / f"{member.name}.toml"
        path.write_text(settings_text(joining))

    def _peers(self) -> tuple[PeerReplica, ...]:
        return tuple(
            PeerReplica(name=each.name, address=each.link_address)
            for each in self._fleet.layout.claims
        )

    async def _ready(self, member: Member) -> None:
        """Wait until a replica follows a leader again, within a bound."""
        end = time.monotonic() + READY_SECONDS
        while time.monotonic() < end:
            page = await fetch(member.admin_address, "/readyz")
            if page is not None and page.status == 200:
                return
            await asyncio.sleep(POLL_SECONDS)
