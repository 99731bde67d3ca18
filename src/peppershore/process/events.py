"""Events: the inputs of a core's ``step``, named in the past tense.

The asyncio shell, the simulator, the hollow nodes (many node cores in one process,
without a data plane) and the model checker all pass the same events to the same cores.
"""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.base import Message

LinkId = int
"""Number of a link, unique within a process and never reused.

A core assigns odd numbers to the links it opens; the shell assigns even numbers to
accepted links.
"""


class Event(msgspec.Struct, frozen=True):
    """Base of all events: the inputs that a shell passes to its core's ``step``."""


class Started(Event, frozen=True):
    """The process has started; ``seed`` seeds the random choices of the core."""

    seed: int


class LinkOpened(Event, frozen=True):
    """A link is usable; ``address`` and ``identity`` (from its certificate) are the peer's.

    ``identity`` is empty without TLS.
    """

    link: LinkId
    address: str
    identity: str = ""


class LinkClosed(Event, frozen=True):
    """A link was closed or could not be opened; no more events follow for it."""

    link: LinkId
    reason: str


class MessageReceived(Event, frozen=True):
    """A complete message was received on a link and decoded."""

    link: LinkId
    message: Message


class TimerFired(Event, frozen=True):
    """A timer set by the core expired and is no longer set."""

    timer: str


class StopRequested(Event, frozen=True):
    """A planned stop of the process was requested."""


class RecordsPersisted(Event, frozen=True):
    """The records of a ``PersistRecords`` command are written to disk and synced.

    ``token`` is the number that the core gave to the command.
    """

    token: int


class RecordsFailed(Event, frozen=True):
    """The records of a ``PersistRecords`` command could not be written to disk.

    ``token`` is the number that the core gave to the command; none of its records may be
    relied on.
    """

    token: int
    reason: str
