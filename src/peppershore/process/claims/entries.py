"""Entries of a claims group's log, and the table's answer to each."""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.claims import KeptAnswer


class ClaimEntry(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """An attempt requests the claim on ``key``."""

    key: str
    attempt: str


class CompletionEntry(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """An attempt finished; ``answer`` is stored for retries unless it is None."""

    key: str
    attempt: str
    answer: KeptAnswer | None


class ReleaseEntry(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """An attempt provably did not run, so its claim is released."""

    key: str
    attempt: str


class ClockAdvanced(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Time that passed on the leader's monotonic clock, to advance the table's clock."""

    milliseconds: int


class BoundsSet(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """The table's bounds from this entry on, by the settings of the current leader.

    They are replicated so that all replicas use the same bounds.
    """

    horizon_milliseconds: int
    max_records: int
    max_answer_bytes: int


TableEntry = ClaimEntry | CompletionEntry | ReleaseEntry | ClockAdvanced | BoundsSet


class Granted(msgspec.Struct, frozen=True):
    """The attempt holds the claim."""


class Taken(msgspec.Struct, frozen=True):
    """Another attempt holds the claim; ``answer`` is its answer if one is stored."""

    answer: KeptAnswer | None


class TableFull(msgspec.Struct, frozen=True):
    """The table is full, so no claim was granted."""


class Noted(msgspec.Struct, frozen=True):
    """The answer to any entry but a claim request, whether or not it had an effect."""


TableAnswer = Granted | Taken | TableFull | Noted

_ENTRY_DECODER: msgspec.msgpack.Decoder[TableEntry] = msgspec.msgpack.Decoder(TableEntry)
_ENCODER = msgspec.msgpack.Encoder()


def encode_entry(entry: TableEntry) -> bytes:
    """Encode an entry as a log payload."""
    return _ENCODER.encode(entry)


def decode_entry(payload: bytes) -> TableEntry:
    """Decode the entry of a committed payload.

    Raise ``msgspec.DecodeError`` on any other payload, which breaks an invariant.
    """
    return _ENTRY_DECODER.decode(payload)
