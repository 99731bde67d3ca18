"""What a core asks its shell to do: the outputs of every ``step``.

Commands are verbs.  A shell carries them out in order.
"""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.base import Message
from peppershore.process.events import LinkId
from peppershore.version.hidden import describe


class Command(msgspec.Struct, frozen=True):
    """Base of all commands."""

    def __repr__(self) -> str:
        """Show of bytes only how many there are."""
        return describe(self)


class OpenLink(Command, frozen=True):
    """Connect to ``address`` ("IP:port"); answered by LinkOpened or LinkClosed."""

    link: LinkId
    address: str


class CloseLink(Command, frozen=True):
    """Send what is queued on the link, then close it; no LinkClosed follows."""

    link: LinkId
    reason: str


class SendMessage(Command, frozen=True):
    """Encode and send one message."""

    link: LinkId
    message: Message


class SendEncoded(Command, frozen=True):
    """Send a message encoded before with ``codec.encode_message``, shared by links."""

    link: LinkId
    payload: bytes


class SetTimer(Command, frozen=True):
    """Fire ``timer`` once after ``delay_seconds``; replaces a timer of that name."""

    timer: str
    delay_seconds: float


class CancelTimer(Command, frozen=True):
    """Forget a timer."""

    timer: str


class PersistRecords(Command, frozen=True):
    """Base of role-specific durable writes; answered by RecordsPersisted or -Failed.

    The shell may merge the writes of several tokens into one synced commit.
    """

    token: int


class Notice(msgspec.Struct, frozen=True):
    """Base of what a core reports to logs and metrics.

    The class name in snake case is the log event's stable name, its fields are
    the log record's fields.  A notice holds no key material.
    """


class Report(Command, frozen=True):
    """Write one structured log line and count it."""

    notice: Notice


class Exit(Command, frozen=True):
    """The planned stop is complete; end the process."""

    reason: str
