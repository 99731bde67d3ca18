"""Replication progress and flow control of one peer, on the leader."""

from __future__ import annotations

from peppershore.process.consensus.records import StateSnapshot

STALLED_HEARTBEATS = 4
"""Heartbeats without progress after which a snapshot chunk is sent again."""


class PeerProgress:
    """Replication progress of one peer, as the leader knows it.

    ``identity`` is that of the peer's store: another store under the same name does
    not hold the entries that this one acknowledged.
    """

    def __init__(self, name: str, next_index: int, identity: int = 0) -> None:
        """Start to probe where the peer's log matches, from ``next_index`` downwards."""
        self.name = name
        self.identity = identity
        self.next_index = next_index
        self.match_index = 0
        self.answered_round = 0
        self.sent_commit_index = 0
        self.snapshot: StateSnapshot | None = None
        self.snapshot_offset = 0
        self._probing = True
        self._unanswered = 0
        self._silent_heartbeats = 0

    def restart(self) -> None:
        """Probe again where the peer's log matches, starting after the last known match.

        Messages on the peer's old link may be lost.
        """
        self.next_index = self.match_index + 1
        self.sent_commit_index = 0
        self._probing = True
        self._unanswered = 0
        self.snapshot = None

    def record_round(self, round_number: int) -> None:
        """Record the peer's reply to a message of that round."""
        self.answered_round = max(self.answered_round, round_number)

    def record_match(self, index: int) -> None:
        """Record that the peer durably holds the leader's log up to ``index``."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self._probing = False
        self._unanswered = max(0, self._unanswered - 1)
        self.snapshot = None

    def record_mismatch(self, hint_index: int) -> None:
        """Record that the peer's log differs from the leader's after ``hint_index``."""
        self.next_index = max(self.match_index + 1, min(self.next_index, hint_index + 1))
        self._probing = True
        self._unanswered = 0

    def may_send_entries(self, max_unanswered: int) -> bool:
        """Return whether another message with entries may be sent now.

        One message may be unanswered while the end of the peer's matching log is
        unknown, else ``max_unanswered`` of them.
        """
        return self._unanswered < (1 if self._probing else max_unanswered)

    def sent_entries(self, last_index: int) -> None:
        """Record that entries up to ``last_index`` were sent."""
        self.next_index = last_index + 1
        self._unanswered += 1

    def needs_commit_notice(self, commit_index: int) -> bool:
        """Return whether the peer holds entries that it does not know to be committed.

        The leader then sends the commit index without waiting for a heartbeat.
        """
        return self.sent_commit_index < commit_index <= self.match_index

    def begin_snapshot(self, snapshot: StateSnapshot) -> bool:
        """Start to send a snapshot; return False if one is being sent already.

        A newer snapshot does not replace it, else a slow peer would never finish.
        """
        if self.snapshot is not None:
            return False
        self.snapshot = snapshot
        self.snapshot_offset = 0
        self._silent_heartbeats = 0
        return True

    def record_received_bytes(self, received: int) -> bool:
        """Record the snapshot bytes that the peer holds; return whether they grew."""
        if received <= self.snapshot_offset:
            return False
        self.snapshot_offset = received
        self._silent_heartbeats = 0
        return True

    def snapshot_stalled(self) -> bool:
        """Count a heartbeat without progress; return whether to send the chunk again."""
        self._silent_heartbeats += 1
        if self._silent_heartbeats < STALLED_HEARTBEATS:
            return False
        self._silent_heartbeats = 0
        return True
