"""Samples the relays' metrics while a run goes on: control bytes over time."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable

import msgspec
from prometheus_client.parser import text_string_to_metric_families

from peppershore_lab.fleet.members import Member
from peppershore_lab.fleet.readiness import fetch

PERIOD_SECONDS = 0.5
CONTROL_BYTES_METRIC = "peppershore_control_bytes"


class BytesSample(msgspec.Struct, frozen=True):
    """Bytes that all relays have sent to nodes by a moment (Unix seconds)."""

    unix_seconds: float
    control_bytes: int


class ControlByteSampler:
    """Adds the counters of all relays up, also over restarts of a relay."""

    def __init__(self, relays: Iterable[Member]) -> None:
        """Sample these relays from ``run`` on."""
        self._relays = tuple(relays)
        self._last: dict[str, int] = {}
        self.total = 0
        """Bytes sent by all relays since the first sample."""
        self.samples: list[BytesSample] = []

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            await self.sample()
            await asyncio.sleep(PERIOD_SECONDS)

    async def sample(self) -> None:
        """Take one sample now."""
        counts = await asyncio.gather(*(control_bytes(relay) for relay in self._relays))
        for relay, count in zip(self._relays, counts, strict=True):
            if count is not None:
                self.count(relay.name, count)
        self.samples.append(BytesSample(time.time(), self.total))

    def count(self, relay: str, counter: int) -> None:
        """Take a relay's counter; one below the last began again from 0."""
        last = self._last.get(relay)
        if last is not None:
            self.total += counter - last if counter >= last else counter
        self._last[relay] = counter


async def control_bytes(relay: Member) -> int | None:
    """Ask one relay for its counter; None: no answer."""
    answer = await fetch(relay.admin_address, "/metrics")
    if answer is None or answer.status != 200:
        return None
    for family in text_string_to_metric_families(answer.body.decode()):
        if family.name == CONTROL_BYTES_METRIC:
            return int(family.samples[0].value)
    return None
