"""Specification of rotating a secret: one signer, one verifier, and the barrier.

The verifier may fall silent at any moment and be heard again at any moment.  What
it holds is confirmed only while it is heard, and only if it is what should be held;
else its confirmation ages.  The barrier counts a verifier that is heard, and one
that is silent until its confirmation is surely over.  Times are steps of a clock;
only their order matters: ``FRESH`` passes before ``FORGOTTEN``.
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

from peppershore.process.relay.departures import AWAY_SECONDS
from peppershore.request.audience import REFUSAL_FRESHNESS_SECONDS
from spec.specification import Mutant, Specification

OLD = 1
NEW = 2

FRESH = 1
"""Steps of silence for which what the verifier holds still counts as confirmed."""
FORGOTTEN = 2
"""Steps of silence after which the barrier counts the verifier no more."""
assert REFUSAL_FRESHNESS_SECONDS < AWAY_SECONDS, "the model's order of times is the code's"

GUARD_BARRIER = "signers wait until every verifier that counts holds the new key"
GUARD_FRESHNESS = "a verifier that is not confirmed refuses nobody for an unknown key"
GUARD_ORDER = "a verifier counts until its confirmation is over"
GUARD_AGREEMENT = "only what should be held is confirmed, not what is on its way"

NOBODY_REFUSED = "no member is refused for a key that its signer may use"


class State(NamedTuple):
    """``age``: steps since what the verifier holds was confirmed."""

    put: bool
    verifier: int
    signer: int
    heard: bool
    age: int
    refused: bool


Successors = list[tuple[str, State]]


def build(without: str) -> Protocol:
    """Give the model without the named guard."""
    return Protocol(
        name="rotation",
        candidate=False,
        fields=State._fields,
        initial=State(False, OLD, OLD, True, 0, False),
        transitions=_Transitions(without),
        invariants={NOBODY_REFUSED: lambda state: not state["refused"]},
    )


class _Transitions:
    """All that may happen next."""

    def __init__(self, without: str) -> None:
        self._without = without

    def __call__(self, state: State) -> Successors:
        state = State(*state)
        moves: Successors = []
        if not state.put:
            moves.append(("the new key is put", state._replace(put=True)))
        if state.put and self._is_passed(state):
            moves.append(("signers are told to use it", state._replace(signer=NEW)))
        if state.age < FORGOTTEN:
            older = state._replace(age=state.age + 1)
            moves.append(("nothing is confirmed for a while", older))
        if state.heard:
            moves += self._heard(state)
        else:
            moves.append(("the verifier is heard again", state._replace(heard=True)))
        moves.append(("a member calls", self._call(state)))
        return moves

    def _heard(self, state: State) -> Successors:
        moves: Successors = [("the verifier falls silent", state._replace(heard=False))]
        if state.put:
            taken = state._replace(verifier=NEW, age=0)
            moves.append(("the verifier takes the new key", taken))
        is_current = state.verifier == NEW or not state.put
        if is_current or self._without == GUARD_AGREEMENT:
            moves.append(("what it holds is confirmed", state._replace(age=0)))
        return moves

    def _is_passed(self, state: State) -> bool:
        if self._without == GUARD_BARRIER or state.verifier == NEW:
            return True
        counted = FRESH if self._without == GUARD_ORDER else FORGOTTEN
        return not state.heard and state.age >= counted

    def _call(self, state: State) -> State:
        may_refuse = state.age <= FRESH or self._without == GUARD_FRESHNESS
        return state._replace(
            refused=state.refused or (state.signer > state.verifier and may_refuse)
        )


SPECIFICATION = Specification(
    name="rotation",
    summary="a key is rotated while its verifier falls silent and is heard again",
    build=build,
    mutants=(
        Mutant(GUARD_BARRIER, NOBODY_REFUSED),
        Mutant(GUARD_FRESHNESS, NOBODY_REFUSED),
        Mutant(GUARD_ORDER, NOBODY_REFUSED),
        Mutant(GUARD_AGREEMENT, NOBODY_REFUSED),
    ),
    max_states=1_000,
)
