"""Upstreams send a few of their answers once more, late, while they are full.

Each round fills both upstreams of a service. The clients of one of them leave, and that
upstream goes on with their work, so that it is full although its node has nothing there.
Then one unsafe request is sent.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import secrets
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from fleet import Fleet, Machine, run_case  # noqa: E402
from parts import (  # noqa: E402
    ATTEMPT,
    DEADLINE,
    EXPECTED,
    NOT_RUN,
    SIGNATURE,
    SLOTS,
    Answer,
    Headers,
    Upstream,
    answer_bytes,
    call,
    configuration,
    place,
    read_body,
    read_head,
    route,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "lupu7.example"
PLAY_SECONDS = 75.0
QUEUE = 4
"""An upstream works on SLOTS requests at a time and queues a few more (PROTOCOL.md)."""

SHORT_SECONDS = 0.004
SURPLUS_SHARE = 0.06
"""Share of its answers that an upstream sends once more: twice the dose of the site."""


class Full(Upstream):
    """An upstream with a short queue that goes on with work whose client has left.

    Work on a path with "/held/" lasts until ``released`` is set. If it is ``faulty``, some
    of its answers come once more, in the place of the next one on that connection.
    """

    def __init__(self, node: Machine, faulty: bool) -> None:
        """Create the upstream beside ``node``."""
        super().__init__(node, self._take_time)
        self.released = asyncio.Event()
        self.refused = asyncio.Event()
        self.present = 0
        self._faulty = faulty
        self._chance = random.Random(1)
        self._works: set[asyncio.Task[None]] = set()

    async def _take_time(self, line: str) -> None:
        if "/held/" in line:
            await self.released.wait()
        else:
            await asyncio.sleep(SHORT_SECONDS)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        ends = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError)
        last = b""
        with contextlib.suppress(*ends):
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if last and self._is_surplus_due():
                    writer.write(last)
                    self._note(f"sends its last answer again, before {headers[ATTEMPT]}")
                last = await self._answer_to(line, headers, body)
                writer.write(last)
        writer.close()

    def _is_surplus_due(self) -> bool:
        return self._faulty and self._chance.random() < SURPLUS_SHARE

    async def _answer_to(self, line: str, headers: Headers, body: bytes) -> bytes:
        """Run a request, or refuse it; work goes on if the connection closes meanwhile."""
        request = headers.get(ATTEMPT, "")
        if headers.get(EXPECTED, self.instance) != self.instance:
            return answer_bytes("421 Misdirected Request", {ATTEMPT: request}, b"")
        if self.present >= SLOTS + QUEUE:
            self._note(f"is full and refuses {request}")
            self.refused.set()
            refusal = {ATTEMPT: request, NOT_RUN: "1"}
            return answer_bytes("503 Service Unavailable", refusal, b"")
        self.present += 1
        work = asyncio.create_task(self._work_on(request, line, body))
        self._works.add(work)
        work.add_done_callback(self._works.discard)
        await asyncio.shield(work)
        signed = {ATTEMPT: request, SIGNATURE: f"{self.instance}.{request}"}
        return answer_bytes("200 OK", signed, f"ran {request}\n".encode())

    async def _work_on(self, request: str, line: str, body: bytes) -> None:
        try:
            await self.run(request, line, body)
        finally:
            self.present -= 1

    def _note(self, text: str) -> None:
        self.node.fleet.record(f"{self.node.name}'s upstream {text}")


async def send(node: Machine, method: str, path: str, request: str) -> Answer | None:
    """Send a client's request and record how it ends."""
    headers = {ATTEMPT: request, DEADLINE: "4000"}
    body = b"pay" if method == "POST" else b""
    answer = await call(
        node.address("outbound"),
        method,
        HOST,
        path,
        headers=headers,
        body=body,
        seconds=5.0,
    )
    said = "no answer" if answer is None else str(answer.status)
    node.fleet.record(f"client: {method} {request} is answered: {said}")
    return answer


async def hold(
    node: Machine, upstreams: list[Full], count: int
) -> list[asyncio.Task[Answer | None]]:
    """Send requests whose work lasts; return them once the upstreams have them."""
    requests = [secrets.token_hex(8) for _ in range(count)]
    before = sum(upstream.present for upstream in upstreams)
    held = [
        asyncio.create_task(send(node, "GET", f"/reads/held/{request}", request))
        for request in requests
    ]
    until = node.fleet.seconds + 1.0
    while sum(each.present for each in upstreams) < before + count:
        if node.fleet.seconds > until:
            break
        await asyncio.sleep(0.002)
    return held


async def play(node: Machine, near: Full, far: Full, number: int) -> str:
    """Fill both upstreams, let the clients of one leave, and send one unsafe request."""
    both = [near, far]
    for upstream in both:
        upstream.released.clear()
        upstream.refused.clear()
    short = [secrets.token_hex(8) for _ in range(8)]
    await asyncio.gather(*(send(node, "GET", "/reads/short", each) for each in short))
    held = await hold(far.node, [far], SLOTS)
    left = await hold(near.node, [near], SLOTS)
    await leave(left)
    waiting = await hold(near.node, [near], QUEUE)
    await leave(waiting)
    node.fleet.record(f"round {number}: full are {near.present} and {far.present}")
    pay = secrets.token_hex(8)
    payment = asyncio.create_task(send(node, "POST", f"/pay/{pay}", pay))
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(0.2):
            await near.refused.wait()
    await asyncio.sleep(0.002)
    near.released.set()
    await asyncio.sleep(0.06)
    far.released.set()
    await payment
    await asyncio.gather(*held, *left, *waiting, return_exceptions=True)
    await asyncio.sleep(0.03)
    return pay


async def leave(held: list[asyncio.Task[Answer | None]]) -> None:
    """Have the clients of these requests close their connections."""
    for task in held:
        task.cancel()
    await asyncio.sleep(0.015)


async def run(fleet: Fleet) -> int:
    """Play the case; return the exit status."""
    hubs = fleet.add_hubs(3)
    names = ("lodgement", "lodgement", "registry")
    nodes = [fleet.add(f"sidecar-{k}", "node") for k in range(1, 4)]
    for node, service in zip(nodes, names, strict=True):
        node.service = service
    near, far = Full(nodes[0], TROUBLE), Full(nodes[1], TROUBLE)
    for machine in fleet.machines:
        machine.start()
    await near.start()
    await far.start()
    routes = {
        "r-pay": route(HOST, "/pay/", "once", "lodgement", attempts=3),
        "r-reads": route(HOST, "/reads/", "repeatable", "lodgement", attempts=2),
    }
    if not await place(fleet, hubs, configuration(1, 0, routes), 30.0):
        return 2
    await asyncio.sleep(5.0)
    pays: list[str] = []
    until = fleet.seconds + PLAY_SECONDS
    while fleet.seconds < until:
        pays.append(await play(nodes[2], near, far, len(pays)))
        near, far = far, near
    runs = [each.request for upstream in (near, far) for each in upstream.runs]
    twice = [pay for pay in pays if runs.count(pay) > 1]
    for pay in twice:
        fleet.record(f"TWICE {pay}: an unsafe request was run {runs.count(pay)} times")
    fleet.record(f"{len(pays)} unsafe requests, {len(twice)} run more than once")
    return 1 if twice else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(run_case(Path(__file__).parent, run)))
