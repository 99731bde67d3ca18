"""Specification of claims: what may not be repeated runs at most once.

A caller sends one call, and sends it again through another node whenever it
likes.  Each attempt asks the claims group first.  What a node ever sent to the
group may be appended at any time, any number of times, after anything else: that
covers loss, duplication, delay and reordering.  An answer may reach its node at
any time after it could be given, or never.  A request on its way to the back end
may run after its node has died or given up.

The group is one log of which each replica holds a part; how a log comes to be
equal on all replicas is the matter of ``acceptance``.  A replica loses its disk,
is replaced, and another one loses its disk right after.  What an entry does to
the record of claims is worked out by the product's own ``ClaimTable``.
"""

from __future__ import annotations

from functools import cache
from typing import NamedTuple

from minicheck import Protocol

from peppershore.connection.messages.claims import KeptAnswer
from peppershore.process.claims.entries import (
    ClaimEntry,
    CompletionEntry,
    Granted,
    ReleaseEntry,
    TableAnswer,
    TableEntry,
    Taken,
)
from peppershore.process.claims.table import ClaimTable
from spec.specification import Mutant, Specification

FOLLOWERS = 2
QUORUM = 2
BLANK = -1
"""Of ``State.followers``: the replica came back with an empty disk."""

KEY = "payout"
HORIZON_MILLISECONDS = 1_000

GUARD_QUORUM = "a claim is granted once a quorum has it on disk"
GUARD_BLANK = "a replica with an empty disk counts only once it was replaced"
GUARD_GRANT_FIRST = "a node dispatches only after the grant"
GUARD_FINISHED = "a grant after the node gave up lets nothing run"
GUARD_DISPATCH_ONCE = "a grant heard again dispatches nothing"
GUARD_PROVEN = "only an attempt that provably did not run is released"
GUARD_HOLDER = "a release counts only from the attempt that holds the claim"
GUARD_HONEST = "a call that was sent is told not run only when that is proven"
GUARD_WHOLE = "only a whole answer is kept"

AT_MOST_ONCE = "the call runs at most once"
NOT_RUN_IS_TRUE = "an attempt that was told not run never runs"
ANSWER_IS_TRUE = "a caller is given an answer only of a call that ran"

IDLE = "idle"
WAITING = "waiting"
HOLDS = "holds the claim"
SENT = "sent"
OVER = "over"
DEAD = "dead"

UNTOLD = ""
NOT_RUN = "not run"
UNKNOWN = "unknown"
ANSWERED = "answered"

CLAIM = "claim"
RELEASE = "release"
COMPLETE = "complete"


class Bounds(NamedTuple):
    """How far the model goes: attempts, entries in the log, lost disks."""

    attempts: int
    log: int
    losses: int


WHOLE = Bounds(attempts=2, log=4, losses=2)
THREE_ATTEMPTS = Bounds(attempts=3, log=3, losses=0)
"""A release that wrongly frees another attempt's claim shows only in a third one."""


class Entry(NamedTuple):
    """One message of an attempt, or its entry in the group's log."""

    kind: str
    attempt: int


class Attempt(NamedTuple):
    """One attempt: what its node does, what is on its way, what its caller heard."""

    phase: str = IDLE
    under_way: bool = False
    refused: bool = False
    answered: bool = False
    runs: int = 0
    told: str = UNTOLD


class State(NamedTuple):
    """The attempts, all that their nodes ever sent, and the leader's log.

    ``followers`` tells how much of the log each other replica has on disk; they are
    alike, so they stand in the order of that.
    """

    attempts: tuple[Attempt, ...]
    sent: frozenset[Entry]
    log: tuple[Entry, ...]
    followers: tuple[int, ...]
    losses: int


Successors = list[tuple[str, State]]


def build(without: str) -> Protocol:
    """Give the model without the named guard."""
    bounds = THREE_ATTEMPTS if without == GUARD_HOLDER else WHOLE
    idle = (Attempt(),) * bounds.attempts
    return Protocol(
        name="claims",
        candidate=False,
        fields=State._fields,
        initial=State(idle, frozenset(), (), (0,) * FOLLOWERS, 0),
        transitions=_Transitions(without, bounds),
        invariants={
            AT_MOST_ONCE: lambda state: _runs(state["attempts"]) <= 1,
            NOT_RUN_IS_TRUE: lambda state: all(
                each.runs == 0 for each in state["attempts"] if each.told == NOT_RUN
            ),
            ANSWER_IS_TRUE: lambda state: all(
                _runs(state["attempts"]) == 1
                for each in state["attempts"]
                if each.told == ANSWERED
            ),
        },
    )


def _runs(attempts: tuple[Attempt, ...]) -> int:
    return sum(each.runs for each in attempts)


@cache
def _answers(log: tuple[Entry, ...]) -> tuple[TableAnswer, ...]:
    """What the product's table answers to each entry of a log."""
    table = ClaimTable(HORIZON_MILLISECONDS)
    return tuple(table.apply_entry(_table_entry(entry)) for entry in log)


def _table_entry(entry: Entry) -> TableEntry:
    name = str(entry.attempt)
    match entry.kind:
        case "claim":
            return ClaimEntry(KEY, name)
        case "release":
            return ReleaseEntry(KEY, name)
        case _:
            return CompletionEntry(KEY, name, KeptAnswer(200, (), b"paid"))


def _with_attempt(state: State, number: int, attempt: Attempt, *sent: Entry) -> State:
    attempts = state.attempts
    changed = (*attempts[:number], attempt, *attempts[number + 1 :])
    return state._replace(attempts=changed, sent=state.sent | frozenset(sent))


def _with_follower(state: State, place: int, length: int) -> State:
    others = _without(state.followers, place)
    return state._replace(followers=tuple(sorted((*others, length))))


def _without(followers: tuple[int, ...], place: int) -> tuple[int, ...]:
    return (*followers[:place], *followers[place + 1 :])


def _over(attempt: Attempt, phase: str, told: str = UNTOLD) -> Attempt:
    """The attempt once nobody waits for its back end any more."""
    return Attempt(phase, under_way=attempt.under_way, runs=attempt.runs, told=told)


class _Transitions:
    """All that may happen next."""

    def __init__(self, without: str, bounds: Bounds) -> None:
        self._without = without
        self._bounds = bounds

    def _has(self, guard: str) -> bool:
        return self._without != guard

    def __call__(self, state: State) -> Successors:
        state = State(*state)
        successors: Successors = []
        for number in range(self._bounds.attempts):
            successors += self._caller_sends(state, number)
            successors += self._node_moves(state, number)
            successors += self._back_end_moves(state, number)
            successors += self._node_dies(state, number)
        for message in sorted(state.sent):
            successors += self._leader_appends(state, message)
        for place in range(len(state.followers)):
            successors += self._follower_moves(state, place)
        successors += self._leader_loses_disk(state)
        for place in range(len(state.log)):
            successors += self._node_hears(state, place)
        return successors

    # --- callers and their nodes ---------------------------------------------------

    def _caller_sends(self, state: State, number: int) -> Successors:
        is_resend = number > 0
        if state.attempts[number].phase != IDLE:
            return []
        if is_resend and state.attempts[number - 1].phase == IDLE:
            return []
        claim = Entry(CLAIM, number)
        after = _with_attempt(state, number, Attempt(WAITING), claim)
        return [(f"attempt {number} asks for the claim", after)]

    def _node_moves(self, state: State, number: int) -> Successors:
        attempt = state.attempts[number]
        release = Entry(RELEASE, number)
        successors: Successors = []
        may_send = attempt.phase == HOLDS
        if attempt.phase == WAITING and not self._has(GUARD_GRANT_FIRST):
            may_send = True
        if may_send:
            dispatched = attempt._replace(phase=SENT, under_way=True)
            after = _with_attempt(state, number, dispatched)
            successors.append((f"attempt {number} is dispatched", after))
        if attempt.phase in (WAITING, HOLDS):
            given_up = _over(attempt, OVER, NOT_RUN)
            after = _with_attempt(state, number, given_up, release)
            successors.append((f"attempt {number} is given up unsent", after))
        if attempt.phase == SENT:
            successors += self._sent_moves(state, number)
        return successors

    def _sent_moves(self, state: State, number: int) -> Successors:
        attempt = state.attempts[number]
        release, complete = Entry(RELEASE, number), Entry(COMPLETE, number)
        successors: Successors = []
        if attempt.refused:
            refused = _over(attempt, OVER, NOT_RUN)
            after = _with_attempt(state, number, refused, release)
            successors.append((f"attempt {number} hears that it was refused", after))
        if attempt.answered:
            answered = _over(attempt, OVER, ANSWERED)
            after = _with_attempt(state, number, answered, complete)
            successors.append((f"attempt {number} hears its answer", after))
        told = UNKNOWN if self._has(GUARD_HONEST) else NOT_RUN
        lost = _over(attempt, OVER, told)
        notes = [] if self._has(GUARD_PROVEN) else [release]
        notes += [] if self._has(GUARD_WHOLE) else [complete]
        after = _with_attempt(state, number, lost, *notes)
        successors.append((f"the back end of attempt {number} goes silent", after))
        return successors

    def _back_end_moves(self, state: State, number: int) -> Successors:
        attempt = state.attempts[number]
        if not attempt.under_way:
            return []
        waits = attempt.phase == SENT
        runs = attempt.runs + 1
        ran = attempt._replace(under_way=False, answered=waits, runs=runs)
        refused = attempt._replace(under_way=False, refused=waits)
        return [
            (f"attempt {number} runs", _with_attempt(state, number, ran)),
            (f"attempt {number} is refused", _with_attempt(state, number, refused)),
        ]

    def _node_dies(self, state: State, number: int) -> Successors:
        attempt = state.attempts[number]
        if attempt.phase in (IDLE, OVER, DEAD):
            return []
        dead = _over(attempt, DEAD)
        return [(f"the node of attempt {number} dies", _with_attempt(state, number, dead))]

    def _node_hears(self, state: State, place: int) -> Successors:
        entry = state.log[place]
        if entry.kind != CLAIM or not self._is_answered(state, place):
            return []
        attempt = state.attempts[entry.attempt]
        answer = _answers(state.log)[place]
        heard = self._heard(attempt, answer)
        if heard == attempt:
            return []
        after = _with_attempt(state, entry.attempt, heard)
        return [(f"attempt {entry.attempt} hears {type(answer).__name__}", after)]

    def _heard(self, attempt: Attempt, answer: TableAnswer) -> Attempt:
        if isinstance(answer, Granted):
            takes = attempt.phase == WAITING
            if attempt.phase == OVER and not self._has(GUARD_FINISHED):
                takes = True
            if attempt.phase == SENT and not self._has(GUARD_DISPATCH_ONCE):
                takes = True
            return attempt._replace(phase=HOLDS) if takes else attempt
        if isinstance(answer, Taken) and attempt.phase == WAITING:
            told = UNKNOWN if answer.answer is None else ANSWERED
            return _over(attempt, OVER, told)
        return attempt

    # --- the group -----------------------------------------------------------------

    def _is_answered(self, state: State, place: int) -> bool:
        if not self._has(GUARD_QUORUM):
            return True
        holders = 1 + sum(1 for length in state.followers if length > place)
        return holders >= QUORUM

    def _leader_appends(self, state: State, message: Entry) -> Successors:
        if len(state.log) == self._bounds.log:
            return []
        if message.kind == RELEASE and not self._has(GUARD_HOLDER):
            attempts = range(self._bounds.attempts)
            return [_appended(state, Entry(RELEASE, number)) for number in attempts]
        return [_appended(state, message)]

    def _follower_moves(self, state: State, place: int) -> Successors:
        length = state.followers[place]
        newest = len(state.log)
        successors: Successors = []
        if BLANK < length < newest:
            after = _with_follower(state, place, length + 1)
            successors.append((f"a replica stores entry {length + 1}", after))
        if length == BLANK and all(each in (BLANK, newest) for each in state.followers):
            after = _with_follower(state, place, newest)
            successors.append(("the lost replica is replaced", after))
        if self._may_lose_disk(state):
            after = _with_follower(state, place, self._lost_disk)
            after = after._replace(losses=state.losses + 1)
            successors.append(("a replica loses its disk", after))
        if _can_lead(length, (*_without(state.followers, place), newest)):
            after = _led_by(state, place, newest)
            successors.append((f"a replica with {length} entries leads", after))
        return successors

    def _leader_loses_disk(self, state: State) -> Successors:
        if not self._may_lose_disk(state):
            return []
        successors: Successors = []
        for place, length in enumerate(state.followers):
            others = (*_without(state.followers, place), self._lost_disk)
            if _can_lead(length, others):
                after = _led_by(state, place, self._lost_disk)
                after = after._replace(losses=state.losses + 1)
                label = f"the leader loses its disk, one with {length} entries leads"
                successors.append((label, after))
        return successors

    def _may_lose_disk(self, state: State) -> bool:
        return state.losses < self._bounds.losses and BLANK not in state.followers

    @property
    def _lost_disk(self) -> int:
        return BLANK if self._has(GUARD_BLANK) else 0


def _appended(state: State, entry: Entry) -> tuple[str, State]:
    after = state._replace(log=(*state.log, entry))
    return f"the leader appends {entry.kind} of attempt {entry.attempt}", after


def _can_lead(length: int, others: tuple[int, ...]) -> bool:
    """Whether a quorum votes for a replica with so many entries."""
    votes = 1 + sum(1 for other in others if BLANK < other <= length)
    return length > BLANK and votes >= QUORUM


def _led_by(state: State, place: int, former_leader: int) -> State:
    """One follower leads; what the others have beyond its log is dropped."""
    own = state.followers[place]
    others = (*_without(state.followers, place), former_leader)
    followers = tuple(sorted(min(other, own) for other in others))
    return state._replace(log=state.log[:own], followers=followers)


SPECIFICATION = Specification(
    name="claims",
    summary="claim, run, settle; dead nodes, resends, lost replicas",
    build=build,
    mutants=(
        Mutant(GUARD_QUORUM, AT_MOST_ONCE),
        Mutant(GUARD_BLANK, AT_MOST_ONCE),
        Mutant(GUARD_GRANT_FIRST, AT_MOST_ONCE),
        Mutant(GUARD_DISPATCH_ONCE, AT_MOST_ONCE),
        Mutant(GUARD_PROVEN, AT_MOST_ONCE),
        Mutant(GUARD_HOLDER, AT_MOST_ONCE),
        Mutant(GUARD_FINISHED, NOT_RUN_IS_TRUE),
        Mutant(GUARD_HONEST, NOT_RUN_IS_TRUE),
        Mutant(GUARD_WHOLE, ANSWER_IS_TRUE),
    ),
    max_states=600_000,
)
