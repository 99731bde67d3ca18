"""Authorizes the messages on call links by the peer's certificate."""

from __future__ import annotations

from collections.abc import Callable

from peppershore.connection.authorization import Authorize
from peppershore.connection.link import Link
from peppershore.connection.messages.base import Message
from peppershore.connection.messages.calls import CallLinkHello
from peppershore.process.commands import Notice
from peppershore.process.shell import MessageRefused

MAX_CACHED_PAIRS = 20_000


class LinkGuard:
    """Authorizes messages; caches what is allowed for each peer and type of message."""

    def __init__(self, authorize: Authorize, notice_sink: Callable[[Notice], None]) -> None:
        """``authorize`` decides on a message by the identity of its sender.

        ``notice_sink`` receives a notice of each refused message.
        """
        self._authorize = authorize
        self._notice_sink = notice_sink
        self._allowed: set[tuple[str, type[Message]]] = set()

    def allows(self, link: Link, message: Message) -> bool:
        """Return whether the peer may send this message; a refused one ends its link."""
        kind = (link.peer_identity, type(message))
        if kind in self._allowed:
            return True
        refusal = self._authorize(link.peer_identity, message)
        if refusal:
            notice = MessageRefused(link.peer_address, link.peer_identity, refusal)
            self._notice_sink(notice)
            return False
        if not isinstance(message, CallLinkHello) and len(self._allowed) < MAX_CACHED_PAIRS:
            self._allowed.add(kind)
        return True
