"""What one specification is: a model that can be built whole or without one guard."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from minicheck import Protocol

NO_GUARD = ""
"""Names no guard: the model is built whole."""


@dataclass(frozen=True)
class Mutant:
    """The specification without one guard, and the invariant that must then break."""

    guard: str
    breaks: str


@dataclass(frozen=True)
class Specification:
    """A bounded model of one part of the protocol.

    ``build`` gives the model without the named guard (``NO_GUARD``: whole).
    ``max_states`` is the bound within which the search must be exhaustive.
    ``mutants`` holds at least one mutant for each invariant.
    """

    name: str
    summary: str
    build: Callable[[str], Protocol]
    mutants: tuple[Mutant, ...]
    max_states: int

    def model(self) -> Protocol:
        """Give the whole model."""
        return self.build(NO_GUARD)
