"""What a leader knows of one peer's log and how it paces what it sends."""

from __future__ import annotations

from peppershore.process.consensus.records import StateSnapshot

STALLED_HEARTBEATS = 4
"""A piece of snapshot without answer is sent again after so many heartbeats."""


class PeerProgress:
    """Replication state of one peer, as its leader sees it.

    ``identity`` is that of its store: another store under the same name holds
    nothing of what this one acknowledged.
    """

    def __init__(self, name: str, next_index: int, identity: int = 0) -> None:
        """Begin by probing where the peer's log agrees, from ``next_index`` down."""
        self.name = name
        self.identity = identity
        self.next_index = next_index
        self.match_index = 0
        self.answered_round = 0
        self.told_commit_index = 0
        self.snapshot: StateSnapshot | None = None
        self.snapshot_offset = 0
        self._probing = True
        self._unanswered = 0
        self._silent_heartbeats = 0

    def restart(self) -> None:
        """Forget what may have been lost with a link: probe again."""
        self.next_index = self.match_index + 1
        self.told_commit_index = 0
        self._probing = True
        self._unanswered = 0
        self.snapshot = None

    def take_round(self, round_number: int) -> None:
        """Count an answer to a message of that round."""
        self.answered_round = max(self.answered_round, round_number)

    def take_match(self, index: int) -> None:
        """The peer durably holds the leader's log up to ``index``."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self._probing = False
        self._unanswered = max(0, self._unanswered - 1)
        self.snapshot = None

    def take_mismatch(self, hint_index: int) -> None:
        """The peer's log differs somewhere after ``hint_index``."""
        self.next_index = max(self.match_index + 1, min(self.next_index, hint_index + 1))
        self._probing = True
        self._unanswered = 0

    def may_send_entries(self, max_unanswered: int) -> bool:
        """While probing one message at a time, else a window of messages."""
        return self._unanswered < (1 if self._probing else max_unanswered)

    def sent_entries(self, last_index: int) -> None:
        """Entries up to ``last_index`` are on their way."""
        self.next_index = last_index + 1
        self._unanswered += 1

    def must_hear_of_commit(self, commit_index: int) -> bool:
        """Whether a commit should be told at once: the peer holds what it commits."""
        return self.told_commit_index < commit_index <= self.match_index

    def begin_snapshot(self, snapshot: StateSnapshot) -> bool:
        """Start sending a snapshot; False if one is on its way.

        A newer snapshot doesn't replace it, else a slow peer would never finish.
        """
        if self.snapshot is not None:
            return False
        self.snapshot = snapshot
        self.snapshot_offset = 0
        self._silent_heartbeats = 0
        return True

    def take_received_bytes(self, received: int) -> bool:
        """The peer holds so many bytes of the snapshot; whether that is news."""
        if received <= self.snapshot_offset:
            return False
        self.snapshot_offset = received
        self._silent_heartbeats = 0
        return True

    def snapshot_stalled(self) -> bool:
        """Count a heartbeat without progress; True when the piece is due again."""
        self._silent_heartbeats += 1
        if self._silent_heartbeats < STALLED_HEARTBEATS:
            return False
        self._silent_heartbeats = 0
        return True
