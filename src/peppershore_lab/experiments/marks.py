"""What faults were really done and when: the marks of one run."""

from __future__ import annotations

import msgspec

from peppershore_lab.experiments.definition import Action, CutDirection


class FaultMark(msgspec.Struct, frozen=True, kw_only=True):
    """One fault done to its targets; Unix seconds.

    ``ended`` is when it was undone (a process: when it ran again); None: never.
    ``exited`` is when a planned stop was complete.  ``detail`` is what was seen.
    """

    action: Action
    targets: tuple[str, ...]
    began: float
    ended: float | None = None
    exited: float | None = None
    direction: CutDirection = "both"
    detail: str = ""


class Span(msgspec.Struct, frozen=True, order=True):
    """A stretch of time in Unix seconds."""

    began: float
    ended: float


def merged_spans(spans: list[Span]) -> list[Span]:
    """Give the same time as ascending spans that don't touch."""
    merged: list[Span] = []
    for span in sorted(spans):
        if merged and span.began <= merged[-1].ended:
            last = merged.pop()
            merged.append(Span(last.began, max(last.ended, span.ended)))
        else:
            merged.append(span)
    return merged
