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
    """Ask for one page; any answer but 200 is a failure, 404 that of ``missing``.

    ``content`` is the request's body.
    """
    host, _, port = address.rpartition(":")
    if not port.isascii() or not port.isdigit():
        return Failure(usage(f"{address!r} is no address", "give IP:port"))
    try:
        async with asyncio.timeout(timeout_seconds):
            reader, writer = await asyncio.open_connection(host.strip("[]"), int(port))
            try:
                question = _question(method, address, path, content)
                status, body = await _ask(reader, writer, question)
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


async def _ask(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    question: tuple[h11.Event, ...],
) -> tuple[int, bytes]:
    """Give status and body; a body that is too large is read no further."""
    connection = h11.Connection(h11.CLIENT)
    writer.write(b"".join(connection.send(event) or b"" for event in question))
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


def _question(
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
