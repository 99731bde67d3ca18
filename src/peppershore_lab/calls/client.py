"""HTTP/1.1 client connections of a stand-in caller, on h11."""

from __future__ import annotations

import asyncio

import h11
import msgspec

READ_BYTES = 65_536
CONNECT_TIMEOUT_SECONDS = 3.0


class ClientRequest(msgspec.Struct, frozen=True):
    """One request as it is sent."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes = b""


class ClientAnswer(msgspec.Struct, frozen=True):
    """One whole answer; header names are lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class CallBroken(msgspec.Struct, frozen=True):
    """No whole answer came; ``sent`` tells whether any byte of the request left."""

    reason: str
    sent: bool


class ClientConnection:
    """One connection to a node, used for one request at a time."""

    def __init__(self, address: str) -> None:
        """Connect to "IP:port" at the first request."""
        self.address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._protocol = h11.Connection(h11.CLIENT)

    async def call(self, request: ClientRequest) -> ClientAnswer | CallBroken:
        """Send one request; give the whole answer, or why there is none."""
        sent = False
        try:
            await self._ensure_open()
            assert self._writer is not None
            self._writer.write(self._encoded(request))
            sent = True
            answer = await self._read_answer()
        except (OSError, TimeoutError, h11.ProtocolError) as problem:
            self.close()
            return CallBroken(str(problem) or type(problem).__name__, sent)
        except asyncio.CancelledError:
            self.close()
            raise
        self._ready_for_next()
        return answer

    def close(self) -> None:
        """Drop the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._writer = None
        self._reader = None

    async def _ensure_open(self) -> None:
        if self._writer is not None and self._reader is not None:
            if not self._reader.at_eof() and not self._writer.is_closing():
                return
            self.close()
        host, _, port = self.address.rpartition(":")
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            self._reader, self._writer = await asyncio.open_connection(host, int(port))
        self._protocol = h11.Connection(h11.CLIENT)

    def _encoded(self, request: ClientRequest) -> bytes:
        names = {name for name, _ in request.headers}
        headers = [] if "host" in names else [("host", self.address)]
        headers += request.headers
        if request.body:
            headers.append(("content-length", str(len(request.body))))
        head = h11.Request(method=request.method, target=request.path, headers=headers)
        data = self._protocol.send(head) or b""
        if request.body:
            data += self._protocol.send(h11.Data(data=request.body)) or b""
        return data + (self._protocol.send(h11.EndOfMessage()) or b"")

    async def _read_answer(self) -> ClientAnswer:
        head: h11.Response | None = None
        body = bytearray()
        assert self._reader is not None
        while True:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                self._protocol.receive_data(await self._reader.read(READ_BYTES))
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                return _answer_of(head, bytes(body))
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("closed before the answer")

    def _ready_for_next(self) -> None:
        reusable = (
            self._protocol.our_state is h11.DONE and self._protocol.their_state is h11.DONE
        )
        if reusable:
            self._protocol.start_next_cycle()
        else:
            self.close()


def _answer_of(head: h11.Response, body: bytes) -> ClientAnswer:
    headers = {
        name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers
    }
    return ClientAnswer(head.status_code, headers, body)
