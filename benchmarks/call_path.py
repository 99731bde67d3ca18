"""Time and processor time that the call path adds, side by side with forwarders.

One run measures, in turn and in rounds: the direct call, a do-nothing byte
forwarder once and twice, and a node by the direct way (one hop) and through the
back end's own node (two hops).  Every part is a process of its own on loopback.

    python benchmarks/call_path.py --out results/call_path.json

uvloop was tried and is left out: strace shows io_uring_setup in a process that
runs it (0.23), which the place this runs in does not allow.
"""

from __future__ import annotations

import argparse
import asyncio
import cProfile
import io
import json
import os
import pstats
import random
import signal
import statistics
import subprocess
import sys
import time
from pathlib import Path

import msgspec

from peppershore.connection.messages.endpoints import Endpoint
from peppershore.process.node.data_plane import DataPlane
from peppershore.process.settings import NodeSettings
from peppershore.version.active import ActiveConfiguration
from peppershore.version.model import (
    HopMode,
    RouteResource,
    RouteSettings,
    Scope,
    ServiceSettings,
)

SERVICE = "kassa"
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PEAK_CALLS_PER_SECOND = 122
RATE_CONNECTIONS = 8
SATURATION_CONNECTIONS = 16
ANSWER_BODY = b'{"status":"ok","detail":"' + b"x" * 200 + b'"}'
ANSWER = (
    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n"
    % len(ANSWER_BODY)
) + ANSWER_BODY
REQUEST = (
    b"GET /status/12345?lane=3 HTTP/1.1\r\nhost: kassa.refund\r\n"
    b"user-agent: till/4.2\r\naccept: application/json\r\n"
    b"x-request-id: 7c1d3f0a-77\r\npeppershore-deadline-milliseconds: 5000\r\n\r\n"
)
PATHS = ("direct", "forwarder-1", "node-direct", "forwarder-2", "node-owner")


class Sample(msgspec.Struct):
    """What one round of one path showed; seconds."""

    latencies: list[float]
    calls: int
    seconds: float
    processor_seconds: dict[str, float]


# --- parts, each a process ------------------------------------------------------


class EchoBackend(asyncio.Protocol):
    """Answers every request head with the same bytes at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self._transport = transport
        self._buffer = b""

    def data_received(self, data: bytes) -> None:
        """Answer each whole head."""
        self._buffer += data
        while True:
            head, end, rest = self._buffer.partition(b"\r\n\r\n")
            if not end:
                return
            del head
            self._buffer = rest
            self._transport.write(ANSWER)  # type: ignore[attr-defined]


class ForwarderEnd(asyncio.Protocol):
    """One end of a forwarded connection: bytes in, bytes out, nothing else."""

    def __init__(self, target: tuple[str, int] | None, peer: ForwarderEnd | None) -> None:
        """``target`` is set on the accepted side."""
        self._target = target
        self.peer = peer
        self.transport: asyncio.Transport | None = None
        self._early: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Connect onwards if accepted, else pass on what came early."""
        self.transport = transport  # type: ignore[assignment]
        if self._target is not None:
            loop = asyncio.get_running_loop()
            self._task = loop.create_task(
                loop.create_connection(lambda: ForwarderEnd(None, self), *self._target)
            )
        elif self.peer is not None:
            self.peer.peer = self
            for data in self.peer._early:
                self.transport.write(data)  # type: ignore[union-attr]

    def data_received(self, data: bytes) -> None:
        """Pass the bytes on."""
        if self.peer is None or self.peer.transport is None:
            self._early.append(data)
        else:
            self.peer.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the other end."""
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.close()


def _endpoint(backend: str, owner: str) -> Endpoint:
    return Endpoint("k1", SERVICE, "a", 1, 1, "ready", backend, owner, 200, 400)


def _configuration(hop: HopMode) -> ActiveConfiguration:
    route = RouteSettings(
        path_prefix="/status", audience=("public",), repeatable=True, hop=hop
    )
    return ActiveConfiguration(
        scope=Scope("edge", "a"),
        version=1,
        digest=1,
        routes=(RouteResource(SERVICE, "status", route),),
        services={SERVICE: ServiceSettings(slots=200, slow_start_milliseconds=0)},
        secrets={},
    )


async def _serve_backend() -> str:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(EchoBackend, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    return f"{host}:{port}"


async def _serve_forwarder(target: str) -> str:
    host, _, port = target.rpartition(":")
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: ForwarderEnd((host, int(port)), None), "127.0.0.1", 0
    )
    bound = server.sockets[0].getsockname()
    return f"{bound[0]}:{bound[1]}"


async def _serve_node(backend: str, owner: str, hop: HopMode, own: bool) -> str:
    settings = NodeSettings(
        cluster="bench",
        node="k1" if own else "e1",
        service=SERVICE if own else "edge",
        zone="a",
        listen="127.0.0.1:0",
        internal_listen="127.0.0.1:0" if own else "",
        relays=(),
        backend=backend if own else "",
        slots=200,
        connections=400,
    )
    plane = DataPlane(settings, lambda notice: None, seed=1)
    addresses = await plane.start()
    plane.use_configuration(_configuration(hop))
    if own:
        return addresses.internal
    plane.use_endpoints((_endpoint(backend, owner),))
    return addresses.callers


def run_part(arguments: argparse.Namespace) -> None:
    """Run one part until SIGTERM; print its address first."""

    async def main() -> None:
        stop = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
        if arguments.part == "backend":
            address = await _serve_backend()
        elif arguments.part == "forwarder":
            address = await _serve_forwarder(arguments.target)
        else:
            own = arguments.part == "owner"
            hop: HopMode = arguments.hop
            address = await _serve_node(arguments.target, arguments.owner, hop, own)
        print(address, flush=True)
        await stop.wait()

    if not arguments.profile:
        asyncio.run(main())
        return
    profile = cProfile.Profile()
    profile.runcall(asyncio.run, main())
    text = io.StringIO()
    pstats.Stats(profile, stream=text).sort_stats("tottime").print_stats(35)
    Path(arguments.profile).write_text(text.getvalue())


class Part:
    """A started process of this benchmark."""

    def __init__(self, name: str, *arguments: str) -> None:
        """Start it and wait for its address."""
        self.name = name
        command = [sys.executable, __file__, "--part", *arguments]
        self._process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        assert self._process.stdout is not None
        self.address = self._process.stdout.readline().strip()
        assert self.address, f"{name} did not start"

    def processor_seconds(self) -> float:
        """Processor time used since the start."""
        fields = Path(f"/proc/{self._process.pid}/stat").read_text().rsplit(")", 1)[1]
        user, system = fields.split()[11:13]
        return (int(user) + int(system)) / CLOCK_TICKS

    def resident_megabytes(self) -> float:
        """Memory resident now."""
        pages = int(Path(f"/proc/{self._process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    def stop(self) -> None:
        """End the process."""
        self._process.terminate()
        self._process.wait(10)


# --- the load ---------------------------------------------------------------------


class CallerConnection(asyncio.Protocol):
    """A caller's kept connection: one call at a time."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self._transport: asyncio.Transport = transport  # type: ignore[assignment]
        self._buffer = bytearray()
        self._waiter: asyncio.Future[None] | None = None
        self.busy = False

    def data_received(self, data: bytes) -> None:
        """End the call once its answer is whole."""
        self._buffer += data
        head_end = self._buffer.find(b"\r\n\r\n")
        if head_end < 0 or len(self._buffer) < head_end + 4 + len(ANSWER_BODY):
            return
        assert self._buffer.startswith(b"HTTP/1.1 200"), bytes(self._buffer)
        assert self._buffer.endswith(ANSWER_BODY)
        self._buffer.clear()
        assert self._waiter is not None
        self._waiter.set_result(None)

    async def call(self) -> None:
        """Make one call."""
        self._waiter = asyncio.get_running_loop().create_future()
        self._transport.write(REQUEST)
        await self._waiter

    def close(self) -> None:
        """Close."""
        self._transport.close()


async def _connect(address: str, count: int) -> list[CallerConnection]:
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    made = [
        await loop.create_connection(CallerConnection, host, int(port))
        for _ in range(count)
    ]
    connections = [protocol for _, protocol in made]
    for connection in connections:
        await connection.call()
    return connections


async def _timed(connection: CallerConnection, due: float, latencies: list[float]) -> None:
    await connection.call()
    connection.busy = False
    latencies.append(time.perf_counter() - due)


async def load_at_rate(address: str, seconds: float, seed: int) -> list[float]:
    """Call open-loop at the peak rate; waiting of late sends counts."""
    connections = await _connect(address, RATE_CONNECTIONS)
    arrivals = random.Random(seed)
    latencies: list[float] = []
    tasks: list[asyncio.Task[None]] = []
    due = time.perf_counter()
    end = due + seconds
    while due < end:
        due += arrivals.expovariate(PEAK_CALLS_PER_SECOND)
        await asyncio.sleep(max(0.0, due - time.perf_counter()))
        free = next((each for each in connections if not each.busy), None)
        if free is None:
            free = (await _connect(address, 1))[0]
            connections.append(free)
        free.busy = True
        tasks.append(asyncio.create_task(_timed(free, due, latencies)))
    await asyncio.gather(*tasks)
    for connection in connections:
        connection.close()
    return latencies


async def load_saturated(address: str, seconds: float) -> list[float]:
    """Call closed-loop on all connections at once."""
    connections = await _connect(address, SATURATION_CONNECTIONS)
    latencies: list[float] = []
    end = time.perf_counter() + seconds

    async def keep_calling(connection: CallerConnection) -> None:
        while (began := time.perf_counter()) < end:
            await connection.call()
            latencies.append(time.perf_counter() - began)

    await asyncio.gather(*(keep_calling(each) for each in connections))
    for connection in connections:
        connection.close()
    return latencies


# --- the run ------------------------------------------------------------------------


def start_parts(options: argparse.Namespace) -> tuple[list[Part], dict[str, str]]:
    """Start all parts; give them and each path's entry."""

    def profiled(name: str) -> list[str]:
        if not options.profile_folder:
            return []
        return ["--profile", str(Path(options.profile_folder) / f"{name}.txt")]

    backend = Part("back end", "backend")
    forwarder = Part("forwarder-1", "forwarder", "--target", backend.address)
    second = Part("forwarder-2", "forwarder", "--target", forwarder.address)
    owner = Part("owner", "owner", "--target", backend.address, *profiled("owner"))
    aim = ("node", "--target", backend.address, "--owner", owner.address)
    direct = Part("node-direct", *aim, "--hop", "direct", *profiled("direct"))
    through = Part("node-owner", *aim, "--hop", "owner", *profiled("entry"))
    entries = {
        "direct": backend.address,
        "forwarder-1": forwarder.address,
        "forwarder-2": second.address,
        "node-direct": direct.address,
        "node-owner": through.address,
    }
    return [backend, forwarder, second, owner, direct, through], entries


def measure(parts: list[Part], address: str, seconds: float, seed: int | None) -> Sample:
    """Load one path once; ``seed`` None means saturation."""
    before = {part.name: part.processor_seconds() for part in parts}
    began = time.perf_counter()
    if seed is None:
        latencies = asyncio.run(load_saturated(address, seconds))
    else:
        latencies = asyncio.run(load_at_rate(address, seconds, seed))
    elapsed = time.perf_counter() - began
    used = {part.name: part.processor_seconds() - before[part.name] for part in parts}
    return Sample(latencies, len(latencies), elapsed, used)


def run_rounds(
    parts: list[Part], entries: dict[str, str], options: argparse.Namespace, saturated: bool
) -> dict[str, list[Sample]]:
    """Measure every path once a round, in a new order each time."""
    order = random.Random(options.seed)
    samples: dict[str, list[Sample]] = {path: [] for path in PATHS}
    for round_number in range(options.rounds):
        paths = list(PATHS)
        order.shuffle(paths)
        for path in paths:
            seed = None if saturated else round_number
            samples[path].append(measure(parts, entries[path], options.seconds, seed))
    return samples


def _percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def _milliseconds(value: float) -> float:
    return round(value * 1_000, 3)


USED_BY = {
    "direct": (),
    "forwarder-1": ("forwarder-1",),
    "forwarder-2": ("forwarder-1", "forwarder-2"),
    "node-direct": ("node-direct",),
    "node-owner": ("node-owner", "owner"),
}


def summarise(samples: dict[str, list[Sample]]) -> dict[str, dict[str, float]]:
    """Give medians over the rounds, and processor time a call, for each path."""
    result = {}
    for path, rounds in samples.items():
        calls = sum(each.calls for each in rounds)
        used = sum(
            each.processor_seconds[name] for each in rounds for name in USED_BY[path]
        )
        result[path] = {
            "calls": calls,
            "calls_per_second": round(
                statistics.median(e.calls / e.seconds for e in rounds), 1
            ),
            "p50_ms": _milliseconds(
                statistics.median(_percentile(e.latencies, 0.5) for e in rounds)
            ),
            "p99_ms": _milliseconds(
                statistics.median(_percentile(e.latencies, 0.99) for e in rounds)
            ),
            "processor_ms_per_call": round(used / calls * 1_000, 4),
        }
    return result


def compare(summary: dict[str, dict[str, float]]) -> dict[str, float]:
    """Give what nodes and forwarders of equal hops add to the direct call."""
    figures = {}
    for node, forwarder in (("node-direct", "forwarder-1"), ("node-owner", "forwarder-2")):
        for name in ("p50_ms", "p99_ms"):
            direct = summary["direct"][name]
            added = summary[node][name] - direct
            base = summary[forwarder][name] - direct
            figures[f"{node}_added_{name}"] = round(added, 3)
            figures[f"{forwarder}_added_{name}"] = round(base, 3)
            figures[f"{node}_over_{forwarder}_added_{name}"] = round(added / base, 2)
    return figures


def main() -> None:
    """Run the benchmark, or one part of it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--part", choices=["backend", "forwarder", "node", "owner"])
    parser.add_argument("--target", default="")
    parser.add_argument("--owner", default="")
    parser.add_argument("--hop", default="direct")
    parser.add_argument("--profile", default="")
    parser.add_argument("--profile-folder", default="")
    parser.add_argument("--rounds", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=2.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", default="")
    options = parser.parse_args()
    if options.part:
        run_part(options)
        return
    parts, entries = start_parts(options)
    try:
        at_rate = summarise(run_rounds(parts, entries, options, saturated=False))
        saturated = summarise(run_rounds(parts, entries, options, saturated=True))
        memory = {part.name: round(part.resident_megabytes(), 1) for part in parts}
    finally:
        for part in reversed(parts):
            part.stop()
    result = {
        "at_122_calls_per_second": at_rate,
        "added_at_122_calls_per_second": compare(at_rate),
        "saturated_16_connections": saturated,
        "added_saturated": compare(saturated),
        "resident_megabytes": memory,
        "rounds": options.rounds,
        "seconds_per_round": options.seconds,
        "python": sys.version.split()[0],
        "load_average_at_end": os.getloadavg()[0],
    }
    text = json.dumps(result, indent=2)
    print(text)
    if options.out:
        Path(options.out).write_text(text + "\n")


if __name__ == "__main__":
    main()
