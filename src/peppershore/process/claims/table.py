"""The claims group's replicated state: which attempt may run which call.

Takes log entries in order, gives the answer of each.  Deterministic: time comes
in as ``ClockAdvanced`` entries, which a leader writes from its own monotonic
clock.  The time between two leaders is not counted, so a record is kept for its
horizon or longer, never shorter, whatever wall clocks do.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from peppershore.connection.messages import KeptAnswer

DEFAULT_MAX_RECORDS = 500_000
DEFAULT_MAX_ANSWER_BYTES = 64 * 1024 * 1024
"""All kept answers together; the oldest are dropped first, their records stay."""


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


TableEntry = ClaimEntry | CompletionEntry | ReleaseEntry | ClockAdvanced


class Granted(msgspec.Struct, frozen=True):
    """The attempt holds the claim."""


class Taken(msgspec.Struct, frozen=True):
    """Another attempt holds it; ``answer`` is kept or None."""

    answer: KeptAnswer | None


class TableFull(msgspec.Struct, frozen=True):
    """No record could be kept, so no claim was given."""


class Noted(msgspec.Struct, frozen=True):
    """A completion, release or clock entry took effect or changed nothing."""


TableAnswer = Granted | Taken | TableFull | Noted


class ClaimRecord(msgspec.Struct, array_like=True):
    """One claimed call; ``claimed_at`` in table milliseconds."""

    attempt: str
    claimed_at: int
    completed: bool = False
    answer: KeptAnswer | None = None


class TableState(msgspec.Struct, frozen=True, array_like=True):
    """The whole table as a snapshot holds it; both lists oldest first.

    ``answered`` names the keys whose answers are kept, with their body bytes.
    """

    clock: int
    records: tuple[tuple[str, ClaimRecord], ...]
    answered: tuple[tuple[str, int], ...]


_ENTRY_DECODER: msgspec.msgpack.Decoder[TableEntry] = msgspec.msgpack.Decoder(TableEntry)
_STATE_DECODER = msgspec.msgpack.Decoder(TableState)
_ENCODER = msgspec.msgpack.Encoder()


def encode_entry(entry: TableEntry) -> bytes:
    """Give the log payload of an entry."""
    return _ENCODER.encode(entry)


def decode_entry(payload: bytes) -> TableEntry:
    """Give the entry of a committed payload; any other payload breaks an invariant."""
    return _ENTRY_DECODER.decode(payload)


class ClaimTable:
    """The records of one claims group, bounded in age and number."""

    def __init__(
        self,
        horizon_milliseconds: int,
        max_records: int = DEFAULT_MAX_RECORDS,
        max_answer_bytes: int = DEFAULT_MAX_ANSWER_BYTES,
    ) -> None:
        """Keep each record for ``horizon_milliseconds`` of table time."""
        self._horizon = horizon_milliseconds
        self._max_records = max_records
        self._max_answer_bytes = max_answer_bytes
        self._answer_bytes = 0
        self._answered: OrderedDict[str, int] = OrderedDict()
        self._clock = 0
        self._records: OrderedDict[str, ClaimRecord] = OrderedDict()

    @property
    def size(self) -> int:
        """Records kept."""
        return len(self._records)

    def apply_entry(self, entry: TableEntry) -> TableAnswer:
        """Apply one entry."""
        match entry:
            case ClaimEntry():
                return self._claim(entry)
            case CompletionEntry():
                self._complete(entry)
            case ReleaseEntry():
                self._release(entry)
            case ClockAdvanced():
                self._advance(entry.milliseconds)
        return Noted()

    def snapshot(self) -> bytes:
        """Give the whole table."""
        records = tuple(self._records.items())
        answered = tuple(self._answered.items())
        return _ENCODER.encode(TableState(self._clock, records, answered))

    def restore(self, data: bytes) -> None:
        """Replace the whole table."""
        state = _STATE_DECODER.decode(data)
        self._clock = state.clock
        self._records = OrderedDict(state.records)
        self._answered = OrderedDict(state.answered)
        self._answer_bytes = sum(self._answered.values())

    def _claim(self, entry: ClaimEntry) -> TableAnswer:
        record = self._records.get(entry.key)
        if record is None:
            return self._grant(entry)
        if record.attempt == entry.attempt and not record.completed:
            return Granted()
        return Taken(record.answer)

    def _grant(self, entry: ClaimEntry) -> TableAnswer:
        if len(self._records) >= self._max_records:
            return TableFull()
        self._records[entry.key] = ClaimRecord(entry.attempt, self._clock)
        return Granted()

    def _complete(self, entry: CompletionEntry) -> None:
        record = self._records.get(entry.key)
        if record is None or record.attempt != entry.attempt:
            return
        if record.completed:
            return
        record.completed = True
        if entry.answer is not None:
            self._keep(entry.key, record, entry.answer)

    def _keep(self, key: str, record: ClaimRecord, answer: KeptAnswer) -> None:
        record.answer = answer
        self._answered[key] = len(answer.body)
        self._answer_bytes += len(answer.body)
        while self._answer_bytes > self._max_answer_bytes:
            oldest = next(iter(self._answered))
            self._records[oldest].answer = None
            self._forget_answer(oldest)

    def _forget_answer(self, key: str) -> None:
        self._answer_bytes -= self._answered.pop(key, 0)

    def _release(self, entry: ReleaseEntry) -> None:
        record = self._records.get(entry.key)
        if record is None or record.attempt != entry.attempt:
            return
        if not record.completed:
            del self._records[entry.key]

    def _advance(self, milliseconds: int) -> None:
        self._clock += max(0, milliseconds)
        oldest_kept = self._clock - self._horizon
        while self._records:
            key = next(iter(self._records))
            if self._records[key].claimed_at >= oldest_kept:
                return
            del self._records[key]
            self._forget_answer(key)
