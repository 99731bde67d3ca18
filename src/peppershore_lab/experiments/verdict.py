"""The verdict on one promise of one run."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Literal

import msgspec

MAXIMUM_DETAILS = 10
State = Literal["held", "broken", "not judged"]


class Verdict(msgspec.Struct, frozen=True):
    """Whether a promise held, over how many records that could have broken it.

    Nothing that could have broken it means "not judged", never "held".
    """

    promise: str
    state: State
    judged: int
    broken: int = 0
    details: tuple[str, ...] = ()


def judge(promise: str, judged: int, problems: Iterable[str]) -> Verdict:
    """Give the verdict over ``judged`` records with these problems."""
    found = list(problems)
    details = tuple(found[:MAXIMUM_DETAILS])
    if found:
        return Verdict(promise, "broken", judged, len(found), details)
    return Verdict(promise, "held" if judged else "not judged", judged)
