"""Calls multiplexed as streams on one link between two nodes.

Stream numbers only increase, so a late message can't reach the stream of another call.
Flow control: in each direction, the body bytes of a stream are bounded by credit.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import Protocol

from returns.result import Failure

from peppershore.connection.codec import decode_message, encode_message
from peppershore.connection.head_packing import HeadPacker, HeadUnpacker
from peppershore.connection.link import Link
from peppershore.connection.messages.base import Message
from peppershore.connection.messages.calls import (
    STREAM_WINDOW_BYTES,
    CallAnswerBody,
    CallAnswered,
    CallBody,
    CallCancelled,
    CallCredit,
    CallNotRun,
    CallPacked,
    CallStarted,
    CallUnknown,
)
from peppershore.connection.traffic import TRAFFIC

NOT_AUTHORIZED = "not authorized"


class StreamSink(Protocol):
    """Receiver of the messages of one stream."""

    def stream_message(self, message: Message) -> None:
        """Handle the next message of this stream."""

    def stream_lost(self, reason: str) -> None:
        """Handle the loss of the link: no more messages follow."""


StreamMessage = (
    CallStarted
    | CallBody
    | CallCancelled
    | CallCredit
    | CallAnswered
    | CallAnswerBody
    | CallNotRun
    | CallUnknown
)

MessageWithBody = CallStarted | CallBody | CallAnswered | CallAnswerBody


class CallLink:
    """One link between two nodes and the streams on it, one stream per call."""

    def __init__(
        self,
        link: Link,
        on_started: Callable[[CallLink, CallStarted], None],
        on_other: Callable[[CallLink, Message], None],
        on_lost: Callable[[CallLink, str], None],
        allows: Callable[[Link, Message], bool],
        *,
        packs_heads: bool = False,
    ) -> None:
        """Wrap an open link; nothing is delivered before ``start``.

        ``on_started`` receives the calls that the peer starts, ``on_other`` the messages
        outside any stream. A message for which ``allows`` returns false closes the link.
        With ``packs_heads``, heads are sent compressed; compressed heads from the peer
        are accepted either way.
        """
        self._packer = HeadPacker() if packs_heads else None
        self._unpacker: HeadUnpacker | None = None
        self.alive = True
        self.received = 0
        self._allows = allows
        self._link = link
        self._on_started = on_started
        self._on_other = on_other
        self._on_lost = on_lost
        self._streams: dict[int, StreamSink] = {}
        self._numbers = itertools.count(1)
        self._highest_started = 0

    @property
    def streams(self) -> int:
        """Number of open streams."""
        return len(self._streams)

    def start(self) -> None:
        """Start delivering messages."""
        self._link.start(self._received, self._link_lost)

    def open_stream(self, sink: StreamSink) -> int:
        """Open a stream from this node; return its number."""
        number = next(self._numbers)
        self._streams[number] = sink
        return number

    def serve(self, stream: int, sink: StreamSink) -> None:
        """Deliver to ``sink`` the messages on ``stream``, which the peer opened."""
        self._streams[stream] = sink

    def forget(self, stream: int) -> None:
        """Remove a finished stream; messages that still arrive on it are discarded."""
        self._streams.pop(stream, None)

    def send(self, message: Message) -> bool:
        """Queue a message; return false if it certainly never leaves this process."""
        if not self.alive:
            return False
        payload = encode_message(message)
        if self._should_pack(message, payload):
            assert self._packer is not None
            payload = encode_message(CallPacked(self._packer.pack(payload)))
            return self._link.send(payload) > 0
        is_sent = self._link.send(payload) > 0
        if is_sent and isinstance(message, MessageWithBody) and message.data:
            TRAFFIC.note_body_sent(_tag(message), len(message.data))
        return is_sent

    def _should_pack(self, message: Message, payload: bytes) -> bool:
        if self._packer is None or not self._packer.is_packable(payload):
            return False
        return isinstance(message, CallStarted | CallAnswered)

    def close(self) -> None:
        """Close the link after sending what is queued; all streams are lost."""
        self.alive = False
        self._link.close()
        self._lose_streams("closed")

    def abandon(self, reason: str) -> None:
        """Treat the peer as dead: close the link and fail all streams at once."""
        self.alive = False
        self._link.close()
        self._lose_streams(reason)

    def _received(self, message: Message, size: int) -> None:
        """Handle a message that took ``size`` bytes on the link.

        ``size`` is 0 for a message unpacked from a ``CallPacked``: its body bytes were
        already counted with the packed message that carried it.
        """
        self.received += 1
        if size and isinstance(message, MessageWithBody) and message.data:
            TRAFFIC.note_body_received(_tag(message), len(message.data))
        if not self._allows(self._link, message):
            self._close_for_violation(NOT_AUTHORIZED)
        elif isinstance(message, CallPacked):
            self._unpack(message)
        elif isinstance(message, CallStarted):
            self._start_call(message)
        elif isinstance(message, StreamMessage):
            sink = self._streams.get(message.stream)
            if sink is not None:
                sink.stream_message(message)
        else:
            self._on_other(self, message)

    def _unpack(self, message: CallPacked) -> None:
        """Unpack and handle a message; a nested ``CallPacked`` closes the link."""
        if self._unpacker is None:
            self._unpacker = HeadUnpacker()
        decoded = self._unpacker.unpack(message.packed).bind(decode_message)
        if isinstance(decoded, Failure):
            self._close_for_violation(decoded.failure().reason)
            return
        unpacked = decoded.unwrap()
        if isinstance(unpacked, CallPacked):
            self._close_for_violation("packed twice")
            return
        self._received(unpacked, 0)

    def _start_call(self, message: CallStarted) -> None:
        if message.stream <= self._highest_started:
            self._close_for_violation("stream number used twice")
            return
        self._highest_started = message.stream
        self._on_started(self, message)

    def _close_for_violation(self, reason: str) -> None:
        """Close the link because the peer violated the protocol."""
        self.close()
        self._on_lost(self, reason)

    def _link_lost(self, reason: str) -> None:
        self.alive = False
        self._lose_streams(reason)
        self._on_lost(self, reason)

    def _lose_streams(self, reason: str) -> None:
        streams = list(self._streams.values())
        self._streams.clear()
        for sink in streams:
            sink.stream_lost(reason)


def _tag(message: Message) -> int:
    return int(message.__struct_config__.tag or 0)


class SendWindow:
    """Flow-control credit for sending body bytes on one stream."""

    __slots__ = ("_left",)

    def __init__(self, octets: int = STREAM_WINDOW_BYTES) -> None:
        """Start with credit for sending ``octets`` bytes."""
        self._left = octets

    @property
    def open(self) -> bool:
        """Whether credit is left."""
        return self._left > 0

    @property
    def room(self) -> int:
        """Number of bytes that may be sent now."""
        return max(0, self._left)

    def sent(self, octets: int) -> None:
        """Deduct sent bytes from the credit."""
        self._left -= octets

    def credited(self, octets: int) -> bool:
        """Add credit; return true if bytes may be sent now but could not before."""
        was_open = self.open
        self._left += octets
        return self.open and not was_open


class ReceiveWindow:
    """Flow-control credit that is owed to the sender of one stream's body bytes."""

    __slots__ = ("_owed", "_paused", "_window")

    def __init__(self, window: int = STREAM_WINDOW_BYTES, owed: int = 0) -> None:
        """Start with ``owed`` bytes of credit due.

        Credit is granted once it amounts to at least a quarter of ``window`` bytes.
        """
        self._window = window
        self._owed = owed
        self._paused = False

    def taken(self, octets: int) -> int:
        """Count forwarded body bytes; return the credit in bytes to grant now, or 0."""
        self._owed += octets
        return self._due()

    def pause(self) -> None:
        """Accumulate credit, but grant none until ``resume``."""
        self._paused = True

    def resume(self) -> int:
        """Resume granting; return the credit in bytes to grant now, or 0."""
        self._paused = False
        return self._due()

    def _due(self) -> int:
        if self._paused or self._owed < self._window // 4:
            return 0
        due = self._owed
        self._owed = 0
        return due
