"""The baseline: every node is pushed the whole configuration at each change.

``python -m peppershore_lab.hollow.naive`` runs one pusher or one process of
sinks, by the task on the first line of its standard input.  Links, encoding
and decoding are the product's, so that only the idea differs.
"""

from __future__ import annotations

import asyncio
import resource
import sys
import time

import msgspec

from peppershore.connection.codec import encode_message
from peppershore.connection.link import Link, LinkListener, open_link
from peppershore.connection.messages.base import Message
from peppershore.connection.messages.relay import TreeState
from peppershore.version.model import Overrides, SetOverrides, Tree, TreeNode
from peppershore_lab.hollow.layout import FleetLayout, initial_edit

LOOPBACK = "127.0.0.1"
MAX_LINE_BYTES = 1 << 20


class PusherTask(msgspec.Struct, frozen=True, tag_field="task", tag="pusher"):
    """Serve the tree of ``layout``."""

    layout: FleetLayout


class SinkTask(msgspec.Struct, frozen=True, tag_field="task", tag="sink"):
    """Open ``links`` links, spread over the pushers' ports."""

    ports: tuple[int, ...]
    links: int


class NaiveOrder(msgspec.Struct, frozen=True):
    """``push``: send the whole tree as this version; 0 only asks for a report."""

    push: int = 0


class NaiveReport(msgspec.Struct, frozen=True):
    """What a process did since it started; ``last_at`` is the last arrival."""

    port: int
    links: int
    messages: int
    bytes: int
    last_at: float
    cpu_seconds: float


def whole_tree(layout: FleetLayout, version: int) -> Tree:
    """Give the tree that the layout's first edit creates, as a baseline sends it."""
    nodes: dict[str, TreeNode] = {}
    for operation in initial_edit(layout).operations:
        if isinstance(operation, SetOverrides):
            nodes[operation.path] = TreeNode(operation.overrides, version)
    nodes.setdefault("/", TreeNode(Overrides(), version))
    return Tree(layout.cluster, version, {}, nodes, {})


class Pusher:
    """Sends the whole tree to every link at each order."""

    def __init__(self, task: PusherTask) -> None:
        """Start without links."""
        self._layout = task.layout
        self._links: set[Link] = set()
        self._messages = 0
        self._bytes = 0
        self._port = 0

    async def start(self) -> None:
        """Accept links on a free port."""
        self._port = await LinkListener(self._accepted, None).start(LOOPBACK, 0)

    def push(self, version: int) -> None:
        """Encode once, send to all."""
        payload = encode_message(TreeState(whole_tree(self._layout, version)))
        for link in self._links:
            self._bytes += link.send(payload)
            self._messages += 1

    def report(self) -> NaiveReport:
        """Give the totals so far."""
        return NaiveReport(
            self._port, len(self._links), self._messages, self._bytes, 0.0, _cpu_seconds()
        )

    def _accepted(self, link: Link) -> None:
        self._links.add(link)
        link.start(lambda _message, _size: None, lambda _reason: self._links.discard(link))


class Sink:
    """Takes whole trees on many links."""

    def __init__(self, task: SinkTask) -> None:
        """Start without links."""
        self._task = task
        self._links: list[Link] = []
        self._messages = 0
        self._bytes = 0
        self._last_at = 0.0

    async def start(self) -> None:
        """Open the links, spread evenly over the pushers."""
        for number in range(self._task.links):
            port = self._task.ports[number % len(self._task.ports)]
            link = await open_link(f"{LOOPBACK}:{port}", None)
            assert isinstance(link, Link), link
            link.start(self._received, lambda _reason: None)
            self._links.append(link)

    def push(self, version: int) -> None:
        """A sink sends nothing."""

    def report(self) -> NaiveReport:
        """Give the totals so far."""
        return NaiveReport(
            0, len(self._links), self._messages, self._bytes, self._last_at, _cpu_seconds()
        )

    def _received(self, _message: Message, size: int) -> None:
        self._messages += 1
        self._bytes += size
        self._last_at = time.monotonic()


def _cpu_seconds() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def _print_report(report: NaiveReport) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(report) + b"\n")
    sys.stdout.buffer.flush()


async def run_naive() -> None:
    """Read the task, then carry out orders until the end of input."""
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    task = msgspec.json.decode(await reader.readline(), type=PusherTask | SinkTask)
    part = Pusher(task) if isinstance(task, PusherTask) else Sink(task)
    await part.start()
    _print_report(part.report())
    while line := await reader.readline():
        order = msgspec.json.decode(line, type=NaiveOrder)
        if order.push:
            part.push(order.push)
        _print_report(part.report())


if __name__ == "__main__":
    asyncio.run(run_naive())
