"""One link to a process of the system, for tests and benchmarks that speak its protocol."""

from __future__ import annotations

from peppershore.command.client import LinkLost, OperatorLink
from peppershore.connection.codec import encode_message
from peppershore.connection.link import open_link
from peppershore.connection.messages.base import Message


class PeerLink:
    """An open link without certificates; use ``open``."""

    def __init__(self, link: OperatorLink) -> None:
        """Speak on this link."""
        self._link = link

    @classmethod
    async def open(cls, address: str) -> PeerLink | None:
        """Connect; None if nobody accepts."""
        link = await open_link(address, None)
        return None if isinstance(link, str) else cls(OperatorLink(link))

    def send(self, message: Message) -> None:
        """Send one message."""
        self._link.send(encode_message(message))

    async def receive(self, seconds: float) -> Message | None:
        """Give the next message; None when the link ends or nothing comes in time."""
        message = await self._link.receive(seconds)
        return None if isinstance(message, LinkLost) else message

    def close(self) -> None:
        """End the link."""
        self._link.close()
