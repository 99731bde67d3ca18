"""Compression of updates for the wire: MessagePack, then Zstandard with a dictionary.

Most updates are one or two resources that resemble all others, so a dictionary known to
both ends gives most of the saving. The dictionary is part of the protocol and must never
change; a different one needs a different message tag.

A packed update omits what the receiver knows or can derive: its scope (the service that it
hosts and its zone), the digest of the configuration that it holds, and the names of
resources, which are also in their payloads. If an update does not match the state that the
receiver holds, the resulting digest differs from the one in the update, and the receiver
rejects it.
"""

from __future__ import annotations

import msgspec
from returns.result import Failure, Result, Success

from peppershore.connection.packing import DictionaryPacker, UnusablePacking
from peppershore.version.model import Digest, Scope, Update, Version
from peppershore.version.resource_codec import resource_of

DICTIONARY = (
    b"\x94\x03\xa7secret:\x91\x82\xaageneration\x01\xa8material\xc4\x00\x01"
    b"\x93\x02\xa8service:\x99\x90\x14\xcc\x82d\xcd\x07\xd0\x052\xa0\xc3"
    b"\x94\x01\xa6route:\xa0\x9e\xa0\x91\xa4POST\xa0\xcd'\x10\xa8critical\xc2"
    b"\x92\xa6public\xa6member\xa5owner\n\x02\xc3\x00\xa0\xce\x00\x10\x00\x00"
    b"\x94\x01\xa6route:\xa0\x9e\xa0\x92\xa3GET\xa4HEAD\xa0\xcd'\x10\xa4bulk\xc3"
    b"\x92\xa6member\xa8internal\xa6direct\n\x02\xc3\x00\xa0\xce\x00\x10\x00\x00"
    b"\x94\x01\xa6route:\xa0\x9e\xa0\x91\xa3GET\xa0\xcd'\x10\xa6normal\xc3"
    b"\x91\xa8internal\xa6direct\n\x02\xc3\x00\xa0\xce\x00\x10\x00\x00"
    b"\x94\x01\xa6route:\xa0\x9e\xa0\x91\xa3GET\xa0\xcd'\x10\xa6normal\xc2"
    b"\x91\xa8internal\xa6direct\n\x02\xc3\x00\xa0\xce\x00\x10\x00\x00"
)
"""Zstandard dictionary: typical resources, the most frequent last."""


class _Row(msgspec.Struct, frozen=True, array_like=True):
    """Packed content of an update; ``changed`` holds the payloads of resources."""

    full: bool
    version: Version
    digest: Digest
    changed: tuple[bytes, ...]
    removed: tuple[str, ...]


_PACKER = DictionaryPacker(DICTIONARY)
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Row)


def pack_update(update: Update) -> bytes:
    """Compress an update for the wire."""
    payloads = tuple(resource.payload for resource in update.changed)
    row = _Row(update.full, update.version, update.digest, payloads, update.removed)
    return _PACKER.pack(_ENCODER.encode(row))


def unpack_update(
    packed: bytes, scope: Scope, held: Digest
) -> Result[Update, UnusablePacking]:
    """Restore an update for a receiver of ``scope`` whose state has digest ``held``.

    Fail with the reason if the bytes are not a packed update.
    """
    content = _PACKER.unpack(packed)
    if isinstance(content, Failure):
        return Failure(content.failure())
    try:
        row = _DECODER.decode(content.unwrap())
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        return Failure(UnusablePacking(str(problem)))
    return Success(_update(row, scope, held))


def _update(row: _Row, scope: Scope, held: Digest) -> Update:
    return Update(
        scope=scope,
        full=row.full,
        base_digest=0 if row.full else held,
        version=row.version,
        digest=row.digest,
        changed=tuple(resource_of(payload) for payload in row.changed),
        removed=row.removed,
    )
