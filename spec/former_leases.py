"""Specification of votes soon after a restart, while a former leader may hold a lease.

Three voters with equal logs and one membership.  A lease counts on voters that answered
its leader within the last election timeout; what a voter answered outlives its process,
its memory of it does not.  A voter that restarted votes once an election timeout has
passed, or once every other voter has said on a link of this life that it does not lead.
Such a word travels: it is true when it is sent, and is lost if either end restarts.
Time is one step for each voter: an election timeout passes since its last answer and
its start.  A lease is shorter, so it no longer counts on that voter then.
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

from spec.specification import Mutant, Specification

VOTERS = (0, 1, 2)
QUORUM = 2
LAST_TERM = 2
NOBODY = 0

GUARD_WAIT = "a voter that restarted withholds its vote"
GUARD_ALL = "the word of every other voter is needed, not of some"
GUARD_LIFE = "only what was said in this life counts"

ONE_LEASE = "no leader holds a lease while a newer one leads"


class Voter(NamedTuple):
    """``leads``: its term while it leads.  ``answered``: whose lease counts on it.

    ``remembers`` is what this life knows of ``answered``.  ``heard`` and ``coming`` are
    masks of the voters whose word, that they do not lead, arrived or is on its way.
    """

    leads: int = NOBODY
    answered: int = NOBODY
    remembers: int = NOBODY
    voted: int = NOBODY
    early: bool = False
    heard: int = 0
    coming: int = 0


class State(NamedTuple):
    """All voters."""

    voters: tuple[Voter, ...]


Successors = list[tuple[str, State]]


def build(without: str) -> Protocol:
    """Give the model without the named guard."""
    return Protocol(
        name="former leases",
        candidate=False,
        fields=State._fields,
        initial=State((Voter(),) * len(VOTERS)),
        transitions=_Transitions(without),
        invariants={ONE_LEASE: lambda state: _is_one_lease(State(**state))},
    )


class _Transitions:
    """All that may happen next."""

    def __init__(self, without: str) -> None:
        self._without = without

    def __call__(self, state: State) -> Successors:
        voters = State(*state).voters
        moves: Successors = []
        for place in VOTERS:
            moves.append((f"r{place} restarts", self._restarted(voters, place)))
            moves.append((f"an election timeout passes at r{place}", _aged(voters, place)))
            moves += self._elections(voters, place)
            for other in VOTERS:
                if other != place:
                    moves += _exchanges(voters, place, other)
        return moves

    def _restarted(self, voters: tuple[Voter, ...], place: int) -> State:
        mask = ~(1 << place)
        lost = tuple(
            each._replace(coming=each.coming & mask)
            if self._without != GUARD_LIFE
            else each
            for each in voters
        )
        own = voters[place]
        kept = own.heard if self._without == GUARD_LIFE else 0
        again = Voter(answered=own.answered, voted=own.voted, early=True, heard=kept)
        return State(_with(lost, place, again))

    def _elections(self, voters: tuple[Voter, ...], place: int) -> Successors:
        term = max(each.voted for each in voters) + 1
        if term > LAST_TERM or voters[place].leads or not self._grants(voters, place):
            return []
        return [
            (f"r{place} is elected with r{other}", _elected(voters, place, other, term))
            for other in VOTERS
            if other != place and self._grants(voters, other)
        ]

    def _grants(self, voters: tuple[Voter, ...], place: int) -> bool:
        own = voters[place]
        if own.leads:
            return not _holds_lease(voters, place)
        if own.remembers:
            return False
        if not own.early or self._without == GUARD_WAIT:
            return True
        others = 0b111 & ~(1 << place)
        if self._without == GUARD_ALL:
            return bool(own.heard & others)
        return own.heard & others == others


def _exchanges(voters: tuple[Voter, ...], place: int, other: int) -> Successors:
    """Give what ``place`` hears from ``other``."""
    own, peer = voters[place], voters[other]
    bit = 1 << other
    moves: Successors = []
    if own.early and not peer.leads and not (own.heard | own.coming) & bit:
        sent = own._replace(coming=own.coming | bit)
        moves.append((f"r{other} says that it does not lead", _next(voters, place, sent)))
    if own.coming & bit:
        heard = own._replace(coming=own.coming & ~bit, heard=own.heard | bit)
        moves.append((f"r{place} hears that of r{other}", _next(voters, place, heard)))
    if peer.leads >= own.voted and peer.leads > own.leads:
        answers = own._replace(
            leads=NOBODY, answered=peer.leads, remembers=peer.leads, voted=peer.leads
        )
        moves.append(
            (f"r{place} answers its leader r{other}", _next(voters, place, answers))
        )
    return moves


def _aged(voters: tuple[Voter, ...], place: int) -> State:
    aged = voters[place]._replace(
        answered=NOBODY, remembers=NOBODY, early=False, heard=0, coming=0
    )
    return State(_with(voters, place, aged))


def _elected(voters: tuple[Voter, ...], place: int, other: int, term: int) -> State:
    after = _with(voters, other, voters[other]._replace(leads=NOBODY, voted=term))
    winner = voters[place]._replace(leads=term, voted=term)
    return State(_with(after, place, winner))


def _holds_lease(voters: tuple[Voter, ...], place: int) -> bool:
    term = voters[place].leads
    counted = 1 + sum(each.answered == term for each in voters)
    return term != NOBODY and counted >= QUORUM


def _is_one_lease(state: State) -> bool:
    newest = max(each.leads for each in state.voters)
    return not any(
        _holds_lease(state.voters, place) and state.voters[place].leads < newest
        for place in VOTERS
    )


def _next(voters: tuple[Voter, ...], place: int, voter: Voter) -> State:
    return State(_with(voters, place, voter))


def _with(voters: tuple[Voter, ...], place: int, voter: Voter) -> tuple[Voter, ...]:
    return (*voters[:place], voter, *voters[place + 1 :])


SPECIFICATION = Specification(
    name="former leases",
    summary="voters restart while a leader of before may still hold a lease",
    build=build,
    mutants=(
        Mutant(GUARD_WAIT, ONE_LEASE),
        Mutant(GUARD_ALL, ONE_LEASE),
        Mutant(GUARD_LIFE, ONE_LEASE),
    ),
    max_states=300_000,
)
