"""Messages used on every link: refusal, retry delay and planned close."""

from __future__ import annotations

from peppershore.connection.messages.base import Message

CUT_OFF = "cut off from the control replicas"
"""Reason in ``Goodbye`` of a relay that has lost contact with the control replicas.

It still serves nodes that find no relay with a fresher configuration.
"""


class Refused(Message, frozen=True, tag=1):
    """The peer does not serve this link; ``reason`` is a stable value."""

    reason: str
    detail: str = ""


class RetryAfter(Message, frozen=True, tag=2):
    """Admission control: the receiver should reconnect after ``milliseconds``."""

    milliseconds: int


class Goodbye(Message, frozen=True, tag=3):
    """Planned close of this link; the peer should connect to another process."""

    reason: str
