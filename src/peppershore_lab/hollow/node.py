"""One hollow node: the real node core on a real link, without disk and data plane."""

from __future__ import annotations

import time
from collections.abc import Callable

from peppershore.connection.messages.base import Message
from peppershore.connection.messages.node import Current
from peppershore.process import events
from peppershore.process.commands import Notice, OpenLink
from peppershore.process.node.commands import (
    ConfigurationSwapped,
    DrainBackend,
    EndpointsSwapped,
    QuarantineChanged,
)
from peppershore.process.node.core import NodeCore, NodeMemory
from peppershore.process.node.inputs import BackendDrained, BackendStateChanged
from peppershore.process.settings import NodeSettings
from peppershore.process.shell import Shell
from peppershore.version.model import Version
from peppershore_lab.hollow.layout import PlacedNode
from peppershore_lab.hollow.protocol import Applied, HollowTask

CUT_REASON = "cut"
BACKEND_ADDRESS = "127.0.0.1:9"

OnApplied = Callable[[Applied], None]
OnMessage = Callable[[str, int], None]


class HollowShell(Shell):
    """A node's shell that swaps configurations without using them."""

    def __init__(
        self, core: NodeCore, on_swap: Callable[[Version], None], on_message: OnMessage
    ) -> None:
        """Bind a core; ``on_swap`` hears of each version that comes into use."""
        super().__init__(core, _ignore_notice)
        self.is_cut = False
        self._on_swap = on_swap
        self._on_message = on_message
        self.handle(ConfigurationSwapped, self._swap)
        self.handle(EndpointsSwapped, lambda _command: None)
        self.handle(QuarantineChanged, lambda _command: None)
        self.handle(DrainBackend, lambda _command: self.dispatch(BackendDrained()))

    @property
    def is_connected(self) -> bool:
        """Whether any link is open."""
        return bool(self._links)

    def cut(self) -> None:
        """Lose every link; none opens while ``is_cut``."""
        self.is_cut = True
        for link_id, link in list(self._links.items()):
            link.close()
            self._lost(link_id, CUT_REASON)

    def _open_link(self, command: OpenLink) -> None:
        if self.is_cut:
            self.dispatch(events.LinkClosed(command.link, CUT_REASON))
            return
        super()._open_link(command)

    def _received(self, link_id: events.LinkId, message: Message, size: int) -> None:
        self._on_message(type(message).__name__, size)
        super()._received(link_id, message, size)
        if isinstance(message, Current):
            self._on_swap(message.version)

    def _swap(self, command: ConfigurationSwapped) -> None:
        self._on_swap(command.active.version)


class HollowNode:
    """A node's lives, one after the other, and what it held over all of them."""

    def __init__(
        self,
        placed: PlacedNode,
        task: HollowTask,
        on_applied: OnApplied,
        on_message: OnMessage,
    ) -> None:
        """Describe the node; ``start`` starts its first life."""
        self.placed = placed
        self.version: Version = 0
        self.steps_back = 0
        self._highest: Version = 0
        self._incarnation = 0
        self._on_applied = on_applied
        self._on_message = on_message
        self._settings = _settings(placed, task)
        self._past_received = 0
        self._past_sent = 0
        self._shell = self._new_shell()

    @property
    def connected(self) -> bool:
        """Whether the node has a link to a relay."""
        return self._shell.is_connected

    @property
    def bytes_received(self) -> int:
        """Bytes received over all lives, frame headers included."""
        return self._past_received + self._shell.bytes_received

    @property
    def bytes_sent(self) -> int:
        """Bytes sent over all lives, frame headers included."""
        return self._past_sent + self._shell.bytes_sent

    def start(self) -> None:
        """Start the core and report its back end as ready."""
        self._shell.start()
        if self._settings.backend:
            self._shell.dispatch(BackendStateChanged("ready"))

    def cut(self) -> None:
        """Lose all links; the node keeps what it holds."""
        self._shell.cut()

    def heal(self) -> None:
        """Let links open again."""
        self._shell.is_cut = False

    async def restart(self) -> None:
        """End this life at once and start another without any memory."""
        await self.close()
        self._past_received += self._shell.bytes_received
        self._past_sent += self._shell.bytes_sent
        self.version = 0
        self._shell = self._new_shell()
        self.start()

    async def close(self) -> None:
        """End this life."""
        await self._shell.close()

    def _new_shell(self) -> HollowShell:
        self._incarnation += 1
        core = NodeCore(self._settings, NodeMemory(self._incarnation), BACKEND_ADDRESS)
        return HollowShell(core, self._swapped, self._on_message)

    def _swapped(self, version: Version) -> None:
        if version < self._highest:
            self.steps_back += 1
        self.version = version
        self._highest = max(self._highest, version)
        self._on_applied(Applied(self.placed.number, version, time.monotonic()))


def _settings(placed: PlacedNode, task: HollowTask) -> NodeSettings:
    return NodeSettings(
        cluster=task.layout.cluster,
        node=placed.name,
        service=placed.scope.service,
        zone=placed.scope.zone,
        listen="127.0.0.1:0",
        relays=task.relays,
        backend=BACKEND_ADDRESS if task.announce_endpoints else "",
    )


def _ignore_notice(notice: Notice) -> None:
    del notice
