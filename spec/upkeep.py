"""Specification of a group that keeps its own membership, by the product's rules.

Four replicas, three of them vote.  Something was accepted, and the voters hold it.
One replica at a time may be silent.  A disk may be lost whenever the leader sees
nothing more to mend: so the group always claims to bear one loss, and has to.
A store that was lost comes back blank under another identity.
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

from peppershore.connection.messages.consensus import Membership, ReplicaMember
from peppershore.process.consensus.membership import quorum_size, voters_of
from peppershore.process.consensus.membership_maintenance import (
    ConnectedReplica,
    GroupView,
    next_membership,
)
from spec.specification import Mutant, Specification

NAMES = ("a", "b", "c", "d")
VOTERS = 3
MAX_LOSSES = 3
NOBODY = -1
LED_SECONDS = 10.0
"""A silent replica was not heard for this long; longer than any bound but GONE."""

GUARD_CAUGHT_UP = "a learner votes once it holds what the leader holds"
GUARD_IDENTITY = "a blank store under a member's name is not that member"

NOTHING_LOST = "what was accepted is held by every majority that may elect a leader"


class Store(NamedTuple):
    """A replica's disk: which one, and whether it holds what was accepted."""

    identity: int
    holds: bool


class Member(NamedTuple):
    """What the membership says of a replica; identity 0: it is no member."""

    identity: int
    voter: bool


class State(NamedTuple):
    """``silent`` is the index of the replica that is not heard, or NOBODY."""

    stores: tuple[Store, ...]
    members: tuple[Member, ...]
    silent: int
    losses: int


Successors = list[tuple[str, State]]


def build(without: str) -> Protocol:
    """Give the model without the named guard."""
    rules = _Rules(without)
    return Protocol(
        name="upkeep",
        candidate=False,
        fields=State._fields,
        initial=State(
            stores=(Store(1, True), Store(1, True), Store(1, True), Store(1, False)),
            members=(Member(1, True), Member(1, True), Member(1, True), Member(0, False)),
            silent=NOBODY,
            losses=0,
        ),
        transitions=_Transitions(rules),
        invariants={
            NOTHING_LOST: lambda state: rules.nothing_lost(
                State(**{name: state[name] for name in State._fields})
            )
        },
    )


class _Rules:
    """What counts, and what the product's rules decide."""

    def __init__(self, without: str) -> None:
        self._without = without

    def counts(self, state: State, index: int) -> bool:
        """Whether a replica's word counts as that of the member of its name."""
        member = state.members[index]
        if self._without == GUARD_IDENTITY:
            return member.identity != 0
        return member.identity == state.stores[index].identity

    def nothing_lost(self, state: State) -> bool:
        """Every majority of voters whose word counts has a store with the entry."""
        lacking = [
            index
            for index in _voters(state)
            if self.counts(state, index) and not state.stores[index].holds
        ]
        return len(lacking) < quorum_size(_membership(state))

    def leaders(self, state: State) -> list[int]:
        """Replicas that a majority may elect."""
        taking_part = [
            index
            for index in _voters(state)
            if index != state.silent and self.counts(state, index)
        ]
        if len(taking_part) < quorum_size(_membership(state)):
            return []
        return [index for index in taking_part if state.stores[index].holds]

    def next(self, state: State, leader: int) -> Membership | None:
        """Ask the product what the leader changes."""
        present = {
            NAMES[index]: self._present(state, index)
            for index in range(len(NAMES))
            if index not in {leader, state.silent}
        }
        membership = _membership(state)
        view = GroupView(NAMES[leader], membership, present, VOTERS, LED_SECONDS)
        return next_membership(view)

    def _present(self, state: State, index: int) -> ConnectedReplica:
        store = state.stores[index]
        known = state.members[index].identity
        hides = self._without == GUARD_IDENTITY and known != 0
        return ConnectedReplica(
            name=NAMES[index],
            address="",
            identity=known if hides else store.identity,
            seconds_since_contact=0.0,
            caught_up=store.holds or self._without == GUARD_CAUGHT_UP,
        )


class _Transitions:
    """All that may happen next."""

    def __init__(self, rules: _Rules) -> None:
        self._rules = rules

    def __call__(self, state: State) -> Successors:
        state = State(*state)
        leaders = self._rules.leaders(state)
        changes = [(each, self._rules.next(state, each)) for each in leaders]
        moves = [
            (f"{NAMES[leader]} changes the membership", _with_members(state, changed))
            for leader, changed in changes
            if changed is not None
        ]
        if leaders:
            moves += self._caught_up(state)
        if leaders and all(changed is None for _, changed in changes):
            moves += _lost(state)
        return moves + _silence(state)

    def _caught_up(self, state: State) -> Successors:
        return [
            (
                f"{NAMES[index]} catches up",
                _with_store(state, index, store._replace(holds=True)),
            )
            for index, store in enumerate(state.stores)
            if not store.holds and index != state.silent
            if self._rules.counts(state, index)
        ]


def _lost(state: State) -> Successors:
    if state.losses >= MAX_LOSSES:
        return []
    return [
        (
            f"{NAMES[index]} loses its disk",
            _with_store(state, index, Store(store.identity + 1, False))._replace(
                losses=state.losses + 1
            ),
        )
        for index, store in enumerate(state.stores)
    ]


def _silence(state: State) -> Successors:
    if state.silent != NOBODY:
        return [(f"{NAMES[state.silent]} is heard", state._replace(silent=NOBODY))]
    return [
        (f"{name} falls silent", state._replace(silent=index))
        for index, name in enumerate(NAMES)
    ]


def _voters(state: State) -> list[int]:
    return [index for index, member in enumerate(state.members) if member.voter]


def _membership(state: State) -> Membership:
    return Membership(
        tuple(
            ReplicaMember(NAMES[index], "", member.identity, voter=member.voter)
            for index, member in enumerate(state.members)
            if member.identity
        )
    )


def _with_members(state: State, membership: Membership) -> State:
    known = {each.name: Member(each.identity, each.voter) for each in membership.members}
    assert set(voters_of(membership)) <= set(known)
    return state._replace(
        members=tuple(known.get(name, Member(0, False)) for name in NAMES)
    )


def _with_store(state: State, index: int, store: Store) -> State:
    stores = list(state.stores)
    stores[index] = store
    return state._replace(stores=tuple(stores))


SPECIFICATION = Specification(
    name="upkeep",
    summary="a group mends its own membership while disks are lost one after another",
    build=build,
    mutants=(
        Mutant(GUARD_CAUGHT_UP, NOTHING_LOST),
        Mutant(GUARD_IDENTITY, NOTHING_LOST),
    ),
    max_states=200_000,
)
