"""Fetches one page from a process's admin listener."""

from __future__ import annotations

import asyncio

import h11
from returns.result import Failure, Result, Success

from peppershore.command.exit_codes import ExitCode
from peppershore.command.failures import Failed, usage
from peppershore.connection.link import connection_problem

RECEIVE_BYTES = 65_536
MAX_BODY_BYTES = 64 * 1024 * 1024
_OK = 200


async def fetch(address: str, path: str, timeout_seconds: float) -> Result[bytes, Failed]:
    """GET one page; any answer but 200 is a failure."""
    host, _, port = address.rpartition(":")
    if not port.isascii() or not port.isdigit():
        return Failure(usage(f"{address!r} is no address", "give IP:port"))
    try:
        async with asyncio.timeout(timeout_seconds):
            reader, writer = await asyncio.open_connection(host.strip("[]"), int(port))
            try:
                return await _get(reader, writer, address, path)
            finally:
                writer.close()
    except (OSError, TimeoutError, ValueError, h11.RemoteProtocolError) as problem:
        return Failure(_unreachable(address, connection_problem(problem)))


async def _get(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, address: str, path: str
) -> Result[bytes, Failed]:
    connection = h11.Connection(h11.CLIENT)
    headers = [("host", address), ("connection", "close")]
    head = connection.send(h11.Request(method="GET", target=path, headers=headers))
    writer.write((head or b"") + (connection.send(h11.EndOfMessage()) or b""))
    status = 0
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(RECEIVE_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            break
        if len(body) > MAX_BODY_BYTES:
            return Failure(_unreachable(address, f"more than {MAX_BODY_BYTES} bytes"))
    if status != _OK:
        return Failure(_unreachable(address, f"status {status} for {path}"))
    return Success(bytes(body))


def _unreachable(address: str, reason: str) -> Failed:
    return Failed(
        code=ExitCode.UNREACHABLE,
        kind="unreachable",
        message=f"the admin listener at {address} gave no page: {reason}",
        next_step="check the address; it is admin_listen in the process's settings",
    )
