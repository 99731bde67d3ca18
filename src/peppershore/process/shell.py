"""The asyncio shell that executes a core's commands and passes events to it.

One shell drives one core on one event loop. It owns the sockets, timers and the clock.
The shells of the roles are subclasses that add durable records, HTTP listeners or a back
end.
"""

from __future__ import annotations

import asyncio
import itertools
import secrets
import ssl
from collections.abc import Callable
from typing import Any, ClassVar, TypeVar

from peppershore.connection.authorization import Authorize, allow_all
from peppershore.connection.codec import encode_message
from peppershore.connection.link import Link, LinkListener, open_link
from peppershore.connection.messages.base import Message
from peppershore.connection.messages.session import Refused
from peppershore.process import commands, events
from peppershore.process.core import Core

FIRST_ACCEPTED_LINK = 2
ACCEPTED_LINK_STEP = 2

CommandType = TypeVar("CommandType", bound=commands.Command)
NoticeSink = Callable[[commands.Notice], None]
NOT_AUTHORIZED = "not authorized"


class MessageRefused(commands.Notice, frozen=True):
    """A peer sent a message that its certificate does not allow."""

    level: ClassVar[str] = "warning"
    address: str
    identity: str
    reason: str


class Shell:
    """Drives one core: passes events to it and executes the commands it returns."""

    def __init__(
        self,
        core: Core,
        notice_sink: NoticeSink,
        client_tls: ssl.SSLContext | None = None,
        server_tls: ssl.SSLContext | None = None,
        authorize: Authorize = allow_all,
    ) -> None:
        """Set up the shell without starting anything; see ``listen`` and ``start``.

        ``client_tls`` is used for links that this process opens, ``server_tls`` for those
        it accepts; without them the links use no TLS. ``authorize`` returns why a received
        message is refused, or an empty string. After a refused message its link is
        closed.
        """
        self.core = core
        self.stopped = asyncio.Event()
        self.bytes_sent = 0
        self.bytes_received = 0
        self._notice_sink = notice_sink
        self._client_tls = client_tls
        self._server_tls = server_tls
        self._authorize = authorize
        self._links: dict[events.LinkId, Link] = {}
        self._opening: dict[events.LinkId, asyncio.Task[None]] = {}
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._accepted_ids = itertools.count(FIRST_ACCEPTED_LINK, ACCEPTED_LINK_STEP)
        self._listeners: list[LinkListener] = []
        self._handlers: dict[type[commands.Command], Callable[[Any], None]] = {}
        self.handle(commands.OpenLink, self._open_link)
        self.handle(commands.CloseLink, self._close_link)
        self.handle(commands.SendMessage, self._send_message)
        self.handle(commands.SendEncoded, self._send_encoded)
        self.handle(commands.SetTimer, self._set_timer)
        self.handle(commands.CancelTimer, self._cancel_timer)
        self.handle(commands.Report, self._report)
        self.handle(commands.Exit, self._exit)

    def handle(
        self,
        command_type: type[CommandType],
        handler: Callable[[CommandType], None],
    ) -> None:
        """Register the handler for commands of exactly this type (not its subclasses)."""
        self._handlers[command_type] = handler

    @property
    def refused_handshakes(self) -> int:
        """Number of connections refused because of too many TLS handshakes in progress."""
        return sum(listener.refused_handshakes for listener in self._listeners)

    @property
    def now(self) -> float:
        """Monotonic time of the event loop in seconds, as passed to the core."""
        return asyncio.get_running_loop().time()

    async def listen(self, host: str, port: int) -> int:
        """Accept links on an address and return the bound port."""
        listener = LinkListener(self._accepted, self._server_tls)
        bound_port = await listener.start(host, port)
        self._listeners.append(listener)
        return bound_port

    def start(self, seed: int | None = None) -> None:
        """Pass ``Started`` to the core, with a random seed if none is given."""
        chosen = secrets.randbits(63) if seed is None else seed
        self.dispatch(events.Started(chosen))

    def dispatch(self, event: events.Event) -> None:
        """Step the core with ``event`` and execute its commands in order."""
        for command in self.core.step(event, self.now):
            self.execute(command)

    async def close(self) -> None:
        """Close listeners, links and timers without passing events to the core."""
        for timer in self._timers.values():
            timer.cancel()
        for task in self._opening.values():
            task.cancel()
        for listener in self._listeners:
            await listener.close()
        for link in list(self._links.values()):
            link.close()
        self._links.clear()

    def execute(self, command: commands.Command) -> None:
        """Execute one command by its handler; a missing handler is a programming error."""
        handler = self._handlers.get(type(command))
        assert handler is not None, f"no handler registered for {type(command).__name__}"
        handler(command)

    def _open_link(self, command: commands.OpenLink) -> None:
        task = asyncio.get_running_loop().create_task(self._connect(command))
        self._opening[command.link] = task

    def _close_link(self, command: commands.CloseLink) -> None:
        task = self._opening.pop(command.link, None)
        if task is not None:
            task.cancel()
        link = self._links.pop(command.link, None)
        if link is not None:
            link.close()

    def _send_message(self, command: commands.SendMessage) -> None:
        self._send_payload(command.link, encode_message(command.message))

    def _send_encoded(self, command: commands.SendEncoded) -> None:
        self._send_payload(command.link, command.payload)

    def _set_timer(self, command: commands.SetTimer) -> None:
        self._cancel(command.timer)
        loop = asyncio.get_running_loop()
        handle = loop.call_later(command.delay_seconds, self._fire, command.timer)
        self._timers[command.timer] = handle

    def _cancel_timer(self, command: commands.CancelTimer) -> None:
        self._cancel(command.timer)

    def _report(self, command: commands.Report) -> None:
        self._notice_sink(command.notice)

    def _exit(self, command: commands.Exit) -> None:
        del command
        self.stopped.set()

    def _send_payload(self, link_id: events.LinkId, payload: bytes) -> None:
        link = self._links.get(link_id)
        if link is None:
            return
        self.bytes_sent += link.send(payload)

    def _cancel(self, timer: str) -> None:
        handle = self._timers.pop(timer, None)
        if handle is not None:
            handle.cancel()

    def _fire(self, timer: str) -> None:
        self._timers.pop(timer, None)
        self.dispatch(events.TimerFired(timer))

    async def _connect(self, command: commands.OpenLink) -> None:
        outcome = await open_link(command.address, self._client_tls)
        if self._opening.pop(command.link, None) is None:
            return
        if isinstance(outcome, str):
            self.dispatch(events.LinkClosed(command.link, outcome))
            return
        self._add_link(command.link, outcome)

    def _accepted(self, link: Link) -> None:
        self._add_link(next(self._accepted_ids), link)

    def _add_link(self, link_id: events.LinkId, link: Link) -> None:
        self._links[link_id] = link
        self.dispatch(events.LinkOpened(link_id, link.peer_address, link.peer_identity))
        link.start(
            on_message=lambda message, size: self._received(link_id, message, size),
            on_closed=lambda reason: self._lost(link_id, reason),
        )

    def _received(self, link_id: events.LinkId, message: Message, size: int) -> None:
        self.bytes_received += size
        link = self._links.get(link_id)
        if link is None:
            return
        refusal = self._authorize(link.peer_identity, message)
        if refusal:
            self._refuse(link_id, link, refusal)
            return
        self.dispatch(events.MessageReceived(link_id, message))

    def _refuse(self, link_id: events.LinkId, link: Link, refusal: str) -> None:
        self._notice_sink(MessageRefused(link.peer_address, link.peer_identity, refusal))
        link.send(encode_message(Refused(NOT_AUTHORIZED, refusal)))
        link.close()
        self._lost(link_id, refusal)

    def _lost(self, link_id: events.LinkId, reason: str) -> None:
        if self._links.pop(link_id, None) is not None:
            self.dispatch(events.LinkClosed(link_id, reason))
