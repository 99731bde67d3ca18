"""Packed updates, shared by all sessions that need the same one.

An update is packed once per (scope, base, result).  The memory taken is bounded;
the entry unused for longest goes first.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from peppershore.connection.update_packing import pack_update
from peppershore.version.model import Digest, Scope, Update, Version

MAX_CACHE_BYTES = 32 * 1024 * 1024


class UpdateKey(NamedTuple):
    """What a packed update depends on."""

    scope: Scope
    base_digest: Digest
    digest: Digest
    version: Version


class PackedUpdates:
    """A bounded cache of packed updates."""

    def __init__(self, max_bytes: int = MAX_CACHE_BYTES) -> None:
        """Start empty."""
        self.packed_count = 0
        self._max_bytes = max_bytes
        self._bytes = 0
        self._entries: OrderedDict[UpdateKey, bytes] = OrderedDict()

    @property
    def held_bytes(self) -> int:
        """Bytes of all packed updates held."""
        return self._bytes

    def packed(self, update: Update) -> bytes:
        """Give the packed update, from the cache if it is there."""
        key = UpdateKey(update.scope, update.base_digest, update.digest, update.version)
        found = self._entries.get(key)
        if found is not None:
            self._entries.move_to_end(key)
            return found
        payload = pack_update(update)
        self.packed_count += 1
        self._store(key, payload)
        return payload

    def _store(self, key: UpdateKey, payload: bytes) -> None:
        self._entries[key] = payload
        self._bytes += len(payload)
        while self._bytes > self._max_bytes and len(self._entries) > 1:
            _, dropped = self._entries.popitem(last=False)
            self._bytes -= len(dropped)
