"""Kinds of sends of a call to a back end, as the retry bound over all nodes counts them."""

from __future__ import annotations

from typing import Literal

import msgspec

SendKind = Literal["first", "retry", "in-repeat"]
"""``first``: no back end has seen the call before. ``retry``: a back end may have seen it.
``in-repeat``: the first send of a call that a back end makes for a run which is a repeat
itself, so that the call repeats one that an earlier run made."""

SEND_KINDS: dict[str, SendKind] = {
    "first": "first",
    "retry": "retry",
    "in-repeat": "in-repeat",
}


def send_kind(offers: int, is_in_repeat: bool) -> SendKind:
    """Return the kind of the next send of a call.

    ``offers`` is the number of back ends that may have seen it; ``is_in_repeat`` says that
    a repeated run makes it.
    """
    if offers:
        return "retry"
    return "in-repeat" if is_in_repeat else "first"


class ArrivalCounts(msgspec.Struct):
    """Number of sends that reached a back end, by kind, and of those refused unpaid.

    ``unpaid``: repeats that were not sent, because the retry budget was used up.
    """

    first: int = 0
    retry: int = 0
    in_repeat: int = 0
    unpaid: int = 0

    def add(self, kind: SendKind) -> None:
        """Count a send that reached the back end."""
        match kind:
            case "first":
                self.first += 1
            case "retry":
                self.retry += 1
            case "in-repeat":
                self.in_repeat += 1
