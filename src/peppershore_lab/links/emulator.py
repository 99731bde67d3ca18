"""A loopback TCP proxy that stands between two processes and plays their network.

One process carries many links.  Its control endpoint changes them while they
carry data.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
from collections import defaultdict
from collections.abc import Awaitable, Callable, Sequence

import msgspec
from returns.result import Failure

from peppershore.connection.codec import decode_message
from peppershore.connection.framing import FrameReader, encode_frame
from peppershore.connection.messages.consensus import ReplicaHello
from peppershore_lab.http_server import HttpAnswer, HttpRequest, start_server
from peppershore_lab.links.model import (
    Direction,
    DirectionChange,
    EmulatorSettings,
    LinksChange,
    LinksChanged,
    LinkSpec,
    changed_direction,
    link_name,
    matches,
)

READ_BYTES = 262_144
QUEUE_CHUNKS = 256
LISTEN_BACKLOG = 1_024
MILLISECONDS = 1_000
Accept = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Gate:
    """The present behaviour of one direction of a link, shared by its connections."""

    def __init__(self, direction: Direction) -> None:
        """Start with this behaviour."""
        self.direction = direction
        self._open = asyncio.Event()
        self.change(DirectionChange())

    def change(self, change: DirectionChange) -> None:
        """Behave differently from now on."""
        self.direction = changed_direction(self.direction, change)
        if self.direction.cut:
            self._open.clear()
        else:
            self._open.set()

    async def wait_open(self) -> None:
        """Wait until the direction is not cut."""
        await self._open.wait()

    def delay_seconds(self, generator: random.Random) -> float:
        """Give the delay of the data that comes now."""
        jitter = generator.random() * self.direction.jitter_milliseconds
        return (self.direction.delay_milliseconds + jitter) / MILLISECONDS


class Chunk(msgspec.Struct, frozen=True):
    """Data to be written at a moment of the loop's clock; the last one is empty."""

    due: float
    data: bytes
    is_last: bool = False


class Pump:
    """Carries one direction of one connection: reads, delays, writes in order."""

    def __init__(
        self,
        gate: Gate,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        frames: FrameReader | None,
        generator: random.Random,
    ) -> None:
        """Carry what ``reader`` gives to ``writer`` as ``gate`` says."""
        self._gate = gate
        self._reader = reader
        self._writer = writer
        self._frames = frames
        self._generator = generator
        self._queue: asyncio.Queue[Chunk] = asyncio.Queue(QUEUE_CHUNKS)

    async def run(self, first: bytes = b"") -> None:
        """Carry ``first``, then what comes, until either end closes."""
        writing = asyncio.ensure_future(self._write())
        try:
            if first:
                await self._take(first)
            await self._read()
            await asyncio.wait({writing})
        finally:
            writing.cancel()

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        while data := await self._reader.read(READ_BYTES):
            await self._take(data)
        moment = loop.time() + self._gate.delay_seconds(self._generator)
        await self._queue.put(Chunk(moment, b"", is_last=True))

    async def _take(self, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        moment = loop.time() + self._gate.delay_seconds(self._generator)
        whole = self._duplicated(data)
        if whole:
            await self._queue.put(Chunk(moment, whole))

    async def _write(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            chunk = await self._queue.get()
            delay = chunk.due - loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            await self._gate.wait_open()
            if chunk.is_last:
                return
            self._writer.write(chunk.data)
            await self._writer.drain()

    def _duplicated(self, data: bytes) -> bytes:
        if self._frames is None:
            return data
        cut = self._frames.feed(data)
        if isinstance(cut, Failure):
            return data
        return b"".join(self._frame_bytes(payload) for payload in cut.unwrap())

    def _frame_bytes(self, payload: bytes) -> bytes:
        frame = encode_frame(payload)
        if self._generator.random() < self._gate.direction.duplicate_share:
            return frame + frame
        return frame


class EmulatedLink:
    """One link: its listener, its two directions and its open connections."""

    def __init__(self, spec: LinkSpec, generator: random.Random) -> None:
        """Prepare the link; ``start`` listens."""
        self.spec = spec
        self._generator = generator
        self._to_target = Gate(spec.to_target)
        self._to_source = Gate(spec.to_source)
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> asyncio.Server:
        """Accept connections."""
        return await listen_at(self.spec.listen, self.accept)

    def change(self, change: LinksChange) -> None:
        """Take new behaviour; with ``reset``, break the open connections."""
        self._to_target.change(change.to_target)
        self._to_source.change(change.to_source)
        if change.reset:
            for writer in tuple(self._writers):
                writer.transport.abort()

    async def accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        first: bytes = b"",
    ) -> None:
        """Carry one connection, of which ``first`` was read already."""
        self._writers.add(writer)
        try:
            await self._to_target.wait_open()
            await self._carry(reader, writer, first)
        except (OSError, asyncio.CancelledError):
            pass  # an end of the link, or of the emulator
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, first: bytes
    ) -> None:
        host, _, port = self.spec.target.rpartition(":")
        target_reader, target_writer = await asyncio.open_connection(host, int(port))
        self._writers.add(target_writer)
        there = Pump(
            self._to_target, reader, target_writer, self._frame_reader(), self._generator
        )
        back = Pump(
            self._to_source, target_reader, writer, self._frame_reader(), self._generator
        )
        pumps = {
            asyncio.ensure_future(there.run(first)),
            asyncio.ensure_future(back.run()),
        }
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            for ended in await asyncio.gather(*pumps, return_exceptions=True):
                assert ended is None or isinstance(
                    ended, OSError | asyncio.CancelledError
                ), ended
            self._writers.discard(target_writer)
            target_writer.transport.abort()

    def _frame_reader(self) -> FrameReader | None:
        return FrameReader() if self.spec.frames else None


class SharedAddress:
    """Links of several sources to one target, told apart by their first message."""

    def __init__(self, links: Sequence[EmulatedLink], generator: random.Random) -> None:
        """Accept for these links; other clients pass without emulation."""
        spec = links[0].spec
        self._listen = spec.listen
        self._links = {link.spec.name: link for link in links}
        self._target_name = spec.name.partition(">")[2]
        plain = LinkSpec(name="", listen=spec.listen, target=spec.target)
        self._plain = EmulatedLink(plain, generator)

    async def start(self) -> asyncio.Server:
        """Accept connections."""
        return await listen_at(self._listen, self._accept)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        first, source = await _first_message(reader)
        if first:
            link = self._links.get(link_name(source, self._target_name), self._plain)
            await link.accept(reader, writer, first)
        else:
            writer.transport.abort()


async def _first_message(reader: asyncio.StreamReader) -> tuple[bytes, str]:
    """Give all that was read with the first message, and the replica it names."""
    frames = FrameReader()
    read = b""
    with contextlib.suppress(OSError):
        while data := await reader.read(READ_BYTES):
            read += data
            cut = frames.feed(data)
            if isinstance(cut, Failure):
                return read, ""
            for payload in cut.unwrap():
                message = decode_message(payload).value_or(None)
                source = message.replica if isinstance(message, ReplicaHello) else ""
                return read, source
    return read, ""


async def listen_at(address: str, accept: Accept) -> asyncio.Server:
    """Accept connections at "IP:port"."""
    host, _, port = address.rpartition(":")
    return await asyncio.start_server(accept, host, int(port), backlog=LISTEN_BACKLOG)


class Emulator:
    """All links of one process and their control endpoint."""

    def __init__(self, settings: EmulatorSettings) -> None:
        """Prepare the links."""
        generator = random.Random(settings.seed)
        self._control = settings.control
        self._links = [EmulatedLink(spec, generator) for spec in settings.links]
        self._generator = generator

    async def start(self) -> None:
        """Listen for all links, then for control requests."""
        shared: dict[str, list[EmulatedLink]] = defaultdict(list)
        for link in self._links:
            if link.spec.by_hello:
                shared[link.spec.listen].append(link)
            else:
                await link.start()
        for links in shared.values():
            await SharedAddress(links, self._generator).start()
        host, _, port = self._control.rpartition(":")
        await start_server(host, int(port), self.handle)

    async def handle(self, request: HttpRequest) -> HttpAnswer:
        """Take a ``LinksChange``; answer with the names of the links it changed."""
        try:
            change = msgspec.json.decode(request.body, type=LinksChange)
        except msgspec.DecodeError as problem:
            return HttpAnswer(400, str(problem).encode())
        changed = [link for link in self._links if matches(link.spec.name, change.names)]
        for link in changed:
            link.change(change)
        names = tuple(link.spec.name for link in changed)
        return HttpAnswer(200, msgspec.json.encode(LinksChanged(names=names)))


async def run_emulator(settings: EmulatorSettings) -> None:
    """Carry all links until SIGTERM or SIGINT."""
    emulator = Emulator(settings)
    await emulator.start()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
