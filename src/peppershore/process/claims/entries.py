"""Entries of a claims log, and what the table answers to each."""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.claims import KeptAnswer


class ClaimEntry(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """An attempt asks for the claim on ``key``."""

    key: str
    attempt: str


class CompletionEntry(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """An attempt finished, with the answer to keep (None: not kept)."""

    key: str
    attempt: str
    answer: KeptAnswer | None


class ReleaseEntry(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """An attempt provably did not run."""

    key: str
    attempt: str


class ClockAdvanced(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Milliseconds that passed on the leader's monotonic clock."""

    milliseconds: int


class BoundsSet(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """What a leader's settings allow from here on, the same on every replica."""

    horizon_milliseconds: int
    max_records: int
    max_answer_bytes: int


TableEntry = ClaimEntry | CompletionEntry | ReleaseEntry | ClockAdvanced | BoundsSet


class Granted(msgspec.Struct, frozen=True):
    """The attempt holds the claim."""


class Taken(msgspec.Struct, frozen=True):
    """Another attempt holds it; ``answer`` is kept or None."""

    answer: KeptAnswer | None


class TableFull(msgspec.Struct, frozen=True):
    """No record could be kept, so no claim was given."""


class Noted(msgspec.Struct, frozen=True):
    """An entry that grants nothing took effect or changed nothing."""


TableAnswer = Granted | Taken | TableFull | Noted

_ENTRY_DECODER: msgspec.msgpack.Decoder[TableEntry] = msgspec.msgpack.Decoder(TableEntry)
_ENCODER = msgspec.msgpack.Encoder()


def encode_entry(entry: TableEntry) -> bytes:
    """Give the log payload of an entry."""
    return _ENCODER.encode(entry)


def decode_entry(payload: bytes) -> TableEntry:
    """Give the entry of a committed payload; any other payload breaks an invariant."""
    return _ENTRY_DECODER.decode(payload)
