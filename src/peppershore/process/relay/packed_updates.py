"""Cache of packed updates, shared by all sessions that need the same one.

An update is packed once per scope, base and result. The cache has a maximum size and
evicts the least recently used entry first.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from peppershore.connection.update_packing import pack_update
from peppershore.version.model import Digest, Scope, Update, Version

MAX_CACHE_BYTES = 32 * 1024 * 1024


class UpdateKey(NamedTuple):
    """Cache key: everything that determines a packed update."""

    scope: Scope
    base_digest: Digest
    digest: Digest
    version: Version


class PackedUpdates:
    """LRU cache of packed updates with a size limit in bytes."""

    def __init__(self, max_bytes: int = MAX_CACHE_BYTES) -> None:
        """Start with an empty cache of at most ``max_bytes``."""
        self.packed_count = 0
        self._max_bytes = max_bytes
        self._bytes = 0
        self._entries: OrderedDict[UpdateKey, bytes] = OrderedDict()

    @property
    def held_bytes(self) -> int:
        """Total size of the cached updates in bytes."""
        return self._bytes

    def packed(self, update: Update) -> bytes:
        """Return the packed update, from the cache if present."""
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
