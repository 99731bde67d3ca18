"""State of one scope: its resources and the recent digests of its snapshot by version.

A scope stands for all nodes (proxies) that host the same service in the same zone and
share one snapshot. A node that holds the snapshot of a recent digest gets only the
difference from it, any other node the full state.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterable

from peppershore.version.digest import combine
from peppershore.version.encoded import Entry
from peppershore.version.model import Digest, Scope, Update, Version

HISTORY_LIMIT = 512
"""Maximum number of digests retained per scope; a difference can start from each."""

CACHED_UPDATES = 64
"""Maximum number of cached updates of a scope, which holders of the same base share."""

FULL_BASE: Version = -1
"""Key of the full update in the cache of updates, whose keys are base versions."""

_UNSIGNED_64_BIT = "Q"


class DigestHistory:
    """The last digests of a scope's snapshot, oldest first.

    Each is stored with the newest version that had it. They are in two arrays of machine
    words, because thousands of scopes each retain hundreds of digests.
    """

    def __init__(self) -> None:
        self._digests = array(_UNSIGNED_64_BIT)
        self._versions = array(_UNSIGNED_64_BIT)

    def append(self, digest: Digest, version: Version) -> None:
        """Append the newest digest; if it is in the history already, move it to the end."""
        if digest in self._digests:
            position = self._digests.index(digest)
            del self._digests[position]
            del self._versions[position]
        self._digests.append(digest)
        self._versions.append(version)
        if len(self._digests) > HISTORY_LIMIT:
            del self._digests[0]
            del self._versions[0]

    def version_of(self, digest: Digest) -> Version | None:
        """Return the newest version that had a digest; None if it is not in the history."""
        if digest not in self._digests:
            return None
        return self._versions[self._digests.index(digest)]

    @property
    def newest_version(self) -> Version:
        """Version at which the scope got its newest digest."""
        return self._versions[-1]

    @property
    def oldest_version(self) -> Version:
        """Version of the oldest digest in the history."""
        return self._versions[0]


class ScopeState:
    """The resources of one scope, the version of the last change of each, and removals."""

    def __init__(self, scope: Scope, entries: dict[str, Entry], version: Version) -> None:
        self.scope = scope
        self.entries = entries
        self.digest = combine(scope, (entry.digest for entry in entries.values()))
        self._history = DigestHistory()
        self._history.append(self.digest, version)
        self._modified: dict[str, Version] = {}
        self._removed: dict[str, Version] = {}
        self._updates: dict[Version, Update] = {}

    @property
    def changed_at(self) -> Version:
        """Version at which the scope got its present resources."""
        return self._history.newest_version

    def replace(self, entries: dict[str, Entry], version: Version) -> bool:
        """Replace the resources by those of a newer version; report whether any differs."""
        former = self.entries
        changed = [name for name, entry in entries.items() if former.get(name) is not entry]
        removed = [name for name in former if name not in entries]
        if not changed and not removed:
            return False
        self.entries = entries
        self.digest = combine(self.scope, (entry.digest for entry in entries.values()))
        self._history.append(self.digest, version)
        self._updates.clear()
        self._record_changes(changed, removed, version)
        return True

    def update_since(self, digest: Digest, version: Version) -> Update | None:
        """Return the update from ``digest`` to the state at ``version``.

        Return None if ``digest`` is that of the present state. The update is full if
        ``digest`` is not in the history.
        """
        if digest == self.digest:
            return None
        base = self._history.version_of(digest)
        key = FULL_BASE if base is None else base
        update = self._updates.get(key)
        if update is None or update.version != version:
            update = self._make_update(digest, base, version)
            self._cache_update(key, update)
        return update

    def _make_update(
        self, digest: Digest, base: Version | None, version: Version
    ) -> Update:
        names: Iterable[str] = self.entries
        removed: tuple[str, ...] = ()
        if base is not None:
            names = [name for name in self.entries if self._modified.get(name, 0) > base]
            removed = tuple(name for name, when in self._removed.items() if when > base)
        return Update(
            scope=self.scope,
            full=base is None,
            base_digest=0 if base is None else digest,
            version=version,
            digest=self.digest,
            changed=tuple(self.entries[name].resource for name in names),
            removed=removed,
        )

    def _cache_update(self, key: Version, update: Update) -> None:
        if len(self._updates) >= CACHED_UPDATES:
            self._updates.clear()
        self._updates[key] = update

    def _record_changes(
        self, changed: list[str], removed: list[str], version: Version
    ) -> None:
        for name in changed:
            self._modified[name] = version
            self._removed.pop(name, None)
        for name in removed:
            self._modified.pop(name, None)
            self._removed[name] = version
        oldest = self._history.oldest_version
        if any(when <= oldest for when in self._removed.values()):
            kept = self._removed.items()
            self._removed = {name: when for name, when in kept if when > oldest}
