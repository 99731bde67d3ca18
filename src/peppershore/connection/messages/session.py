"""Messages of every link: refusals, waits and planned ends."""

from __future__ import annotations

from peppershore.connection.messages.base import Message

CUT_OFF = "cut off from the control replicas"
"""Reason of a relay that goes on serving those that find no fresher one."""


class Refused(Message, frozen=True, tag=1):
    """The peer will not serve this link; ``reason`` is a stable word."""

    reason: str
    detail: str = ""


class RetryAfter(Message, frozen=True, tag=2):
    """Admission control: come back after so many milliseconds."""

    milliseconds: int


class Goodbye(Message, frozen=True, tag=3):
    """A planned end of this link; the peer should move to another process."""

    reason: str
