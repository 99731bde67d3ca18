"""Tables, format version and checksums of a replica's store."""

from __future__ import annotations

import xxhash

APPLICATION_ID = 0x50455050
"""Application ID in the SQLite header that marks a store of this program."""

FORMAT_VERSION = 2
"""Incremented with every change of the tables or of the content of their rows."""

CREATE_TABLES = """
CREATE TABLE owner (
    only INTEGER PRIMARY KEY CHECK (only = 1),
    cluster TEXT NOT NULL,
    replica TEXT NOT NULL,
    identity INTEGER NOT NULL,
    group_id INTEGER NOT NULL,
    checksum INTEGER NOT NULL
);
CREATE TABLE hard_state (
    only INTEGER PRIMARY KEY CHECK (only = 1),
    term INTEGER NOT NULL,
    voted_for TEXT NOT NULL,
    checksum INTEGER NOT NULL
);
CREATE TABLE entries (
    position INTEGER PRIMARY KEY,
    term INTEGER NOT NULL,
    kind INTEGER NOT NULL,
    payload BLOB NOT NULL,
    checksum INTEGER NOT NULL
);
CREATE TABLE snapshot (
    only INTEGER PRIMARY KEY CHECK (only = 1),
    position INTEGER NOT NULL,
    term INTEGER NOT NULL,
    membership BLOB NOT NULL,
    parts BLOB NOT NULL,
    checksum INTEGER NOT NULL
);
CREATE TABLE snapshot_parts (
    number INTEGER PRIMARY KEY,
    data BLOB NOT NULL,
    checksum INTEGER NOT NULL
);
"""
"""Statements that create the tables. ``snapshot.parts`` lists the numbers of the parts
that make up the state."""

FIRST_FORMAT = 1
"""First format version, in which the column ``snapshot.state`` held the complete state."""

UPGRADE_FROM_FIRST_FORMAT = """
ALTER TABLE owner ADD COLUMN checksum INTEGER NOT NULL DEFAULT 0;
ALTER TABLE hard_state ADD COLUMN checksum INTEGER NOT NULL DEFAULT 0;
ALTER TABLE snapshot RENAME COLUMN state TO parts;
CREATE TABLE snapshot_parts (
    number INTEGER PRIMARY KEY,
    data BLOB NOT NULL,
    checksum INTEGER NOT NULL
)
"""


def checksum_of(position: int, term: int, kind: int, payload: bytes) -> int:
    """Return the checksum of one row, which fits into SQLite's signed 64 bits.

    ``position`` and ``term`` are those of the row, or other numbers that it holds;
    ``kind`` keeps rows of different tables apart.
    """
    head = f"{position}:{term}:{kind}:".encode()
    hasher = xxhash.xxh3_64(head)
    hasher.update(payload)
    return hasher.intdigest() >> 1
