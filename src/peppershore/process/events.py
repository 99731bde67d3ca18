"""What can happen to a core: the inputs of every ``step``.

Events are past facts.  The asyncio shell, the simulator, the hollow nodes and
the model checker all hand the same events to the same cores.
"""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.base import Message

LinkId = int
"""Names one link within a process.  Links a core opens are odd and chosen by
the core; accepted links are even and chosen by the shell.  Never reused."""


class Event(msgspec.Struct, frozen=True):
    """Base of all events."""


class Started(Event, frozen=True):
    """The process runs; ``seed`` feeds the core's random choices."""

    seed: int


class LinkOpened(Event, frozen=True):
    """A link is usable.  ``address`` is the peer's; ``identity`` its certificate name."""

    link: LinkId
    address: str
    identity: str = ""


class LinkClosed(Event, frozen=True):
    """A link is gone or could not be opened; nothing more comes on it."""

    link: LinkId
    reason: str


class MessageReceived(Event, frozen=True):
    """A whole, decoded message came on a link."""

    link: LinkId
    message: Message


class TimerFired(Event, frozen=True):
    """A timer set by the core ran out; it is no longer set."""

    timer: str


class StopRequested(Event, frozen=True):
    """The process was asked to stop in a planned way."""


class RecordsPersisted(Event, frozen=True):
    """What ``PersistRecords`` with this token asked for is on disk and synced."""

    token: int


class RecordsFailed(Event, frozen=True):
    """The disk refused; nothing of that token may be counted on."""

    token: int
    reason: str
