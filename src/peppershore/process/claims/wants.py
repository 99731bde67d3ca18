"""Events that the data plane sends to a claims client, and the outcomes it returns."""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.claims import DEFAULT_HORIZON_SECONDS, KeptAnswer
from peppershore.process import commands, events


class ClaimWanted(events.Event, frozen=True):
    """The data plane requests the claim on ``key`` before ``deadline``.

    The deadline is in seconds of the clock whose time the core gets with each event.
    """

    request: int
    key: str
    attempt: str
    deadline: float


class CompletionWanted(events.Event, frozen=True):
    """The attempt finished; its answer, if any, is to be stored."""

    request: int
    key: str
    attempt: str
    answer: KeptAnswer | None


class ReleaseWanted(events.Event, frozen=True):
    """The attempt provably did not run, so its claim is to be released."""

    request: int
    key: str
    attempt: str


class WantGranted(msgspec.Struct, frozen=True):
    """The attempt may run the call once.

    The group stores the record of the claim for at least its horizon.
    """

    horizon_seconds: int = DEFAULT_HORIZON_SECONDS


class WantTaken(msgspec.Struct, frozen=True):
    """Another attempt holds the claim; ``answer`` is its answer if one is stored."""

    answer: KeptAnswer | None


class WantUnavailable(msgspec.Struct, frozen=True):
    """No claim was recorded in time, for ``reason``; the call must not be sent."""

    reason: str


WantOutcome = WantGranted | WantTaken | WantUnavailable


class FinishWant(commands.Command, frozen=True):
    """Return the outcome of a ``ClaimWanted`` to the data plane."""

    request: int
    outcome: WantOutcome


class ClaimsLinkLost(commands.Notice, frozen=True):
    """The link to a claims replica was lost or closed; another replica is tried."""

    address: str
    reason: str
    pending: int


class ClaimsGroupUnavailable(commands.Notice, frozen=True):
    """The claims group does not answer; calls that need a claim are refused at once."""

    level = "error"
    reason: str
    refused: int


class ClaimsGroupAvailable(commands.Notice, frozen=True):
    """The claims group answers again, so claims are requested again."""

    unavailable_seconds: float
