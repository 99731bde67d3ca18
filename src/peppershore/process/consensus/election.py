"""Elections: campaigns of this replica, and its answers to vote requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from peppershore.connection.messages.consensus import VoteReply, VoteRequest
from peppershore.process.consensus.membership import quorum_size, voters_of
from peppershore.process.consensus.role import Role

if TYPE_CHECKING:
    from peppershore.process.consensus.core import Consensus


class Election:
    """One phase of a campaign of this replica: the pre-vote or the vote."""

    def __init__(self, core: Consensus, pre_vote: bool, transfer: bool) -> None:
        """Prepare the pre-vote or the vote; ``begin_pre_vote`` or ``begin_vote`` starts it.

        ``transfer`` marks a campaign that the leader requested to transfer leadership.
        """
        self.pre_vote = pre_vote
        self._core = core
        self._transfer = transfer
        self._granted: set[str] = set()

    def begin_pre_vote(self, now: float) -> None:
        """Ask the voters whether an election could be won, without changing the term."""
        core = self._core
        core.role = Role.PRE_CANDIDATE
        self._request(core.term + 1)
        self.count(core.settings.replica, now)

    def begin_vote(self, now: float) -> None:
        """Enter the next term, vote for this replica and request the other votes."""
        core = self._core
        core.role = Role.CANDIDATE
        core.enter_term(core.term + 1, voted_for=core.settings.replica)
        term = core.term
        core.durability.when_durable(lambda: self._own_vote_durable(term, now))
        self._request(term)

    def count(self, voter: str, now: float) -> None:
        """Count a granted vote; on a majority start the vote phase, or become leader."""
        core = self._core
        self._granted.add(voter)
        voters = voters_of(core.membership)
        if len(self._granted.intersection(voters)) < quorum_size(core.membership):
            return
        if self.pre_vote:
            core.campaign(pre_vote=False, transfer=False, now=now)
        else:
            core.lead(now)

    def _own_vote_durable(self, term: int, now: float) -> None:
        core = self._core
        if core.election is self and core.term == term:
            self.count(core.settings.replica, now)

    def _request(self, term: int) -> None:
        core = self._core
        request = VoteRequest(
            term, core.log.last_index, core.log.last_term, self.pre_vote, self._transfer
        )
        for name in voters_of(core.membership):
            if name != core.settings.replica:
                core.send_when_durable(name, request)


def answer_vote_request(
    core: Consensus, name: str, request: VoteRequest, now: float
) -> None:
    """Answer a vote or pre-vote request of the replica of that name."""
    if not request.transfer and _must_withhold_vote(core, request, now):
        _deny(core, name, request)
        return
    if request.pre_vote:
        _answer_pre_vote(core, name, request)
        return
    if request.term > core.term:
        core.follow("", request.term, "a candidate has a higher term", now)
    if not _may_vote_for(core, name, request):
        _deny(core, name, request)
        return
    core.vote_for(name, now)
    core.send_when_durable(name, VoteReply(core.term, True, False))


def _answer_pre_vote(core: Consensus, name: str, request: VoteRequest) -> None:
    if request.term <= core.term or not _log_is_current(core, request):
        _deny(core, name, request)
        return
    core.send_when_durable(name, VoteReply(request.term, True, True))


def _must_withhold_vote(core: Consensus, request: VoteRequest, now: float) -> bool:
    """Return whether the vote must be withheld because a leader may hold a lease.

    Within an election timeout of this replica's start, a candidate must also have
    an equal log: see ``former_leases``.
    """
    if _leader_may_hold_lease(core, now):
        return True
    in_waiting_period = core.former_leases.started_recently(now)
    return in_waiting_period and (request.last_term, request.last_index) != _end_of_log(
        core
    )


def _leader_may_hold_lease(core: Consensus, now: float) -> bool:
    """Return whether a leader may hold a lease that depends on this replica.

    A replica may have acknowledged heartbeats just before it restarted, and so
    extended a lease that it no longer remembers.
    """
    if core.leadership is not None:
        return core.leadership.lease_valid(now)
    contacted_recently = now < core.last_leader_contact + core.settings.election_seconds
    return contacted_recently or core.awaits_former_leader(now)


def _may_vote_for(core: Consensus, name: str, request: VoteRequest) -> bool:
    if core.disk_refused or request.term < core.term:
        return False
    if core.voted_for not in ("", name):
        return False
    return _log_is_current(core, request)


def _log_is_current(core: Consensus, request: VoteRequest) -> bool:
    return (request.last_term, request.last_index) >= _end_of_log(core)


def _end_of_log(core: Consensus) -> tuple[int, int]:
    return core.log.last_term, core.log.last_index


def _deny(core: Consensus, name: str, request: VoteRequest) -> None:
    core.send_when_durable(name, VoteReply(core.term, False, request.pre_vote))
