"""One link to a process of the system, with what comes on it in a queue."""

from __future__ import annotations

import asyncio

from peppershore.connection.codec import encode_message
from peppershore.connection.link import Link, open_link
from peppershore.connection.messages import Message


class PeerLink:
    """An open link; use ``open``."""

    def __init__(self, link: Link) -> None:
        """Begin to collect what comes."""
        self._link = link
        self._queue: asyncio.Queue[Message | None] = asyncio.Queue()
        link.start(
            on_message=lambda message, _size: self._queue.put_nowait(message),
            on_closed=lambda _reason: self._queue.put_nowait(None),
        )

    @classmethod
    async def open(cls, address: str) -> PeerLink | None:
        """Connect without certificates; None if nobody accepts."""
        link = await open_link(address, None)
        return None if isinstance(link, str) else cls(link)

    def send(self, message: Message) -> None:
        """Send one message."""
        self._link.send(encode_message(message))

    async def receive(self, seconds: float) -> Message | None:
        """Give the next message; None when the link ends or nothing comes in time."""
        try:
            async with asyncio.timeout(seconds):
                return await self._queue.get()
        except TimeoutError:
            return None

    def close(self) -> None:
        """End the link."""
        self._link.close()
