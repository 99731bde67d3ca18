"""Compression of the endpoint lists sent to nodes: MessagePack, then Zstandard.

The Zstandard dictionary, known to both ends, saves many bytes because the endpoints of one
service differ in little more than names and addresses, and a node that connects receives a
hundred or more at once.
"""

from __future__ import annotations

import msgspec
from returns.result import Failure, Result, Success

from peppershore.connection.messages.endpoints import (
    Endpoint,
    EndpointsChanged,
    EndpointsPacked,
)
from peppershore.connection.packing import DictionaryPacker, UnusablePacking

DICTIONARY = (
    b"\x9a\xa0\xa0\xa0\xcf\x00\x00\x01\x9a\xdd\xe8\xbd\x00\x05\xa4gone"
    b"\xad10.0.0.1:8080\xad10.0.0.1:7443\x14\xcc\x82"
    b"\x9a\xa0\xa0\xa0\xcf\x00\x00\x01\x9a\xdd\xe8\xbd\x00\x04\xa7leaving"
    b"\xad10.0.0.1:8080\xad10.0.0.1:7443\x14\xcc\x82"
    b"\x9a\xa0\xa0\xa0\xcf\x00\x00\x01\x9a\xdd\xe8\xbd\x00\x01\xa7warming"
    b"\xad10.0.0.1:8080\xad10.0.0.1:7443\x14\xcc\x82"
    b"\x9a\xa0\xa0\xa0\xcf\x00\x00\x01\x9a\xdd\xe8\xbd\x00\x02\xa5ready"
    b"\xad10.0.0.1:8080\xad10.0.0.1:7443\x14\xcc\x82"
)
"""Zstandard dictionary: typical endpoints, the most frequent last."""


class _Row(msgspec.Struct, frozen=True, array_like=True):
    """Packed content of an ``EndpointsChanged`` message."""

    endpoints: tuple[Endpoint, ...]
    complete: bool
    services: tuple[str, ...]


_PACKER = DictionaryPacker(DICTIONARY)
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Row)


def pack_endpoints(message: EndpointsChanged) -> EndpointsPacked:
    """Compress an ``EndpointsChanged`` message."""
    row = _Row(message.endpoints, message.complete, message.services)
    return EndpointsPacked(_PACKER.pack(_ENCODER.encode(row)))


def unpack_endpoints(
    message: EndpointsPacked,
) -> Result[EndpointsChanged, UnusablePacking]:
    """Restore the packed message; fail with the reason if its bytes are invalid."""
    content = _PACKER.unpack(message.packed)
    if isinstance(content, Failure):
        return Failure(content.failure())
    try:
        row = _DECODER.decode(content.unwrap())
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        return Failure(UnusablePacking(str(problem)))
    return Success(EndpointsChanged(row.endpoints, row.complete, row.services))
