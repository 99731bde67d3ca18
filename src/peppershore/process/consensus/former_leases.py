"""Whether a leader of before this replica's start may still hold a lease.

A lease counts on what voters answered a moment ago.  A voter that restarted has
forgotten what it answered, so it withholds its vote for an election timeout.  That is
longer than needed where the leader is gone as well, as after a loss of power of all:
a lease ends with the process that holds it.  So the wait ends once everybody who may
have led has said, on a link of this life, that it does not lead.

Who may have led: the members by the two newest memberships in the log.  The newest may
be uncommitted, and a leader that it leaves out leads until it is committed.  A voter
whose log ends before the candidate's may know older memberships, so an early vote is
given only between equal logs.
"""

from __future__ import annotations


class FormerLeases:
    """What a replica knows of leaders before its start."""

    def __init__(self, election_seconds: float) -> None:
        """Take the election timeout, which is longer than any lease."""
        self._election_seconds = election_seconds
        self._ends_at = float("inf")
        self._not_leading: set[str] = set()

    def begin(self, now: float) -> None:
        """The replica starts."""
        self._ends_at = now + self._election_seconds

    def started_lately(self, now: float) -> bool:
        """Whether an election timeout has not passed since the start."""
        return now < self._ends_at

    def note_not_leading(self, name: str) -> None:
        """A replica said, after this one's start, that it does not lead."""
        self._not_leading.add(name)

    def may_count(self, may_have_led: frozenset[str], now: float) -> bool:
        """Whether one of these others may hold a lease that counts on this replica."""
        return self.started_lately(now) and not may_have_led <= self._not_leading
