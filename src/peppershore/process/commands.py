"""Commands: the outputs of a core's ``step``, which its shell executes in order.

A command's class is named by a verb.
"""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.base import Message
from peppershore.process.events import LinkId
from peppershore.version.hidden import describe


class Command(msgspec.Struct, frozen=True):
    """Base of all commands: the outputs of a core, which its shell executes."""

    def __repr__(self) -> str:
        """Return a ``repr`` that shows only the length of values of type bytes."""
        return describe(self)


class OpenLink(Command, frozen=True):
    """Connect to ``address`` ("IP:port"); LinkOpened or LinkClosed follows."""

    link: LinkId
    address: str


class CloseLink(Command, frozen=True):
    """Send the queued messages of the link, then close it; no LinkClosed follows."""

    link: LinkId
    reason: str


class SendMessage(Command, frozen=True):
    """Encode and send one message."""

    link: LinkId
    message: Message


class SendEncoded(Command, frozen=True):
    """Send a message already encoded with ``codec.encode_message``.

    Several links may share one encoded message.
    """

    link: LinkId
    payload: bytes


class SetTimer(Command, frozen=True):
    """Fire ``timer`` once after ``delay_seconds``; replaces a timer of the same name."""

    timer: str
    delay_seconds: float


class CancelTimer(Command, frozen=True):
    """Cancel a timer; does nothing if it is not set."""

    timer: str


class PersistRecords(Command, frozen=True):
    """Base of the durable writes of a role; RecordsPersisted or RecordsFailed follows.

    ``token`` is a number by which the core recognizes the event that follows. The shell
    may merge several of these commands into one synced commit.
    """

    token: int


class Notice(msgspec.Struct, frozen=True):
    """Base of log events, each written as a log line and counted in the metrics.

    The class name in snake case is the stable name of the log event; the fields become
    the fields of the log line. A notice holds no key material.
    """


class Report(Command, frozen=True):
    """Write a notice as one structured log line and count it in the metrics."""

    notice: Notice


class Exit(Command, frozen=True):
    """End the process: its planned stop is complete."""

    reason: str
