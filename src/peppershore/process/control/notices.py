"""Events that a control replica reports to logs and metrics.

Only the leader reports edits, steps of roll-outs and tenants' limits. Requests about
releases and roll-outs are reported by the replica that answers them. A new leader may
report again what its predecessor reported just before it was lost; readers recognise such
duplicates by the version or the change id.
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
    """An edit was refused and changed nothing.

    ``reason`` is one of the fixed words "invalid", "conflict" and "expired".
    """

    change_id: str
    reason: str
    detail: str
    replica: str


def edit_refused(
    outcome: EditInvalid | EditConflict | EditExpired, replica: str
) -> EditRefused:
    """Return the notice by which ``replica`` reports that it refused an edit."""
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
    """A complete configuration was accepted, refused, or left undecided for now."""

    replica: str
    release: Version
    base: Version
    change_id: str
    outcome: str
    detail: str
    waited_milliseconds: int


class ReleaseShown(Notice, frozen=True):
    """An operator's request for the newest configuration was answered.

    If it could not be read, ``release`` is 0 and ``reason`` says why.
    """

    level: ClassVar[str] = "debug"
    replica: str
    release: Version
    reason: str
    waited_milliseconds: int


class RolloutJudged(Notice, frozen=True):
    """An operator's roll-out order was accepted, refused, or left undecided."""

    replica: str
    service: str
    version: str
    outcome: str
    detail: str


class RolloutDecided(Notice, frozen=True):
    """The leader takes the next step of a roll-out, or ends it.

    ``decision`` is "move", "complete" or "rollback".

    ``share`` is the share of calls before the step, in parts of 10,000. Since the order,
    ``calls`` of ``all_calls`` ran at the ``back_ends`` of the new version. ``routes`` lists
    the statistics of both versions by route.
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
    """A tenant's call limit has begun to refuse calls, as nodes reported to the leader."""

    tenant: str
    rate_per_second: float
    burst: float


class TenantLimitEnded(Notice, frozen=True):
    """A tenant's call limit has refused no call for 5 s.

    ``milliseconds`` is how long it refused calls before those 5 s. ``granted`` and
    ``refused`` count the calls of that time, as far as nodes have reported them.
    """

    tenant: str
    milliseconds: int
    granted: int
    refused: int
