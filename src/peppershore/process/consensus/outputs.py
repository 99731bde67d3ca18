"""Outputs of the consensus core, carried out by the replica around it."""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.base import Message
from peppershore.connection.messages.consensus import LogEntry
from peppershore.process.consensus.records import Record, StateSnapshot


class Output(msgspec.Struct, frozen=True):
    """Base class of what the consensus core asks its replica to do, in order."""


class SendToPeer(Output, frozen=True):
    """Send a message to another replica, which need not be a member yet."""

    peer: str
    message: Message


class Persist(Output, frozen=True):
    """Write records to disk; ``Consensus.persisted`` or ``disk_failed`` gets the result.

    ``token`` is the number of the write.

    After a failed write only a write with ``retry`` is accepted, which contains all
    records that are not durable.
    """

    token: int
    records: tuple[Record, ...]
    retry: bool = False


class EntriesCommitted(Output, frozen=True):
    """Log entries that became committed, in log order; each is output exactly once."""

    entries: tuple[LogEntry, ...]


class StateInstalled(Output, frozen=True):
    """Replace the state of the state machine by that of the snapshot."""

    snapshot: StateSnapshot


class LeadershipGained(Output, frozen=True):
    """This replica leads ``term``; all entries of earlier terms are applied."""

    term: int


class LeadershipLost(Output, frozen=True):
    """This replica no longer leads; entries it proposed may still be committed."""

    reason: str


class LeaderChanged(Output, frozen=True):
    """The leader that this replica follows changed; "" while it knows none."""

    leader: str
    term: int


class ReadConfirmed(Output, frozen=True):
    """A quorum or the lease confirmed a read; serve it once ``index`` is applied.

    ``index`` covers all entries that were committed when the read was requested.
    """

    request: int
    index: int


class ReadFailed(Output, frozen=True):
    """The read was not confirmed; the caller may retry, perhaps at another replica."""

    request: int
