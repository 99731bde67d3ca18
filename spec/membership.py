"""Specification of replacing a lost replica, with a second loss right after.

Three replicas, the first of which leads term 1.  One loses its disk, or is taken
out alive; it is removed and a fourth is added, first as a learner, then as a
voter.  Once the group is whole again another replica loses its disk.  Meanwhile
replicas win elections and any leader may be cut off without knowing it: as in
``acceptance`` an append may bring any part of what a term's leader ever had, at
any time.  An election is one step here, with any set of voters that suffices;
how votes cross one another is the matter of ``acceptance``.  A leader appends
nothing once a later term began: what it does alone might as well come before that.
An entry counts as accepted as soon as a quorum has it.

Quorums and changed memberships come from the product (``membership_values``).
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

from spec.membership_values import (
    Members,
    counts_of,
    quorum,
    with_learner,
    with_voter,
    without,
)
from spec.specification import Mutant, Specification

REPLICAS = 4
SUCCESSOR = 3
FIRST_TERM = 1
WHOLE_GROUP = 3

FOLLOWER = 0
LEADER = 1
BLANK = 2
"""Lost its disk: comes back only as another member."""

GUARD_ONE_AT_A_TIME = "a membership is changed only once the former one is accepted"
GUARD_OWN_TERM = "a leader changes the membership only after an entry of its own term"
GUARD_LEARNER = "a learner counts in no quorum"
GUARD_BLANK = "a replica with an empty disk neither votes nor acknowledges"

ONE_LEADER = "two leaders never accept in the same term"
NEVER_LOST = "an accepted entry is never lost or replaced"
STILL_HELD = "an accepted entry is on the disk of a replica that may vote"


class Bounds(NamedTuple):
    """How far the model goes, and how it starts."""

    terms: int
    log: int
    losses: int
    candidates: tuple[int, ...]
    removable: tuple[int, ...]
    founders: Members


WHOLE = Bounds(2, 5, 2, (0, 1, 2, 3), (0, 1), Members(0b0111))
"""r1 and r2 are alike, so it is always r0 or r1 that is lost first or taken out."""
OF_FOUR = Bounds(3, 3, 0, (0, 2), (0, 3), Members(0b1111))
"""Two removals with quorums that share no replica need a group of even size."""


class Entry(NamedTuple):
    """One log entry: a membership, or a change if ``members`` is None."""

    term: int
    members: Members | None = None


Log = tuple[Entry, ...]


class Replica(NamedTuple):
    """One replica; in ``term`` it has voted or follows a leader."""

    role: int
    term: int
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
    losses: int
    lost: bool
    two_leaders: bool


Successors = list[tuple[str, State]]


def build(without_guard: str) -> Protocol:
    """Give the model without the named guard."""
    bounds = OF_FOUR if without_guard == GUARD_OWN_TERM else WHOLE
    return Protocol(
        name="membership",
        candidate=False,
        fields=State._fields,
        initial=_start(bounds),
        transitions=_Transitions(without_guard, bounds),
        invariants={
            ONE_LEADER: lambda state: not state["two_leaders"],
            NEVER_LOST: lambda state: not state["lost"],
            STILL_HELD: lambda state: _is_still_held(State(**state)),
        },
    )


def _start(bounds: Bounds) -> State:
    log = (Entry(FIRST_TERM, bounds.founders),)
    members = bounds.founders.everyone
    replicas = tuple(
        _founder(place, log) if members >> place & 1 else _newcomer()
        for place in range(REPLICAS)
    )
    acknowledged = tuple(1 if members >> place & 1 else 0 for place in range(REPLICAS))
    record = TermRecord(0, log, acknowledged)
    later = (None,) * (bounds.terms - FIRST_TERM)
    return State(replicas, (None, record, *later), log, 0, False, False)


def _founder(place: int, log: Log) -> Replica:
    role = LEADER if place == 0 else FOLLOWER
    return Replica(role, FIRST_TERM, log)


def _newcomer() -> Replica:
    return Replica(FOLLOWER, 0, ())


def _members_of(log: Log) -> Members:
    """The newest membership in a log, accepted or not."""
    for entry in reversed(log):
        if entry.members is not None:
            return entry.members
    return Members(0)


def _is_still_held(state: State) -> bool:
    voters = _members_of(state.accepted).voters
    length = len(state.accepted)
    return any(
        replica.role != BLANK and replica.log[:length] == state.accepted
        for place, replica in enumerate(state.replicas)
        if voters >> place & 1
    )


def _with_replica(state: State, index: int, replica: Replica) -> State:
    replicas = state.replicas
    return state._replace(replicas=(*replicas[:index], replica, *replicas[index + 1 :]))


def _with_term(state: State, term: int, record: TermRecord) -> State:
    terms = state.terms
    return state._replace(terms=(*terms[:term], record, *terms[term + 1 :]))


def _votes(voter: Replica, log: Log, term: int) -> bool:
    return voter.role != BLANK and voter.term < term and _is_as_new(log, voter.log)


def _subsets(replicas: list[int]) -> list[int]:
    """All sets of these replicas, as bits."""
    sets = [0]
    for replica in replicas:
        sets += [chosen | 1 << replica for chosen in sets]
    return sets


def _elected(state: State, index: int, voters: int, term: int) -> State:
    replicas = tuple(
        each._replace(role=FOLLOWER, term=term) if voters >> place & 1 else each
        for place, each in enumerate(state.replicas)
    )
    log = state.replicas[index].log
    already = state.two_leaders or state.terms[term] is not None
    after = state._replace(replicas=replicas, two_leaders=already)
    after = _with_replica(after, index, Replica(LEADER, term, log))
    return _with_term(after, term, TermRecord(index, log, (0,) * REPLICAS))


def _is_as_new(log: Log, other: Log) -> bool:
    last = log[-1].term if log else 0
    other_last = other[-1].term if other else 0
    return (last, len(log)) >= (other_last, len(other))


class _Transitions:
    """All that may happen next."""

    def __init__(self, without_guard: str, bounds: Bounds) -> None:
        self._without = without_guard
        self._bounds = bounds

    def _has(self, guard: str) -> bool:
        return self._without != guard

    def __call__(self, state: State) -> Successors:
        state = State(*state)
        successors: Successors = []
        for index in range(REPLICAS):
            if index in self._bounds.candidates:
                successors += self._win_election(state, index)
            successors += self._propose(state, index)
            successors += self._lose_disk(state, index)
            for term in range(FIRST_TERM, self._bounds.terms + 1):
                successors += self._append(state, index, term)
        return successors

    # --- elections -----------------------------------------------------------------

    def _win_election(self, state: State, index: int) -> Successors:
        candidate = state.replicas[index]
        is_voter = bool(_members_of(candidate.log).voters >> index & 1)
        if candidate.role == BLANK or not is_voter:
            return []
        successors: Successors = []
        for term in range(candidate.term + 1, self._bounds.terms + 1):
            willing = [
                peer
                for peer, voter in enumerate(state.replicas)
                if peer != index and _votes(voter, candidate.log, term)
            ]
            for voters in _subsets(willing):
                if self._is_just_quorum(candidate.log, 1 << index | voters):
                    after = _elected(state, index, voters, term)
                    successors.append((f"r{index} leads term {term}", after))
        return successors

    def _is_quorum(self, log: Log, replicas: int) -> bool:
        members = _members_of(log)
        counted = members if self._has(GUARD_LEARNER) else Members(members.everyone)
        return counts_of(counted, replicas) >= quorum(members)

    def _is_just_quorum(self, log: Log, replicas: int) -> bool:
        """Whether a quorum votes, and nobody besides.

        Others hear of the term by an append: that is the same as a vote too many.
        """
        just_enough = replicas.bit_count() == quorum(_members_of(log))
        return just_enough and self._is_quorum(log, replicas)

    # --- the leader's log ------------------------------------------------------------

    def _propose(self, state: State, index: int) -> Successors:
        replica = state.replicas[index]
        if replica.role != LEADER or len(replica.log) == self._bounds.log:
            return []
        if any(state.terms[replica.term + 1 :]):
            return []
        successors: Successors = []
        is_new_term = replica.term > replica.log[-1].term
        if is_new_term:
            entry = Entry(replica.term)
            successors.append(self._appended(state, index, entry, "a change"))
        if self._may_change_membership(state, index):
            successors += self._change_membership(state, index)
        return successors

    def _may_change_membership(self, state: State, index: int) -> bool:
        log = state.replicas[index].log
        changed = [place for place, entry in enumerate(log) if entry.members][-1] + 1
        settled = state.accepted[:changed] == log[:changed]
        if not settled and self._has(GUARD_ONE_AT_A_TIME):
            return False
        own_term = self._accepted_length(state, index) > 0
        return own_term or not self._has(GUARD_OWN_TERM)

    def _change_membership(self, state: State, index: int) -> Successors:
        replica = state.replicas[index]
        members = _members_of(replica.log)
        successors: Successors = []
        for other in self._bounds.removable:
            if self._may_remove(replica.log, index, other):
                entry = Entry(replica.term, without(members, other))
                successors.append(self._appended(state, index, entry, f"without r{other}"))
        if not members.everyone >> SUCCESSOR & 1 and not self._was_member(replica.log):
            entry = Entry(replica.term, with_learner(members, SUCCESSOR))
            successors.append(self._appended(state, index, entry, "a learner"))
        if members.learners:
            entry = Entry(replica.term, with_voter(members, SUCCESSOR))
            successors.append(self._appended(state, index, entry, "the learner votes"))
        return successors

    def _was_member(self, log: Log) -> bool:
        return any(
            entry.members is not None and entry.members.everyone >> SUCCESSOR & 1
            for entry in log
        )

    def _may_remove(self, log: Log, index: int, other: int) -> bool:
        """One member at most is taken out, and not by itself."""
        members = _members_of(log)
        first = log[0].members
        assert first is not None
        intact = first.everyone & ~members.everyone == 0
        return intact and other != index and bool(members.voters >> other & 1)

    def _appended(
        self, state: State, index: int, entry: Entry, label: str
    ) -> tuple[str, State]:
        replica = state.replicas[index]
        log = (*replica.log, entry)
        after = _with_replica(state, index, replica._replace(log=log))
        record = state.terms[replica.term]
        assert record is not None
        after = _with_term(after, replica.term, record._replace(log=log))
        return f"r{index} appends {label}", after

    def _append(self, state: State, index: int, term: int) -> Successors:
        replica = state.replicas[index]
        record = state.terms[term]
        if record is None or record.leader == index or replica.role == BLANK:
            return []
        if term < replica.term:
            return []
        successors: Successors = []
        for length in range(record.acknowledged[index] + 1, len(record.log) + 1):
            sent = record.log[:length]
            log = replica.log if replica.log[:length] == sent else sent
            follower = Replica(FOLLOWER, term, log)
            acknowledged = list(record.acknowledged)
            acknowledged[index] = length
            heard = record._replace(acknowledged=tuple(acknowledged))
            after = _with_term(_with_replica(state, index, follower), term, heard)
            after = self._accept(after, term)
            successors.append((f"r{index} appends {length} of term {term}", after))
        return successors

    def _accepted_length(self, state: State, index: int) -> int:
        """How much of its log a leader knows to be accepted; 0 before its own term."""
        replica = state.replicas[index]
        record = state.terms[replica.term]
        assert record is not None
        for length in range(len(replica.log), 0, -1):
            holders = 1 << index
            for peer in range(REPLICAS):
                if record.acknowledged[peer] >= length:
                    holders |= 1 << peer
            if replica.log[length - 1].term != replica.term:
                return 0
            if self._is_quorum(replica.log, holders):
                return length
        return 0

    def _accept(self, state: State, term: int) -> State:
        """Let the leader of a term accept what a quorum has."""
        record = state.terms[term]
        assert record is not None
        leader = state.replicas[record.leader]
        if leader.role != LEADER or leader.term != term:
            return state
        length = self._accepted_length(state, record.leader)
        return _accepted(state, leader.log[:length])

    # --- losses ------------------------------------------------------------------------

    def _lose_disk(self, state: State, index: int) -> Successors:
        replica = state.replicas[index]
        if state.losses == self._bounds.losses or replica.role == BLANK:
            return []
        if not _members_of(state.accepted).voters >> index & 1:
            return []
        if not _is_whole(state):
            return []
        if not state.losses and index not in self._bounds.removable:
            return []
        blank = Replica(BLANK, 0, ())
        if not self._has(GUARD_BLANK):
            blank = _newcomer()
        after = _with_replica(state, index, blank)._replace(losses=state.losses + 1)
        return [(f"r{index} loses its disk", after)]


def _is_whole(state: State) -> bool:
    """Whether three voters are accepted and none of them is lost."""
    voters = _members_of(state.accepted).voters
    lost = sum(
        1 << place for place, each in enumerate(state.replicas) if each.role == BLANK
    )
    return voters.bit_count() == WHOLE_GROUP and not voters & lost


def _accepted(state: State, log: Log) -> State:
    shared = min(len(log), len(state.accepted))
    lost = state.lost or log[:shared] != state.accepted[:shared]
    longest = log if len(log) > len(state.accepted) else state.accepted
    return state._replace(accepted=longest, lost=lost)


SPECIFICATION = Specification(
    name="membership",
    summary="a lost replica is replaced, and a second one is lost right after",
    build=build,
    mutants=(
        Mutant(GUARD_ONE_AT_A_TIME, NEVER_LOST),
        Mutant(GUARD_OWN_TERM, NEVER_LOST),
        Mutant(GUARD_LEARNER, NEVER_LOST),
        Mutant(GUARD_BLANK, ONE_LEADER),
        Mutant(GUARD_BLANK, STILL_HELD),
    ),
    max_states=600_000,
)
