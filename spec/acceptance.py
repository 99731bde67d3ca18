"""Specification of accepting changes: the replicated log and its change ids.

Three replicas elect leaders and replicate two changes, each of which its
operator may submit any number of times to any leader.  Messages are not stored:
an append of term T that ever was, or could have been, sent carries a prefix of
the log that T's leader had, so delivering *any* such prefix at *any* time covers
loss, duplication, delay and reordering.  A leader never learns that another one
was elected until a message says so: every leader may be cut off at any moment.

Replicas crash and restart with what they had synced; one may come back with an
empty disk.
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

from spec.specification import NO_GUARD, Mutant, Specification

REPLICAS = 3
QUORUM = 2
CHANGES = ("A", "B")
NOBODY = -1

FOLLOWER = 0
CANDIDATE = 1
LEADER = 2
BLANK = 3
"""Came back with an empty disk: takes part in nothing until it is replaced."""

GUARD_VOTE_ONCE = "a replica votes once in a term"
GUARD_VOTE_SYNCED = "a vote is synced before it is given"
GUARD_VOTE_UP_TO_DATE = "a vote needs a log at least as new as the voter's"
GUARD_APPEND_SYNCED = "an entry is synced before it is acknowledged"
GUARD_STALE_TERM = "an append of an older term is refused"
GUARD_OWN_TERM = "a leader counts acknowledgements only for entries of its own term"
GUARD_CHANGE_ID = "a leader looks a change id up before it appends"
GUARD_BLANK = "a replica with an empty disk neither votes nor acknowledges"

ONE_LEADER = "two leaders never accept in the same term"
NEVER_LOST = "an accepted change is never lost or replaced"
APPLIED_ONCE = "a change id is applied at most once"


class Bounds(NamedTuple):
    """How far the model goes."""

    terms: int
    log: int


WHOLE = Bounds(terms=2, log=2)
NARROW = Bounds(terms=2, log=1)
"""Enough for the counterexamples of all mutants but the one that repeats a change."""


class Entry(NamedTuple):
    """One log entry: the term of the leader that appended it, and the change."""

    term: int
    change: str


Log = tuple[Entry, ...]


class Replica(NamedTuple):
    """One replica; ``votes`` is the set of voters a candidate has, as bits."""

    role: int
    term: int
    voted_for: int
    votes: int
    log: Log


class TermRecord(NamedTuple):
    """All that a term's leader ever had in its log, and what each replica acknowledged."""

    leader: int
    log: Log
    acknowledged: tuple[int, ...]


class State(NamedTuple):
    """All replicas, the terms so far, and what was accepted."""

    replicas: tuple[Replica, ...]
    terms: tuple[TermRecord | None, ...]
    accepted: Log
    lost: bool
    two_leaders: bool
    wiped: bool


Successors = list[tuple[str, State]]

START = Replica(FOLLOWER, 0, NOBODY, 0, ())
ALL_NEW = (START,) * REPLICAS


def build(without: str) -> Protocol:
    """Give the model without the named guard."""
    bounds = WHOLE if without in (NO_GUARD, GUARD_CHANGE_ID) else NARROW
    no_terms = (None,) * (bounds.terms + 1)
    return Protocol(
        name="acceptance",
        candidate=False,
        fields=State._fields,
        initial=State(ALL_NEW, no_terms, (), False, False, False),
        transitions=_Transitions(without, bounds),
        invariants={
            ONE_LEADER: lambda state: not state["two_leaders"],
            NEVER_LOST: lambda state: not state["lost"],
            APPLIED_ONCE: lambda state: _no_change_twice(state["accepted"]),
        },
    )


def _no_change_twice(log: Log) -> bool:
    changes = [entry.change for entry in log]
    return len(set(changes)) == len(changes)


def _with_replica(state: State, index: int, replica: Replica) -> State:
    replicas = state.replicas
    return state._replace(replicas=(*replicas[:index], replica, *replicas[index + 1 :]))


def _with_term(state: State, term: int, record: TermRecord) -> State:
    terms = state.terms
    return state._replace(terms=(*terms[:term], record, *terms[term + 1 :]))


def _is_as_new(log: Log, other: Log) -> bool:
    last = log[-1].term if log else 0
    other_last = other[-1].term if other else 0
    return (last, len(log)) >= (other_last, len(other))


class _Transitions:
    """All that may happen next.

    The replicas are alike, so it is always r0 that stands for election first.
    """

    def __init__(self, without: str, bounds: Bounds) -> None:
        self._without = without
        self._bounds = bounds

    def _has(self, guard: str) -> bool:
        return self._without != guard

    def __call__(self, state: State) -> Successors:
        state = State(*state)
        if state.replicas == ALL_NEW:
            return self._stand_for_election(state, 0)
        successors: Successors = []
        for index in range(REPLICAS):
            successors += self._stand_for_election(state, index)
            successors += self._become_leader(state, index)
            successors += self._submit(state, index)
            successors += self._accept(state, index)
            successors += self._crash(state, index)
            successors += self._lose_disk(state, index)
            for peer in range(REPLICAS):
                successors += self._vote(state, index, peer)
            for term in range(1, self._bounds.terms + 1):
                successors += self._append(state, index, term)
        return successors

    def _stand_for_election(self, state: State, index: int) -> Successors:
        replica = state.replicas[index]
        if replica.role in (LEADER, BLANK) or replica.term == self._bounds.terms:
            return []
        candidate = Replica(CANDIDATE, replica.term + 1, index, 1 << index, replica.log)
        return [(f"r{index} stands for election", _with_replica(state, index, candidate))]

    def _vote(self, state: State, index: int, candidate_index: int) -> Successors:
        voter = state.replicas[index]
        candidate = state.replicas[candidate_index]
        if index == candidate_index or candidate.role != CANDIDATE or voter.role == BLANK:
            return []
        if voter.term > candidate.term:
            return []
        already = voter.term == candidate.term and voter.voted_for != NOBODY
        if already and self._has(GUARD_VOTE_ONCE):
            return []
        up_to_date = _is_as_new(candidate.log, voter.log)
        if not up_to_date and self._has(GUARD_VOTE_UP_TO_DATE):
            return []
        voted = Replica(FOLLOWER, candidate.term, candidate_index, 0, voter.log)
        elected = candidate._replace(votes=candidate.votes | 1 << index)
        after = _with_replica(state, index, voted)
        after = _with_replica(after, candidate_index, elected)
        return [(f"r{index} votes for r{candidate_index}", after)]

    def _become_leader(self, state: State, index: int) -> Successors:
        replica = state.replicas[index]
        if replica.role != CANDIDATE or replica.votes.bit_count() < QUORUM:
            return []
        record = state.terms[replica.term]
        after = _with_replica(state, index, replica._replace(role=LEADER, votes=0))
        if record is not None:
            after = after._replace(two_leaders=True)
        fresh = TermRecord(index, replica.log, (0,) * REPLICAS)
        return [
            (f"r{index} leads term {replica.term}", _with_term(after, replica.term, fresh))
        ]

    def _submit(self, state: State, index: int) -> Successors:
        replica = state.replicas[index]
        if replica.role != LEADER or len(replica.log) == self._bounds.log:
            return []
        known = {entry.change for entry in replica.log}
        successors: Successors = []
        for change in CHANGES:
            if change in known and self._has(GUARD_CHANGE_ID):
                continue
            log = (*replica.log, Entry(replica.term, change))
            after = _with_replica(state, index, replica._replace(log=log))
            record = state.terms[replica.term]
            assert record is not None
            after = _with_term(after, replica.term, record._replace(log=log))
            successors.append((f"{change} is submitted to r{index}", after))
        return successors

    def _append(self, state: State, index: int, term: int) -> Successors:
        replica = state.replicas[index]
        record = state.terms[term]
        if record is None or record.leader == index or replica.role == BLANK:
            return []
        if term < replica.term and self._has(GUARD_STALE_TERM):
            return []
        successors: Successors = []
        for length in range(len(record.log) + 1):
            log = replica.log
            sent = record.log[:length]
            if log[:length] != sent:
                log = sent
            same_term = term == replica.term
            voted_for = replica.voted_for if same_term else NOBODY
            newest = max(term, replica.term)
            follower = Replica(FOLLOWER, newest, voted_for, 0, log)
            acknowledged = list(record.acknowledged)
            acknowledged[index] = max(acknowledged[index], length)
            after = _with_replica(state, index, follower)
            after = _with_term(
                after, term, record._replace(acknowledged=tuple(acknowledged))
            )
            if after != state:
                successors.append((f"r{index} appends {length} of term {term}", after))
        return successors

    def _accept(self, state: State, index: int) -> Successors:
        replica = state.replicas[index]
        if replica.role != LEADER:
            return []
        record = state.terms[replica.term]
        assert record is not None
        successors: Successors = []
        for length in range(1, len(replica.log) + 1):
            own_term = replica.log[length - 1].term == replica.term
            if not own_term and self._has(GUARD_OWN_TERM):
                continue
            holders = 1 + sum(
                1 for peer in range(REPLICAS) if record.acknowledged[peer] >= length
            )
            if holders < QUORUM:
                continue
            after = _accepted(state, replica.log[:length])
            if after != state:
                successors.append((f"r{index} accepts {length}", after))
        return successors

    def _crash(self, state: State, index: int) -> Successors:
        replica = state.replicas[index]
        if replica.role == BLANK:
            return []
        voted_for = replica.voted_for
        log = replica.log
        if not self._has(GUARD_VOTE_SYNCED):
            voted_for = NOBODY
        if not self._has(GUARD_APPEND_SYNCED):
            log = log[:-1]
        restarted = Replica(FOLLOWER, replica.term, voted_for, 0, log)
        if restarted == replica:
            return []
        return [(f"r{index} crashes and restarts", _with_replica(state, index, restarted))]

    def _lose_disk(self, state: State, index: int) -> Successors:
        if state.wiped:
            return []
        role = BLANK if self._has(GUARD_BLANK) else FOLLOWER
        after = _with_replica(state, index, START._replace(role=role))
        return [(f"r{index} loses its disk", after._replace(wiped=True))]


def _accepted(state: State, log: Log) -> State:
    shared = min(len(log), len(state.accepted))
    lost = state.lost or log[:shared] != state.accepted[:shared]
    longest = log if len(log) > len(state.accepted) else state.accepted
    return state._replace(accepted=longest, lost=lost)


SPECIFICATION = Specification(
    name="acceptance",
    summary="replicated log, change ids, cut-off leaders, crashes, one lost disk",
    build=build,
    mutants=(
        Mutant(GUARD_VOTE_ONCE, ONE_LEADER),
        Mutant(GUARD_VOTE_SYNCED, ONE_LEADER),
        Mutant(GUARD_VOTE_UP_TO_DATE, NEVER_LOST),
        Mutant(GUARD_APPEND_SYNCED, NEVER_LOST),
        Mutant(GUARD_STALE_TERM, NEVER_LOST),
        Mutant(GUARD_BLANK, NEVER_LOST),
        Mutant(GUARD_CHANGE_ID, APPLIED_ONCE),
    ),
    max_states=400_000,
)
