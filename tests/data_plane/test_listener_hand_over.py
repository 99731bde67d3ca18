"""A node process hands its callers' listener over to its successor and cuts no call."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from asyncio.subprocess import PIPE, Process

import pytest
from tests.data_plane.scripted_backend import Received, ScriptedBackend, answer_ok
from tests.data_plane.stage import Answer, Caller, Node, call, configuration, run, until

CALLERS = 6
BOUND_SECONDS = "10"


async def _slow(request: Received, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(0.01)
    await answer_ok(request, writer)


class NodeProcess:
    """One running process of the module ``node_process``."""

    def __init__(self, process: Process, address: str) -> None:
        self.process = process
        self.address = address

    @classmethod
    async def start(
        cls, listen: str, backend: str, way: str = "first", bound: str = BOUND_SECONDS
    ) -> NodeProcess:
        arguments = ("-m", "tests.data_plane.node_process", listen, backend, way, bound)
        process = await asyncio.create_subprocess_exec(
            sys.executable, *arguments, stdin=PIPE, stdout=PIPE
        )
        assert process.stdout is not None
        return cls(process, (await process.stdout.readline()).decode().strip())

    def begin_stop(self) -> None:
        self.process.send_signal(signal.SIGTERM)

    async def stopped(self) -> dict[str, float]:
        out, _ = await self.process.communicate()
        assert self.process.returncode == 0
        report: dict[str, float] = json.loads(out)
        return report


class Traffic:
    """Callers that call all the time, on new connections and on persistent ones."""

    def __init__(self, address: str) -> None:
        self.answers: list[Answer] = []
        self._address = address
        self._going = True
        self._tasks = [
            *(asyncio.create_task(self._new_connections()) for _ in range(CALLERS)),
            *(asyncio.create_task(self._persistent_connection()) for _ in range(CALLERS)),
        ]

    async def enough(self, more: int) -> None:
        wanted = len(self.answers) + more
        await until(lambda: len(self.answers) >= wanted)

    async def end(self) -> None:
        self._going = False
        await asyncio.gather(*self._tasks)

    async def _new_connections(self) -> None:
        while self._going:
            self.answers.append(await call(self._address, method="POST", body=b"x"))

    async def _persistent_connection(self) -> None:
        caller = await Caller.connect(self._address)
        while self._going:
            caller.request(method="POST", body=b"y")
            answer = await caller.answer()
            self.answers.append(answer)
            if answer.headers.get("connection") == "close":
                caller.close()
                caller = await Caller.connect(self._address)
        caller.close()


def test_no_call_is_cut_or_refused_while_one_process_takes_over_from_the_other() -> None:
    async def scene() -> None:
        backend = ScriptedBackend(_slow)
        await backend.start()
        first = await NodeProcess.start("127.0.0.1:0", backend.address)
        traffic = Traffic(first.address)
        await traffic.enough(50)
        second = await NodeProcess.start(first.address, backend.address, "take-over")
        assert second.address == first.address
        await traffic.enough(50)
        first.begin_stop()
        report = await first.stopped()
        await traffic.enough(50)
        second.begin_stop()
        third = await NodeProcess.start(first.address, backend.address, "take-over")
        await second.stopped()
        await traffic.enough(50)
        await traffic.end()
        assert {answer.status for answer in traffic.answers} == {200}
        assert not any(answer.broken for answer in traffic.answers)
        assert report["calls_cut"] == 0
        third.begin_stop()
        ends = await third.stopped()
        assert ends["answered"] >= 50
        backend.stop()

    run(scene())


def test_a_stop_is_bounded_and_reports_the_calls_it_waited_for() -> None:
    async def hang(request: Received, writer: asyncio.StreamWriter) -> None:
        await request.reader.read(1)
        raise ConnectionError

    async def scene() -> None:
        backend = ScriptedBackend(hang)
        await backend.start()
        node = await NodeProcess.start("127.0.0.1:0", backend.address, bound="0.3")
        caller = await Caller.connect(node.address)
        caller.request()
        await until(lambda: len(backend.requests) == 1)
        node.begin_stop()
        report = await node.stopped()
        assert (report["calls_at_start"], report["calls_cut"]) == (1, 1)
        assert (await caller.answer()).broken, "the answer must be visibly cut"
        backend.stop()

    run(scene())


def test_an_address_in_use_is_refused_unless_it_is_taken_over() -> None:
    async def scene() -> None:
        first = Node()
        address = await first.start()
        with pytest.raises(OSError, match="in use"):
            await Node(listen=address).plane.start()
        successor = Node(listen=address, take_over=True)
        assert (await successor.plane.start()).callers == address
        assert not successor.plane.listening, "it has no configuration yet"
        successor.plane.use_configuration(configuration())
        await until(lambda: successor.plane.listening)
        for node in (first, successor):
            await node.plane.close()

    run(scene())
