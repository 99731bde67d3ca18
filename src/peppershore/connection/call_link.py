"""Calls multiplexed on one link between two nodes.

Stream numbers only ever grow, so a late message never meets another call's
stream.  Body bytes both ways are bounded by credit for each stream.
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
    """Takes the messages of one stream."""

    def stream_message(self, message: Message) -> None:
        """Take the next message of this stream."""

    def stream_lost(self, reason: str) -> None:
        """The link is gone; nothing more comes."""


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
    """The streams of one link."""

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
        """Take over an open link.

        ``on_started`` gets calls from the peer, ``on_other`` messages outside
        any stream; a message that ``allows`` refuses ends the link.  With
        ``packs_heads`` heads go packed; those of the peer are read in any case.
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
        """Streams open now."""
        return len(self._streams)

    def start(self) -> None:
        """Begin to take messages."""
        self._link.start(self._received, self._lost)

    def open_stream(self, sink: StreamSink) -> int:
        """Give the number of a new stream of ours."""
        number = next(self._numbers)
        self._streams[number] = sink
        return number

    def serve(self, stream: int, sink: StreamSink) -> None:
        """Hand what comes on the peer's stream to ``sink``."""
        self._streams[stream] = sink

    def forget(self, stream: int) -> None:
        """The stream is over; what still comes on it is discarded."""
        self._streams.pop(stream, None)

    def send(self, message: Message) -> bool:
        """Queue a message; false if it surely never leaves this process."""
        if not self.alive:
            return False
        payload = encode_message(message)
        if self._packs(message, payload):
            assert self._packer is not None
            payload = encode_message(CallPacked(self._packer.pack(payload)))
            return self._link.send(payload) > 0
        is_sent = self._link.send(payload) > 0
        if is_sent and isinstance(message, MessageWithBody) and message.data:
            TRAFFIC.note_body_sent(_tag(message), len(message.data))
        return is_sent

    def _packs(self, message: Message, payload: bytes) -> bool:
        if self._packer is None or not self._packer.takes(payload):
            return False
        return isinstance(message, CallStarted | CallAnswered)

    def close(self) -> None:
        """Send what is queued, then close."""
        self.alive = False
        self._link.close()
        self._lose_streams("closed")

    def abandon(self, reason: str) -> None:
        """The peer is taken as gone: its streams are lost, nothing is waited for."""
        self.alive = False
        self._link.close()
        self._lose_streams(reason)

    def _received(self, message: Message, size: int) -> None:
        """Take a message of so many bytes on the link; 0: it came inside a packed one.

        A body that was packed counts with the packed message that carried it.
        """
        self.received += 1
        if size and isinstance(message, MessageWithBody) and message.data:
            TRAFFIC.note_body_received(_tag(message), len(message.data))
        if not self._allows(self._link, message):
            self._end(NOT_AUTHORIZED)
        elif isinstance(message, CallPacked):
            self._unpack(message)
        elif isinstance(message, CallStarted):
            self._begin(message)
        elif isinstance(message, StreamMessage):
            sink = self._streams.get(message.stream)
            if sink is not None:
                sink.stream_message(message)
        else:
            self._on_other(self, message)

    def _unpack(self, message: CallPacked) -> None:
        """Take the message that was packed; one packed in itself ends the link."""
        if self._unpacker is None:
            self._unpacker = HeadUnpacker()
        decoded = self._unpacker.unpack(message.packed).bind(decode_message)
        if isinstance(decoded, Failure):
            self._end(decoded.failure().reason)
            return
        unpacked = decoded.unwrap()
        if isinstance(unpacked, CallPacked):
            self._end("packed twice")
            return
        self._received(unpacked, 0)

    def _begin(self, message: CallStarted) -> None:
        if message.stream <= self._highest_started:
            self._end("stream number used twice")
            return
        self._highest_started = message.stream
        self._on_started(self, message)

    def _end(self, reason: str) -> None:
        """The peer breaks the rules: have nothing more to do with it."""
        self.close()
        self._on_lost(self, reason)

    def _lost(self, reason: str) -> None:
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
    """Credit left for sending body bytes on one stream."""

    __slots__ = ("_left",)

    def __init__(self, octets: int = STREAM_WINDOW_BYTES) -> None:
        """Start with a whole window, or with what is given."""
        self._left = octets

    @property
    def open(self) -> bool:
        """Whether more may be sent."""
        return self._left > 0

    @property
    def room(self) -> int:
        """Bytes that may be sent now."""
        return max(0, self._left)

    def sent(self, octets: int) -> None:
        """Count bytes sent."""
        self._left -= octets

    def credited(self, octets: int) -> bool:
        """Take credit; true if this opened a closed window."""
        was_open = self.open
        self._left += octets
        return self.open and not was_open


class ReceiveWindow:
    """Credit owed for body bytes taken on one stream."""

    __slots__ = ("_owed", "_paused", "_window")

    def __init__(self, window: int = STREAM_WINDOW_BYTES, owed: int = 0) -> None:
        """Start with so much owed; credit is given for a quarter of the window or more."""
        self._window = window
        self._owed = owed
        self._paused = False

    def taken(self, octets: int) -> int:
        """Count bytes handed on; give the credit to send now, or 0."""
        self._owed += octets
        return self._due()

    def pause(self) -> None:
        """Owe, but give no credit."""
        self._paused = True

    def resume(self) -> int:
        """Give the credit to send now, or 0."""
        self._paused = False
        return self._due()

    def _due(self) -> int:
        if self._paused or self._owed < self._window // 4:
            return 0
        due = self._owed
        self._owed = 0
        return due
