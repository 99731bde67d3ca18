"""Sets two results side by side, figure by figure, with the ratio of B to A."""

from __future__ import annotations

import msgspec

from peppershore_lab.experiments.figures import Figure, figures_of, shown
from peppershore_lab.experiments.result import ExperimentResult


class ComparedFigure(msgspec.Struct, frozen=True):
    """One figure of both results; ``ratio`` is B's by A's, None where A's is 0."""

    name: str
    unit: str
    a: float
    b: float
    ratio: float | None


class ComparedVerdict(msgspec.Struct, frozen=True):
    """One promise in both results; "" where one does not judge it."""

    promise: str
    a: str
    b: str


class Comparison(msgspec.Struct, frozen=True):
    """Two results side by side; figures that only one has are left out."""

    a: str
    b: str
    figures: tuple[ComparedFigure, ...]
    verdicts: tuple[ComparedVerdict, ...]


def compare(a: ExperimentResult, b: ExperimentResult) -> Comparison:
    """Compare two results, of one experiment or of two."""
    others = {figure.name: figure for figure in figures_of(b)}
    figures = [
        _compared(figure, others[figure.name])
        for figure in figures_of(a)
        if figure.name in others
    ]
    return Comparison(
        a=a.experiment.name,
        b=b.experiment.name,
        figures=tuple(figures),
        verdicts=_verdicts(a, b),
    )


def comparison_rows(comparison: Comparison) -> list[tuple[str, str, str, str]]:
    """Give the rows of a table for people."""
    rows = [
        (
            each.name,
            shown(Figure(each.name, each.a, each.unit)),
            shown(Figure(each.name, each.b, each.unit)),
            "" if each.ratio is None else f"{each.ratio:.2f}",
        )
        for each in comparison.figures
    ]
    return rows + [(each.promise, each.a, each.b, "") for each in comparison.verdicts]


def _compared(a: Figure, b: Figure) -> ComparedFigure:
    ratio = b.value / a.value if a.value else None
    return ComparedFigure(a.name, a.unit, a.value, b.value, ratio)


def _verdicts(a: ExperimentResult, b: ExperimentResult) -> tuple[ComparedVerdict, ...]:
    left: dict[str, str] = {each.promise: each.state for each in a.verdicts}
    right: dict[str, str] = {each.promise: each.state for each in b.verdicts}
    promises = list(dict.fromkeys([*left, *right]))
    return tuple(
        ComparedVerdict(promise, left.get(promise, ""), right.get(promise, ""))
        for promise in promises
    )
