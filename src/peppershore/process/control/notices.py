"""What a control replica reports of edits to logs and metrics.

Only the leader reports.  A new leader reports again what its predecessor may
have reported just before it was lost: readers go by the version or change id.
"""

from __future__ import annotations

from typing import ClassVar, assert_never

from peppershore.process.commands import Notice
from peppershore.version.model import EditConflict, EditExpired, EditInvalid, Version


class EditAccepted(Notice, frozen=True):
    """An edit is committed as ``version``; ``operator`` is its author."""

    version: Version
    change_id: str
    operator: str
    replica: str


class EditRefused(Notice, frozen=True):
    """An edit changed nothing.

    ``reason`` is a stable word: "invalid", "conflict" or "expired".
    """

    change_id: str
    reason: str
    detail: str
    replica: str


def edit_refused(
    outcome: EditInvalid | EditConflict | EditExpired, replica: str
) -> EditRefused:
    """Give the notice of a refusal."""
    reason, detail = _refusal(outcome)
    return EditRefused(outcome.change_id, reason, detail, replica)


def _refusal(outcome: EditInvalid | EditConflict | EditExpired) -> tuple[str, str]:
    if isinstance(outcome, EditInvalid):
        return "invalid", "; ".join(_describe(outcome))
    if isinstance(outcome, EditConflict):
        return "conflict", f"{outcome.subject} was changed by {outcome.winner_change_id}"
    if isinstance(outcome, EditExpired):
        return "expired", f"older than version {outcome.horizon_version}"
    assert_never(outcome)


def _describe(outcome: EditInvalid) -> list[str]:
    return [f"{each.subject}: {each.reason}" for each in outcome.problems]


class ReleaseJudged(Notice, frozen=True):
    """A whole configuration was taken, refused, or left undecided for now."""

    replica: str
    release: Version
    base: Version
    change_id: str
    outcome: str
    detail: str
    waited_milliseconds: int


class ReleaseShown(Notice, frozen=True):
    """The newest configuration was read; ``release`` 0 with the reason if it was not."""

    level: ClassVar[str] = "debug"
    replica: str
    release: Version
    reason: str
    waited_milliseconds: int


class RolloutJudged(Notice, frozen=True):
    """An operator's order about a roll-out was taken, refused, or left undecided."""

    replica: str
    service: str
    version: str
    outcome: str
    detail: str


class RolloutDecided(Notice, frozen=True):
    """The leader takes the next step of a roll-out, or ends it.

    ``share`` is that of before, in parts of 10,000; ``calls`` ran at the new version's
    ``back_ends`` since the order, of ``all_calls``; ``routes`` has the figures of both.
    """

    service: str
    version: str
    decision: str
    share: int
    reason: str
    elapsed_milliseconds: int
    back_ends: int
    calls: int
    all_calls: int
    routes: tuple[str, ...]


class TenantLimitBegan(Notice, frozen=True):
    """A tenant's limit refuses calls from now on, as nodes told the leader."""

    tenant: str
    rate_per_second: float
    burst: float


class TenantLimitEnded(Notice, frozen=True):
    """A tenant's limit refused nothing for 5 s; it did so for the time before those.

    ``granted`` and ``refused`` are the calls of that time, as far as nodes told.
    """

    tenant: str
    milliseconds: int
    granted: int
    refused: int
