"""Tracks whether a leader from before this replica's start may still hold a lease.

A leader's lease relies on recent acknowledgements of voters. A voter that restarted
has forgotten which ones it sent, so it withholds its vote for an election timeout.
That is longer than necessary if the leader's process has ended too, for example after
a power failure of all machines, because a lease ends with the process that holds it.
So the wait ends early once every possible former leader has reported, on a link opened
since this start, that it does not lead.

Possible former leaders are the members of the two newest memberships in the log: the
newest one may be uncommitted, and a leader that it removes keeps leading until it is
committed. A voter whose log is shorter than the candidate's may only know older
memberships, so an early vote is granted only between equal logs.
"""

from __future__ import annotations


class FormerLeases:
    """Tracks which leaders from before this replica's start may still hold a lease."""

    def __init__(self, election_seconds: float) -> None:
        """Set the election timeout, which is longer than any lease."""
        self._election_seconds = election_seconds
        self._ends_at = float("inf")
        self._not_leading: set[str] = set()

    def begin(self, now: float) -> None:
        """Start the election timeout during which such a lease may be valid."""
        self._ends_at = now + self._election_seconds

    def started_recently(self, now: float) -> bool:
        """Return whether less than an election timeout has passed since the start."""
        return now < self._ends_at

    def note_not_leading(self, name: str) -> None:
        """Record that a replica reported, after this start, that it does not lead."""
        self._not_leading.add(name)

    def may_be_valid(self, possible_leaders: frozenset[str], now: float) -> bool:
        """Return whether one of these replicas may hold a lease from before the start."""
        return self.started_recently(now) and not possible_leaders <= self._not_leading
