"""Waits until started processes are ready, by their logs and admin listeners."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import msgspec

from peppershore_lab.calls.client import ClientAnswer, ClientConnection, ClientRequest
from peppershore_lab.fleet.managed_process import ManagedProcess

POLL_SECONDS = 0.05
LOG_TAIL_BYTES = 1_500
ADMIN_TIMEOUT_SECONDS = 2.0


class NotReady(msgspec.Struct, frozen=True):
    """A process did not become ready; ``log_tail`` is the end of its log."""

    name: str
    reason: str
    log_tail: str


async def wait_listening(
    process: ManagedProcess, address: str, timeout_seconds: float
) -> NotReady | None:
    """Wait until the process accepts connections at ``address``."""
    host, _, port = address.rpartition(":")
    deadline = time.monotonic() + timeout_seconds
    while time.monotonic() < deadline:
        if not process.running:
            return _not_ready(process, f"ended with status {process.exit_status}")
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            await asyncio.sleep(POLL_SECONDS)
            continue
        writer.close()
        return None
    return _not_ready(process, f"does not listen at {address}")


async def wait_ready(
    process: ManagedProcess, admin_address: str, timeout_seconds: float
) -> NotReady | None:
    """Wait until ``/readyz`` of the process answers 200."""
    deadline = time.monotonic() + timeout_seconds
    reason = "no answer of /readyz"
    while time.monotonic() < deadline:
        if not process.running:
            return _not_ready(process, f"ended with status {process.exit_status}")
        answer = await fetch(admin_address, "/readyz")
        if answer is not None and answer.status == 200:
            return None
        if answer is not None:
            reason = answer.body.decode("utf-8", "replace").strip()
        await asyncio.sleep(POLL_SECONDS)
    return _not_ready(process, reason)


async def fetch(address: str, path: str) -> ClientAnswer | None:
    """GET one page; None when no whole answer comes in time."""
    connection = ClientConnection(address)
    try:
        async with asyncio.timeout(ADMIN_TIMEOUT_SECONDS):
            answer = await connection.call(ClientRequest("GET", path, ()))
    except TimeoutError:
        return None
    finally:
        connection.close()
    return answer if isinstance(answer, ClientAnswer) else None


def _not_ready(process: ManagedProcess, reason: str) -> NotReady:
    return NotReady(process.name, reason, log_tail(process.log_path))


def log_tail(path: Path) -> str:
    """Give the end of a log file."""
    if not path.exists():
        return ""
    return path.read_bytes()[-LOG_TAIL_BYTES:].decode("utf-8", "replace")
