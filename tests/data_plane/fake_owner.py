"""An owner (the node co-located with a back end) scripted by a test, on a raw call link."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from peppershore.connection.codec import decode_message, encode_message
from peppershore.connection.framing import FrameReader, encode_frame
from peppershore.connection.head_packing import HeadUnpacker
from peppershore.connection.messages.base import Message
from peppershore.connection.messages.calls import (
    CallBody,
    CallLinkAlive,
    CallLinkProbe,
    CallPacked,
    CallStarted,
)

Reply = Callable[[Message], Message | None]


class FakeOwner:
    """Answers link probes of its peers, and every other message as the script says."""

    def __init__(self, reply: Reply = lambda message: None) -> None:
        self.received: list[Message] = []
        self.silent = False
        self.links = 0
        self._reply = reply
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    @property
    def body_bytes(self) -> int:
        """Number of request body bytes received."""
        return sum(
            len(each.data)
            for each in self.received
            if isinstance(each, CallStarted | CallBody)
        )

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.links += 1
        frames = FrameReader()
        heads = HeadUnpacker()
        while data := await reader.read(65_536):
            for payload in frames.feed(data).unwrap():
                message = decode_message(payload).unwrap()
                if isinstance(message, CallPacked):
                    unpacked = heads.unpack(message.packed).unwrap()
                    message = decode_message(unpacked).unwrap()
                answer = self._answer(message)
                if answer is not None and not self.silent:
                    writer.write(encode_frame(encode_message(answer)))
        writer.close()

    def _answer(self, message: Message) -> Message | None:
        if isinstance(message, CallLinkProbe):
            return CallLinkAlive(message.number)
        self.received.append(message)
        return self._reply(message)
