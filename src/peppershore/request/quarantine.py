"""Requests that end the back ends that run them: who is suspected, and who is held.

Whatever runs where a back end ends is a suspect, so one end proves nothing.  A request
under which two ended runs only where no other such request runs: a third end then has one
suspect with a past, and that one is held.  Ends are counted by the lives of back ends, so
that it does not matter how often and by whom one is told.  One good end clears a request.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Literal

import msgspec
import xxhash

from peppershore.connection.messages.crashes import CrashRecord

SUSPECT_LIVES = 2
"""Ends after which a request runs alone among its kind.  After one, all that ran there
would wait for each other: 18 at a time, whenever a back end ends for another reason."""

HELD_LIVES = 3
"""Ends after which a request is held.  Of 70 calls that broke off in one recorded wave 12
had two ends behind them, 10 of these at the same two back ends within 0.1 s: nearly all of
them only ran beside the cause."""

HOLD_SECONDS = 600.0
"""A new release of the back end may have mended it: after so long one more run may show
it.  An end then holds the request twice as long as before."""

MAX_HOLD_SECONDS = 86_400.0

RETENTION_SECONDS = 600.0
"""A suspect, and a clearing, are remembered for so long: callers that come again do so
within seconds or minutes."""

MAX_ENTRIES = 1_024
"""About 100 bytes each.  An end adds as many as the back end has slots; those with the
fewest ends are dropped first, so none that is held goes for one that is suspected."""

MAX_INCARNATIONS = 16
"""Lives kept of one request: the hold is at its longest well before."""

MILLISECONDS = 1_000

Standing = Literal["clear", "suspect", "held"]


class Suspect(msgspec.Struct, frozen=True):
    """A request that ran when a back end ended: its head's digest, and its own."""

    identity: bytes
    key: bytes


class _Entry(msgspec.Struct, frozen=True):
    """What is known of one request; ``changed_at`` is monotonic seconds."""

    identity: bytes
    generation: int
    lives: frozenset[str]
    changed_at: float

    @property
    def is_notable(self) -> bool:
        """Whether nodes must know: it runs alone or not at all, or does so no more."""
        return len(self.lives) >= SUSPECT_LIVES or self.generation > 0

    def is_held(self, now: float) -> bool:
        ends = len(self.lives)
        return ends >= HELD_LIVES and now - self.changed_at < hold_seconds(ends)

    def is_old(self, now: float) -> bool:
        return now - self.changed_at >= hold_seconds(len(self.lives)) + RETENTION_SECONDS


class Quarantine:
    """All that one process knows of such requests, by their keys."""

    def __init__(self) -> None:
        """Know of none."""
        self._entries: dict[bytes, _Entry] = {}
        self._suspects: dict[bytes, set[bytes]] = {}
        """Keys with two ends or more, by the digest of the head."""
        self._digest: int | None = None
        """Of what is known now; it takes 1 ms for 500 requests, so it is kept."""

    def __len__(self) -> int:
        """Count the requests known."""
        return len(self._entries)

    # --- what becomes of a request

    def concerns(self, identity: bytes) -> bool:
        """Whether a request with this head may be a suspect, by its body."""
        return identity in self._suspects

    def standing(self, key: bytes, now: float) -> Standing:
        """Tell whether a request may run: freely, alone among suspects, or not at all."""
        entry = self._entries.get(key)
        if entry is None or len(entry.lives) < SUSPECT_LIVES:
            return "clear"
        return "held" if entry.is_held(now) else "suspect"

    def ends(self, key: bytes) -> int:
        """Count the back ends that are known to have ended under a request."""
        entry = self._entries.get(key)
        return 0 if entry is None else len(entry.lives)

    def hold_left_seconds(self, key: bytes, now: float) -> float:
        """Give the seconds until a held request may run again."""
        entry = self._entries.get(key)
        if entry is None or not entry.is_held(now):
            return 0.0
        return entry.changed_at + hold_seconds(len(entry.lives)) - now

    # --- what is learned

    def ended(self, suspect: Suspect, life: str, now: float) -> CrashRecord:
        """A life of a back end ended under a request."""
        entry = self._entries.get(suspect.key)
        lives = frozenset({life}) if entry is None else entry.lives | {life}
        generation = 0 if entry is None else entry.generation
        changed = _Entry(suspect.identity, generation, _bounded(lives), now)
        self._put(suspect.key, changed)
        return _record(suspect.key, changed, now)

    def cleared(self, key: bytes, now: float) -> CrashRecord | None:
        """A request ended well, or an operator lets it go; None if nothing is known."""
        entry = self._entries.get(key)
        if entry is None or not entry.lives:
            return None
        changed = _Entry(entry.identity, entry.generation + 1, frozenset(), now)
        self._put(key, changed)
        return _record(key, changed, now)

    def merge(self, record: CrashRecord, now: float) -> bool:
        """Take what another process knows; tell whether it was news."""
        changed_at = now - record.age_milliseconds / MILLISECONDS
        told = _Entry(
            record.identity,
            record.generation,
            _bounded(frozenset(record.lives)),
            changed_at,
        )
        known = self._entries.get(record.key)
        if told.is_old(now):
            return False
        if known is None or told.generation > known.generation:
            self._put(record.key, told)
            return True
        if told.generation < known.generation or told.lives <= known.lives:
            return False
        lives = _bounded(known.lives | told.lives)
        newest = max(known.changed_at, changed_at)
        self._put(record.key, _Entry(known.identity, known.generation, lives, newest))
        return lives != known.lives

    def forget_old(self, now: float) -> None:
        """Drop what nobody came again with."""
        for key in [key for key, each in self._entries.items() if each.is_old(now)]:
            self._drop(key)

    # --- for other processes

    def records(self, now: float) -> tuple[CrashRecord, ...]:
        """Give all that is known."""
        return tuple(_record(key, each, now) for key, each in self._entries.items())

    def notable(self, now: float) -> tuple[CrashRecord, ...]:
        """Give what every node must know."""
        return tuple(
            _record(key, each, now)
            for key, each in self._entries.items()
            if each.is_notable
        )

    def notable_among(self, records: Iterable[CrashRecord]) -> tuple[CrashRecord, ...]:
        """Give those of these requests that every node must know."""
        known = self._entries
        return tuple(
            each for each in records if each.key in known and known[each.key].is_notable
        )

    def record(self, key: bytes, now: float) -> CrashRecord | None:
        """Give what is known of one request."""
        entry = self._entries.get(key)
        return None if entry is None else _record(key, entry, now)

    def digest(self) -> int:
        """Digest of all that is known: equal where two processes agree."""
        if self._digest is None:
            self._digest = self._compute_digest()
        return self._digest

    def _compute_digest(self) -> int:
        known = sorted(
            (key, each.generation, sorted(each.lives))
            for key, each in self._entries.items()
        )
        return xxhash.xxh3_64_intdigest(repr(known).encode())

    # --- inside

    def _put(self, key: bytes, entry: _Entry) -> None:
        self._drop(key)
        self._entries[key] = entry
        if len(entry.lives) >= SUSPECT_LIVES:
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
    """Give for how long a request with so many ends is held after the last one."""
    if ends < HELD_LIVES:
        return 0.0
    return min(MAX_HOLD_SECONDS, HOLD_SECONDS * 2.0 ** (ends - HELD_LIVES))


def _bounded(lives: frozenset[str]) -> frozenset[str]:
    """Keep the same lives everywhere, whatever the order they were told in."""
    return (
        lives
        if len(lives) <= MAX_INCARNATIONS
        else frozenset(sorted(lives)[:MAX_INCARNATIONS])
    )


def _record(key: bytes, entry: _Entry, now: float) -> CrashRecord:
    age = max(0, math.floor((now - entry.changed_at) * MILLISECONDS))
    lives = tuple(sorted(entry.lives))
    return CrashRecord(entry.identity, key, entry.generation, lives, age)
