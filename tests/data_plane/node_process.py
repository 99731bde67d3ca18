"""Runs a data plane as a separate process until SIGTERM, then prints its drain report.

It also stops when its standard input closes, so that a failed test leaves no process.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys

import msgspec
from tests.data_plane.stage import configuration, endpoint

from peppershore.process.node.data_plane import DataPlane
from peppershore.process.settings import NodeSettings


async def main(listen: str, backend: str, take_over: bool, bound_seconds: float) -> None:
    settings = NodeSettings(
        cluster="test",
        node="e2" if take_over else "e1",
        service="edge",
        zone="pasila",
        listen=listen,
        relays=(),
        take_over=take_over,
    )
    plane = DataPlane(settings, lambda notice: None, seed=7)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_reader(sys.stdin.fileno(), stop.set)
    addresses = await plane.start()
    plane.use_endpoints((endpoint(backend),))
    plane.use_configuration(configuration())
    while not plane.listening:  # noqa: ASYNC110
        await asyncio.sleep(0.002)
    print(addresses.callers, flush=True)
    await stop.wait()
    loop.remove_reader(sys.stdin.fileno())
    report = await plane.drained(bound_seconds)
    answered = plane.calls.counts.answered
    print(json.dumps(msgspec.to_builtins(report) | {"answered": answered}), flush=True)
    await plane.close()


if __name__ == "__main__":
    listen, backend, take_over, bound = sys.argv[1:]
    asyncio.run(main(listen, backend, take_over == "take-over", float(bound)))
