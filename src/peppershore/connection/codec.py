"""Encoding and decoding of link messages; undecodable bytes give a typed error."""

from __future__ import annotations

import re
from functools import reduce
from operator import or_
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from peppershore.connection.messages import (
    calls,
    claims,
    consensus,
    crashes,
    endpoints,
    node,
    operators,
    quotas,
    relay,
    rollouts,
    session,
)
from peppershore.connection.messages.base import Message


class UndecodableMessage(msgspec.Struct, frozen=True):
    """A payload that is no known message; ``reason`` says what is wrong with it."""

    reason: str


_MODULES = (
    session, node, endpoints, relay, rollouts, consensus, operators, claims, calls, crashes,
    quotas,
)  # fmt: skip


def _message_types() -> list[type[Message]]:
    found = {
        candidate
        for module in _MODULES
        for candidate in vars(module).values()
        if isinstance(candidate, type)
        and issubclass(candidate, Message)
        and candidate is not Message
    }
    return sorted(found, key=lambda candidate: int(candidate.__struct_config__.tag or 0))


MESSAGE_TYPES: tuple[type[Message], ...] = tuple(_message_types())
_WORD_START = re.compile(r"(?<=[a-z0-9])(?=[A-Z])")
_NAMES = {
    candidate.__struct_config__.tag: _WORD_START.sub("_", candidate.__name__).lower()
    for candidate in MESSAGE_TYPES
}
_ANY_MESSAGE: Any = reduce(or_, MESSAGE_TYPES)
_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(_ANY_MESSAGE)


def kind_name(kind: int | str) -> str:
    """Return the snake-case name of a message tag; a name is returned unchanged."""
    return _NAMES.get(kind, str(kind))


def encode_message(message: Message) -> bytes:
    """Encode one message as a payload without the frame header."""
    return _ENCODER.encode(message)


def decode_message(payload: bytes) -> Result[Message, UndecodableMessage]:
    """Decode one payload; fail with the reason if it is no known message."""
    try:
        return Success(_DECODER.decode(payload))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        return Failure(UndecodableMessage(str(problem)))
