"""Requests that crash the back ends that run them: suspicion and quarantine.

Every request that runs in a back end when it crashes is a suspect, so one crash proves
nothing. A request with two crashes may run only where no other such request runs. After a
third crash there is then only one suspect with earlier crashes, and it is held. Crashes are
counted by the incarnation of the back end, so that repeated reports from different
processes count once. One successful run clears a request.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Literal

import msgspec
import xxhash

from peppershore.connection.messages.crashes import CrashRecord

SUSPECT_CRASHES = 2
"""Number of crashes after which a request runs in isolation from other suspects. With one,
all requests that ran in a crashed back end would wait for each other: 18 at a time,
whenever a back end crashes for another reason."""

HOLD_CRASHES = 3
"""Number of crashes after which a request is held. Of 70 calls that broke off in one
recorded series of crashes, 12 had two crashes, 10 of these at the same two back ends within
0.1 s: nearly all of them only ran at the same time as the request that was the cause."""

HOLD_SECONDS = 600.0
"""Duration of a request's first hold. A new release of the back end may have fixed the
fault, so one more run is allowed afterwards. If the back end crashes again, the request is
held twice as long as before."""

MAX_HOLD_SECONDS = 86_400.0

RETENTION_SECONDS = 600.0
"""How long a suspect, or the fact that a request was cleared, is remembered. Callers that
retry do so within seconds or minutes."""

MAX_ENTRIES = 1_024
"""Bound on the entries, of about 100 bytes each. A crash adds as many entries as the back
end has slots. Those with the fewest crashes are evicted first, so that a held request is
never evicted in favour of a suspect."""

MAX_INCARNATIONS = 16
"""Maximum number of incarnations stored for one request; the hold reaches its maximum well
before."""

MILLISECONDS = 1_000

Standing = Literal["clear", "suspect", "held"]


class Suspect(msgspec.Struct, frozen=True):
    """A request that ran when a back end crashed.

    ``identity`` is the digest of its head, ``key`` that of its head and body.
    """

    identity: bytes
    key: bytes


class _Entry(msgspec.Struct, frozen=True):
    """What is known of one request.

    ``identity`` is the digest of its head. ``generation`` counts how often it was cleared.
    ``lives`` are the incarnations of back ends that crashed while running it since then.
    ``changed_at`` is the time of the last change in monotonic seconds.
    """

    identity: bytes
    generation: int
    lives: frozenset[str]
    changed_at: float

    @property
    def is_notable(self) -> bool:
        """Whether all nodes must know of it: it is isolated or held, or was cleared."""
        return len(self.lives) >= SUSPECT_CRASHES or self.generation > 0

    def is_held(self, now: float) -> bool:
        ends = len(self.lives)
        return ends >= HOLD_CRASHES and now - self.changed_at < hold_seconds(ends)

    def is_old(self, now: float) -> bool:
        return now - self.changed_at >= hold_seconds(len(self.lives)) + RETENTION_SECONDS


class Quarantine:
    """The suspect and held requests known to one process, by their digests (keys)."""

    def __init__(self) -> None:
        """Start without known requests."""
        self._entries: dict[bytes, _Entry] = {}
        self._suspects: dict[bytes, set[bytes]] = {}
        """Digests of the requests with two crashes or more, by the digest of their head.

        Requests with equal heads and different bodies share an entry.
        """
        self._digest: int | None = None
        """Cached digest of all entries; computing it takes 1 ms for 500 requests."""

    def __len__(self) -> int:
        """Return the number of known requests."""
        return len(self._entries)

    # --- queries

    def concerns(self, identity: bytes) -> bool:
        """Report whether a request with this head may be a suspect; the body decides."""
        return identity in self._suspects

    def standing(self, key: bytes, now: float) -> Standing:
        """Return whether a request may run.

        "clear": it may; "suspect": only while no other suspect runs; "held": it may not.
        """
        entry = self._entries.get(key)
        if entry is None or len(entry.lives) < SUSPECT_CRASHES:
            return "clear"
        return "held" if entry.is_held(now) else "suspect"

    def crash_count(self, key: bytes) -> int:
        """Return the number of back ends known to have crashed while running a request."""
        entry = self._entries.get(key)
        return 0 if entry is None else len(entry.lives)

    def hold_left_seconds(self, key: bytes, now: float) -> float:
        """Return the seconds until a held request may run again; 0 if it is not held."""
        entry = self._entries.get(key)
        if entry is None or not entry.is_held(now):
            return 0.0
        return entry.changed_at + hold_seconds(len(entry.lives)) - now

    # --- updates

    def record_crash(self, suspect: Suspect, life: str, now: float) -> CrashRecord:
        """Record that the back end's incarnation ``life`` crashed while running a request.

        Return the request's new record.
        """
        entry = self._entries.get(suspect.key)
        lives = frozenset({life}) if entry is None else entry.lives | {life}
        generation = 0 if entry is None else entry.generation
        changed = _Entry(suspect.identity, generation, _bounded(lives), now)
        self._put(suspect.key, changed)
        return _record(suspect.key, changed, now)

    def cleared(self, key: bytes, now: float) -> CrashRecord | None:
        """Clear a request after a success or at an operator's order.

        Return its new record, or None if no crash of it is known.
        """
        entry = self._entries.get(key)
        if entry is None or not entry.lives:
            return None
        changed = _Entry(entry.identity, entry.generation + 1, frozenset(), now)
        self._put(key, changed)
        return _record(key, changed, now)

    def merge(self, record: CrashRecord, now: float) -> bool:
        """Merge the record of another process; return whether it changed anything."""
        changed_at = now - record.age_milliseconds / MILLISECONDS
        received = _Entry(
            record.identity,
            record.generation,
            _bounded(frozenset(record.lives)),
            changed_at,
        )
        known = self._entries.get(record.key)
        if received.is_old(now):
            return False
        if known is None or received.generation > known.generation:
            self._put(record.key, received)
            return True
        if received.generation < known.generation or received.lives <= known.lives:
            return False
        lives = _bounded(known.lives | received.lives)
        newest = max(known.changed_at, changed_at)
        self._put(record.key, _Entry(known.identity, known.generation, lives, newest))
        return lives != known.lives

    def forget_old(self, now: float) -> None:
        """Drop the entries of requests that were not sent again for long."""
        for key in [key for key, each in self._entries.items() if each.is_old(now)]:
            self._drop(key)

    # --- exchange with other processes

    def records(self, now: float) -> tuple[CrashRecord, ...]:
        """Return the records of all known requests."""
        return tuple(_record(key, each, now) for key, each in self._entries.items())

    def notable(self, now: float) -> tuple[CrashRecord, ...]:
        """Return the records that every node must know."""
        return tuple(
            _record(key, each, now)
            for key, each in self._entries.items()
            if each.is_notable
        )

    def notable_among(self, records: Iterable[CrashRecord]) -> tuple[CrashRecord, ...]:
        """Return those of the given records that every node must know."""
        known = self._entries
        return tuple(
            each for each in records if each.key in known and known[each.key].is_notable
        )

    def record(self, key: bytes, now: float) -> CrashRecord | None:
        """Return the record of one request, or None if nothing is known."""
        entry = self._entries.get(key)
        return None if entry is None else _record(key, entry, now)

    def digest(self) -> int:
        """Return a digest of all entries, which is equal in processes that agree."""
        if self._digest is None:
            self._digest = self._compute_digest()
        return self._digest

    def _compute_digest(self) -> int:
        known = sorted(
            (key, each.generation, sorted(each.lives))
            for key, each in self._entries.items()
        )
        return xxhash.xxh3_64_intdigest(repr(known).encode())

    # --- internal

    def _put(self, key: bytes, entry: _Entry) -> None:
        self._drop(key)
        self._entries[key] = entry
        if len(entry.lives) >= SUSPECT_CRASHES:
            self._suspects.setdefault(entry.identity, set()).add(key)
        if len(self._entries) > MAX_ENTRIES:
            self._drop(min(self._entries, key=self._rank))

    def _rank(self, key: bytes) -> tuple[int, float]:
        entry = self._entries[key]
        return len(entry.lives), entry.changed_at

    def _drop(self, key: bytes) -> None:
        self._digest = None
        entry = self._entries.pop(key, None)
        if entry is None or entry.identity not in self._suspects:
            return
        keys = self._suspects[entry.identity]
        keys.discard(key)
        if not keys:
            del self._suspects[entry.identity]


def hold_seconds(ends: int) -> float:
    """Return for how long a request with this many crashes is held after the last one."""
    if ends < HOLD_CRASHES:
        return 0.0
    return min(MAX_HOLD_SECONDS, HOLD_SECONDS * 2.0 ** (ends - HOLD_CRASHES))


def _bounded(lives: frozenset[str]) -> frozenset[str]:
    """Return at most ``MAX_INCARNATIONS`` of these incarnations.

    They are the same ones in all processes, whatever the order of reports.
    """
    return (
        lives
        if len(lives) <= MAX_INCARNATIONS
        else frozenset(sorted(lives)[:MAX_INCARNATIONS])
    )


def _record(key: bytes, entry: _Entry, now: float) -> CrashRecord:
    age = max(0, math.floor((now - entry.changed_at) * MILLISECONDS))
    lives = tuple(sorted(entry.lives))
    return CrashRecord(entry.identity, key, entry.generation, lives, age)
