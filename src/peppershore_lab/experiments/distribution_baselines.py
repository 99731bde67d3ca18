"""Baselines of distribution in the same run: full push at each change, and polling.

Both serve the whole configuration to as many proxies as the fleet has, over
loopback links with the product's encoding, and are told of a change when its
operator has the answer.  They keep no promise; they only set a scale.  Faults of
the fleet don't reach them, but a proxy that restarts there reconnects here.
"""

from __future__ import annotations

import asyncio
import contextlib
import statistics
import time
from collections.abc import Iterable

import msgspec

from peppershore.connection.codec import decode_message, encode_message
from peppershore.connection.framing import FrameReader, encode_frame
from peppershore.connection.messages.node import Freshness
from peppershore.connection.messages.relay import TreeState
from peppershore.version.model import Edit, Tree, Version
from peppershore.version.tree import apply_edit
from peppershore_lab.convergence import percentile

LOOPBACK = "127.0.0.1"
POLL_SECONDS = 1.0
READ_BYTES = 262_144
MILLISECONDS = 1_000


class BaselineMeasure(msgspec.Struct, frozen=True, kw_only=True):
    """What a baseline cost: bytes sent to proxies, milliseconds to in force."""

    name: str
    proxies: int
    changes: int
    missing: int
    control_bytes: int
    p50_milliseconds: float
    p99_milliseconds: float
    max_milliseconds: float


class WholeTree:
    """The whole configuration, encoded again at each accepted edit."""

    def __init__(self, tree: Tree) -> None:
        """Begin with the deployment's tree."""
        self.tree = tree
        self.frame = self._encoded()

    def take(self, edit: Edit) -> Version:
        """Apply an accepted edit; give the number that it has here."""
        version = self.tree.version + 1
        unconditional = msgspec.structs.replace(edit, expected=())
        self.tree = apply_edit(self.tree, unconditional, version).unwrap().tree
        self.frame = self._encoded()
        return version

    def _encoded(self) -> bytes:
        return encode_frame(encode_message(TreeState(self.tree)))


class Arrivals:
    """When each proxy of a baseline held each version."""

    def __init__(self, proxies: int) -> None:
        """Wait for this many proxies at each change."""
        self._proxies = proxies
        self._accepted: dict[Version, float] = {}
        self._held: dict[Version, list[float]] = {}

    def accepted(self, version: Version) -> None:
        """A change is accepted now."""
        self._accepted[version] = time.monotonic()
        self._held[version] = []

    def holds(self, before: Version, version: Version) -> None:
        """One proxy went from one version to a later one now."""
        now = time.monotonic()
        for each in range(before + 1, version + 1):
            if each in self._held:
                self._held[each].append(now - self._accepted[each])

    def measure(self, name: str, control_bytes: int) -> BaselineMeasure:
        """Give the summary."""
        waits = sorted(
            wait * MILLISECONDS for version in self._held.values() for wait in version
        )
        return BaselineMeasure(
            name=name,
            proxies=self._proxies,
            changes=len(self._held),
            missing=len(self._held) * self._proxies - len(waits),
            control_bytes=control_bytes,
            p50_milliseconds=statistics.median(waits) if waits else 0.0,
            p99_milliseconds=percentile(waits, 99),
            max_milliseconds=waits[-1] if waits else 0.0,
        )


class DistributionBaseline:
    """A server of whole configurations and its proxies, by push or by polling."""

    def __init__(
        self, name: str, tree: Tree, delays: Iterable[float], poll_seconds: float = 0.0
    ) -> None:
        """``delays`` are the one-way delays (seconds) of its proxies; 0 polls: push."""
        self._name = name
        self._whole = WholeTree(tree)
        self._delays = tuple(delays)
        self._poll_seconds = poll_seconds
        self._arrivals = Arrivals(len(self._delays))
        self._held = [tree.version] * len(self._delays)
        self._highest = list(self._held)
        self._writers: set[asyncio.StreamWriter] = set()
        self._sinks: list[asyncio.Task[None]] = []
        self._server: asyncio.Server | None = None
        self._bytes = 0
        self._all_connected = asyncio.Event()

    async def start(self) -> None:
        """Serve, and connect all proxies."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        for number in range(len(self._delays)):
            self._sinks.append(asyncio.ensure_future(self._sink(number)))
        await self._all_connected.wait()
        self._bytes = 0

    def accepted(self, edit: Edit, _version: Version) -> None:
        """An operator was told that its edit is accepted."""
        version = self._whole.take(edit)
        self._arrivals.accepted(version)
        if not self._poll_seconds:
            for writer in tuple(self._writers):
                self._send(writer, self._whole.frame)

    @property
    def is_current(self) -> bool:
        """Whether every proxy holds the newest version."""
        return all(version == self._whole.tree.version for version in self._held)

    def reconnect(self, number: int) -> None:
        """A proxy restarted: it connects again, holding nothing."""
        self._sinks[number].cancel()
        self._held[number] = 0
        self._sinks[number] = asyncio.ensure_future(self._sink(number))

    async def stop(self) -> BaselineMeasure:
        """Close everything; give what was measured."""
        assert self._server is not None
        self._server.close()
        for sink in self._sinks:
            sink.cancel()
        await asyncio.gather(*self._sinks, return_exceptions=True)
        return self._arrivals.measure(self._name, self._bytes)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        if len(self._writers) == len(self._delays):
            self._all_connected.set()
        try:
            if not self._poll_seconds:
                self._send(writer, self._whole.frame)
            while request := await reader.read(READ_BYTES):
                self._answer_poll(writer, request)
        except (OSError, asyncio.CancelledError):
            pass  # an end of the link, or of the run
        finally:
            self._writers.discard(writer)
            writer.close()

    def _answer_poll(self, writer: asyncio.StreamWriter, request: bytes) -> None:
        held = int.from_bytes(request[-8:], "big")
        if held < self._whole.tree.version:
            self._send(writer, self._whole.frame)
        else:
            self._send(writer, encode_frame(encode_message(Freshness(held, 0, 0))))

    def _send(self, writer: asyncio.StreamWriter, frame: bytes) -> None:
        self._bytes += len(frame)
        writer.write(frame)

    async def _sink(self, number: int) -> None:
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(host, port)
        polling = asyncio.ensure_future(self._poll(number, writer))
        frames = FrameReader()
        try:
            while data := await reader.read(READ_BYTES):
                for payload in frames.feed(data).unwrap():
                    message = decode_message(payload).unwrap()
                    await asyncio.sleep(self._delays[number])
                    if isinstance(message, TreeState):
                        self._took(number, message.tree.version)
        finally:
            polling.cancel()
            writer.close()

    async def _poll(self, number: int, writer: asyncio.StreamWriter) -> None:
        if not self._poll_seconds:
            return
        await asyncio.sleep(self._poll_seconds * number / len(self._delays))
        with contextlib.suppress(OSError):
            while True:
                writer.write(self._held[number].to_bytes(8, "big"))
                await asyncio.sleep(self._poll_seconds)

    def _took(self, number: int, version: Version) -> None:
        """A proxy holds a version: frames come in order on one link."""
        self._arrivals.holds(self._highest[number], version)
        self._held[number] = max(self._held[number], version)
        self._highest[number] = max(self._highest[number], version)
