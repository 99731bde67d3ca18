"""What the driver of a scale run and a hollow process say to each other.

One JSON line per message, on the hollow process's standard input and output.
Times are monotonic seconds, comparable between processes of one machine.
"""

from __future__ import annotations

from typing import Literal

import msgspec

from peppershore.process.settings import PeerRelay
from peppershore.version.model import Version
from peppershore_lab.hollow.layout import FleetLayout


class HollowTask(msgspec.Struct, frozen=True, kw_only=True):
    """What one hollow process runs: every ``stride``-th node from ``first``."""

    layout: FleetLayout
    first: int
    stride: int
    relays: tuple[PeerRelay, ...]
    announce_endpoints: bool = True


class Order(msgspec.Struct, frozen=True, tag_field="order"):
    """Base of the driver's orders; each is answered by one ``HollowReport``."""


class Cut(Order, frozen=True, tag="cut"):
    """Close every link and let none open until ``Heal``; nodes keep what they hold."""


class Heal(Order, frozen=True, tag="heal"):
    """Let links open again; nodes come back by their own backoff."""


class Restart(Order, frozen=True, tag="restart"):
    """Kill and restart the nodes of ``zone`` ("": of all) without their snapshots."""

    zone: str


class Collect(Order, frozen=True, tag="collect"):
    """Report only."""


class Stop(Order, frozen=True, tag="stop"):
    """Close everything and end."""


AnyOrder = Cut | Heal | Restart | Collect | Stop


class Applied(msgspec.Struct, frozen=True, array_like=True):
    """A node began to use a version."""

    node: int
    version: Version
    at: float


class Traffic(msgspec.Struct, frozen=True, array_like=True):
    """Messages of one type that the process's nodes received since it started."""

    message: str
    count: int
    bytes: int


class HollowReport(msgspec.Struct, frozen=True, kw_only=True):
    """State of a hollow process; ``applied`` holds what is new since the last report."""

    kind: Literal["report"] = "report"
    at: float
    nodes: int
    holding: int
    connected: int
    lowest_version: Version
    applied: tuple[Applied, ...]
    steps_back: int
    traffic: tuple[Traffic, ...]
    bytes_received: int
    bytes_sent: int
    cpu_seconds: float
    resident_bytes: int
