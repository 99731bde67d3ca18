"""What the data plane asks of a claims client, and what it hears back."""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.claims import DEFAULT_HORIZON_SECONDS, KeptAnswer
from peppershore.process import commands, events


class ClaimWanted(events.Event, frozen=True):
    """The data plane wants the claim on ``key`` before ``deadline`` (core time)."""

    request: int
    key: str
    attempt: str
    deadline: float


class CompletionWanted(events.Event, frozen=True):
    """The attempt finished; keep its answer if it is given."""

    request: int
    key: str
    attempt: str
    answer: KeptAnswer | None


class ReleaseWanted(events.Event, frozen=True):
    """The attempt provably did not run."""

    request: int
    key: str
    attempt: str


class WantGranted(msgspec.Struct, frozen=True):
    """The attempt may run the call, once; the group keeps records for its horizon."""

    horizon_seconds: int = DEFAULT_HORIZON_SECONDS


class WantTaken(msgspec.Struct, frozen=True):
    """Another attempt holds the claim; its answer where kept."""

    answer: KeptAnswer | None


class WantUnavailable(msgspec.Struct, frozen=True):
    """No claim could be recorded in time; the call must not be sent."""

    reason: str


WantOutcome = WantGranted | WantTaken | WantUnavailable


class FinishWant(commands.Command, frozen=True):
    """Hand the outcome of a ``ClaimWanted`` to the data plane."""

    request: int
    outcome: WantOutcome


class ClaimsLinkLost(commands.Notice, frozen=True):
    """The link to a claims replica was given up; another is tried."""

    address: str
    reason: str
    pending: int


class ClaimsGroupUnavailable(commands.Notice, frozen=True):
    """The claims group answers nothing: calls that need a claim are refused at once."""

    level = "error"
    reason: str
    refused: int


class ClaimsGroupAvailable(commands.Notice, frozen=True):
    """The claims group answers again after so many seconds: claims are asked for."""

    unavailable_seconds: float
