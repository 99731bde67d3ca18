"""Encoded updates, shared by all sessions that need the same one.

An update is encoded once per (scope, base, result).  The age of the
confirmation differs by moment, so it is put beside the encoded update and not
into it.  The memory taken is bounded; the entry unused for longest goes first.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

import msgspec

from peppershore.connection.messages import UpdateOffered
from peppershore.version.model import Digest, Scope, Update, Version

MAX_CACHE_BYTES = 32 * 1024 * 1024

_ENCODER = msgspec.msgpack.Encoder()
_UPDATE_OFFERED_TAG = UpdateOffered.__struct_config__.tag


class UpdateKey(NamedTuple):
    """What an encoded update depends on."""

    scope: Scope
    base_digest: Digest
    digest: Digest
    version: Version


def encode_offer(encoded_update: bytes, confirmed_age_milliseconds: int) -> bytes:
    """Give the payload of ``UpdateOffered`` around an update encoded before."""
    return _ENCODER.encode(
        (_UPDATE_OFFERED_TAG, msgspec.Raw(encoded_update), confirmed_age_milliseconds)
    )


class EncodedUpdates:
    """A bounded cache of encoded updates."""

    def __init__(self, max_bytes: int = MAX_CACHE_BYTES) -> None:
        """Start empty."""
        self.encoded_count = 0
        self._max_bytes = max_bytes
        self._bytes = 0
        self._entries: OrderedDict[UpdateKey, bytes] = OrderedDict()

    @property
    def held_bytes(self) -> int:
        """Bytes of all encoded updates held."""
        return self._bytes

    def encoded(self, update: Update) -> bytes:
        """Give the encoded update, from the cache if it is there."""
        key = UpdateKey(update.scope, update.base_digest, update.digest, update.version)
        found = self._entries.get(key)
        if found is not None:
            self._entries.move_to_end(key)
            return found
        payload = _ENCODER.encode(update)
        self.encoded_count += 1
        self._store(key, payload)
        return payload

    def _store(self, key: UpdateKey, payload: bytes) -> None:
        self._entries[key] = payload
        self._bytes += len(payload)
        while self._bytes > self._max_bytes and len(self._entries) > 1:
            _, dropped = self._entries.popitem(last=False)
            self._bytes -= len(dropped)
