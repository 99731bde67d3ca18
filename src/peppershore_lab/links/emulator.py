"""A loopback TCP proxy that stands between two processes and plays their network.

One process carries many links.  Its control endpoint changes them while they
carry data.
"""

from __future__ import annotations

import asyncio
import random
import signal

import msgspec
from returns.result import Failure

from peppershore.connection.framing import FrameReader, encode_frame
from peppershore_lab.http_server import HttpAnswer, HttpRequest, start_server
from peppershore_lab.links.model import (
    Direction,
    DirectionChange,
    EmulatorSettings,
    LinksChange,
    LinksChanged,
    LinkSpec,
    changed_direction,
    matches,
)

READ_BYTES = 262_144
QUEUE_CHUNKS = 256
LISTEN_BACKLOG = 1_024
MILLISECONDS = 1_000
END_OF_STREAM = b""


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
        self._queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(QUEUE_CHUNKS)

    async def run(self) -> None:
        """Carry data until either end closes."""
        writing = asyncio.ensure_future(self._write())
        try:
            await self._read()
            await asyncio.wait({writing})
        finally:
            writing.cancel()

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        while data := await self._reader.read(READ_BYTES):
            moment = loop.time() + self._gate.delay_seconds(self._generator)
            await self._queue.put((moment, self._duplicated(data)))
        await self._queue.put(
            (loop.time() + self._gate.delay_seconds(self._generator), b"")
        )

    async def _write(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            moment, data = await self._queue.get()
            delay = moment - loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            await self._gate.wait_open()
            if data == END_OF_STREAM:
                return
            self._writer.write(data)
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
        host, _, port = self.spec.listen.rpartition(":")
        return await asyncio.start_server(
            self._accepted, host, int(port), backlog=LISTEN_BACKLOG
        )

    def change(self, change: LinksChange) -> None:
        """Take new behaviour; with ``reset``, break the open connections."""
        self._to_target.change(change.to_target)
        self._to_source.change(change.to_source)
        if change.reset:
            for writer in tuple(self._writers):
                writer.transport.abort()

    async def _accepted(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._to_target.wait_open()
            await self._carry(reader, writer)
        except OSError:
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
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
        pumps = {asyncio.ensure_future(there.run()), asyncio.ensure_future(back.run())}
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


class Emulator:
    """All links of one process and their control endpoint."""

    def __init__(self, settings: EmulatorSettings) -> None:
        """Prepare the links."""
        generator = random.Random(settings.seed)
        self._control = settings.control
        self._links = [EmulatedLink(spec, generator) for spec in settings.links]

    async def start(self) -> None:
        """Listen for all links, then for control requests."""
        for link in self._links:
            await link.start()
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
