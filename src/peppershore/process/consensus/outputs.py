"""What the consensus core asks of the replica around it."""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.base import Message
from peppershore.connection.messages.consensus import LogEntry
from peppershore.process.consensus.records import Record, StateSnapshot


class Output(msgspec.Struct, frozen=True):
    """Base of all outputs; they are carried out in order."""


class SendToPeer(Output, frozen=True):
    """Send a message to a member or future member of the group."""

    peer: str
    message: Message


class Persist(Output, frozen=True):
    """Make records durable; answered by ``persisted`` or ``disk_failed``.

    After a failed write no later one is taken but a ``retry``, which holds all
    records that are not durable.
    """

    token: int
    records: tuple[Record, ...]
    retry: bool = False


class EntriesCommitted(Output, frozen=True):
    """These entries are committed, in log order, each given exactly once."""

    entries: tuple[LogEntry, ...]


class StateInstalled(Output, frozen=True):
    """Replace the state machine's state by that of the snapshot."""

    snapshot: StateSnapshot


class LeadershipGained(Output, frozen=True):
    """This replica leads ``term``; all entries of earlier terms are applied."""

    term: int


class LeadershipLost(Output, frozen=True):
    """This replica no longer leads; what it proposed may still commit."""

    reason: str


class LeaderChanged(Output, frozen=True):
    """The leader this replica follows; "" while it knows none."""

    leader: str
    term: int


class ReadConfirmed(Output, frozen=True):
    """A quorum confirmed that ``index`` covers all that was committed when asked."""

    request: int
    index: int


class ReadFailed(Output, frozen=True):
    """Nobody confirmed the read; ask again, perhaps another replica."""

    request: int
