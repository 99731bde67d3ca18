"""Calls that may run once: what the node asks of its machine, and what came of them."""

from __future__ import annotations

from collections import Counter
from enum import Enum

from peppershore.process.commands import Command
from peppershore.process.events import Event
from peppershore_lab.simulator.violations import require

AT_MOST_ONCE = "a call under one key runs at most once"
NOT_RUN_IS_TRUE = "an attempt that was told not run never runs"
ANSWER_IS_TRUE = "a caller is given only the answer of the run under its key"


class Told(Enum):
    """What a caller hears."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class CallArrived(Event, frozen=True):
    """A caller sent a call; ``deadline_seconds`` counts from now."""

    call: int
    key: str
    deadline_seconds: float


class RunEnded(Event, frozen=True):
    """What the back end of a call said; ``body`` is None if it refused to run it."""

    call: int
    body: bytes | None


class BackEndSilent(Event, frozen=True):
    """The link to the back end broke: the call may have run or not."""

    call: int


class SendToBackEnd(Command, frozen=True):
    """Send a call, once, under the claim that was granted."""

    call: int
    key: str


class TellCaller(Command, frozen=True):
    """Answer a caller; ``body`` goes with an answer."""

    call: int
    key: str
    told: Told
    body: bytes = b""


class PayoutJournal:
    """All runs and all that callers heard, compared at every entry."""

    def __init__(self) -> None:
        """Begin without calls."""
        self.runs: Counter[str] = Counter()
        self.told: Counter[Told] = Counter()
        self._bodies: dict[str, bytes] = {}
        self._ran: set[int] = set()
        self._not_run: set[int] = set()

    def ran(self, call: int, key: str, body: bytes) -> None:
        """A back end ran a call."""
        self.runs[key] += 1
        self._bodies[key] = body
        self._ran.add(call)
        require(self.runs[key] == 1, AT_MOST_ONCE, f"{key} ran again for call {call}")
        require(call not in self._not_run, NOT_RUN_IS_TRUE, f"call {call} of {key} ran")

    def caller_heard(self, heard: TellCaller) -> None:
        """A caller was answered."""
        self.told[heard.told] += 1
        if heard.told is Told.NOT_RUN:
            detail = f"call {heard.call} of {heard.key} had run"
            require(heard.call not in self._ran, NOT_RUN_IS_TRUE, detail)
            self._not_run.add(heard.call)
        if heard.told is Told.ANSWERED:
            detail = f"call {heard.call} of {heard.key} heard {heard.body!r}"
            require(self._bodies.get(heard.key) == heard.body, ANSWER_IS_TRUE, detail)
