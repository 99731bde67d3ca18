"""HTTP client that fetches one page from a process's admin listener."""

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
_NOT_FOUND = 404


async def fetch(
    address: str,
    path: str,
    timeout_seconds: float,
    method: str = "GET",
    missing: Failed | None = None,
    *,
    content: bytes = b"",
) -> Result[bytes, Failed]:
    """Request one page and return the body of a response with status 200.

    Any other status is a failure; status 404 fails with ``missing`` if that is given.
    ``content`` is the body of the request.
    """
    host, _, port = address.rpartition(":")
    if not port.isascii() or not port.isdigit():
        return Failure(usage(f"{address!r} is no address", "give IP:port"))
    try:
        async with asyncio.timeout(timeout_seconds):
            reader, writer = await asyncio.open_connection(host.strip("[]"), int(port))
            try:
                events = _request_events(method, address, path, content)
                status, body = await _exchange(reader, writer, events)
            finally:
                writer.close()
    except (OSError, TimeoutError, ValueError, h11.RemoteProtocolError) as problem:
        return Failure(_unreachable(address, connection_problem(problem)))
    if status == _NOT_FOUND and missing is not None:
        return Failure(missing)
    if len(body) > MAX_BODY_BYTES:
        return Failure(_unreachable(address, f"more than {MAX_BODY_BYTES} bytes"))
    if status != _OK:
        return Failure(_unreachable(address, f"status {status} for {path}"))
    return Success(body)


async def _exchange(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    events: tuple[h11.Event, ...],
) -> tuple[int, bytes]:
    """Return status and body; stop reading a body longer than ``MAX_BODY_BYTES``."""
    connection = h11.Connection(h11.CLIENT)
    writer.write(b"".join(connection.send(event) or b"" for event in events))
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
            break
    return status, bytes(body)


def _request_events(
    method: str, address: str, path: str, content: bytes
) -> tuple[h11.Event, ...]:
    headers = [("host", address), ("connection", "close")]
    if content:
        headers.append(("content-length", str(len(content))))
    request = h11.Request(method=method, target=path, headers=headers)
    if not content:
        return (request, h11.EndOfMessage())
    return (request, h11.Data(data=content), h11.EndOfMessage())


def _unreachable(address: str, reason: str) -> Failed:
    return Failed(
        code=ExitCode.UNREACHABLE,
        kind="unreachable",
        message=f"the admin listener at {address} gave no page: {reason}",
        next_step="check the address; it is admin_listen in the process's settings",
    )
