"""Accepted edits as shown: author, time, comment and operations, no key material."""

from __future__ import annotations

from datetime import UTC, datetime

import msgspec
from msgspec import UNSET
from returns.result import Failure, Result, Success

from peppershore.command.client import ControlGroup, ask
from peppershore.command.failures import Failed
from peppershore.command.values import format_assignments
from peppershore.connection.messages.operators import HistoryAnswered, HistoryQuery
from peppershore.connection.messages.relay import CommittedEdit
from peppershore.version.model import (
    ChangeTenantKeys,
    EditAccepted,
    Operation,
    PromoteSecret,
    PutSecret,
    RemoveNode,
    RemoveSecret,
    RemoveTenant,
    RemoveZone,
    SetOverrides,
    SetTenant,
    SetZone,
    UnsetOverrides,
    Version,
)
from peppershore.version.tenants import given_limits, key_fingerprint

MILLISECONDS_PER_SECOND = 1_000
MAX_SHOWN_OPERATIONS = 3
MAX_SEARCHED_CHANGES = 1_000


class ChangeView(msgspec.Struct, frozen=True):
    """One accepted edit as shown; ``accepted`` is the time by the leader's clock."""

    version: Version
    accepted: datetime
    author: str
    change_id: str
    comment: str
    operations: tuple[str, ...]


class HistoryView(msgspec.Struct, frozen=True):
    """The requested edits; ``first_version`` is the oldest version still stored."""

    first_version: Version
    changes: tuple[ChangeView, ...]


async def read_history(
    group: ControlGroup, after_version: Version, limit: int
) -> Result[HistoryView, Failed]:
    """Return up to ``limit`` accepted edits after a version, oldest first."""
    answer = await ask(group, HistoryQuery(after_version, limit), HistoryAnswered)
    if isinstance(answer, Failure):
        return Failure(answer.failure().failed)
    history = answer.unwrap()
    changes = tuple(view_change(item) for item in history.edits)
    return Success(HistoryView(history.first_version, changes))


async def find_change(
    group: ControlGroup, change_id: str
) -> Result[EditAccepted | None, Failed]:
    """Return the acceptance of the edit with this change id, or None if not stored."""
    answer = await ask(group, HistoryQuery(0, MAX_SEARCHED_CHANGES), HistoryAnswered)
    if isinstance(answer, Failure):
        return Failure(answer.failure().failed)
    for committed in answer.unwrap().edits:
        if committed.edit.change_id == change_id:
            return Success(EditAccepted(change_id, committed.version))
    return Success(None)


def view_change(committed: CommittedEdit) -> ChangeView:
    """Return one accepted edit in the form that is shown."""
    edit = committed.edit
    seconds = edit.accepted_unix_milliseconds / MILLISECONDS_PER_SECOND
    return ChangeView(
        version=committed.version,
        accepted=datetime.fromtimestamp(seconds, UTC),
        author=edit.author,
        change_id=edit.change_id,
        comment=edit.comment,
        operations=tuple(describe(operation) for operation in edit.operations),
    )


def describe(operation: Operation) -> str:
    """Return a text that describes the operation, without key material."""
    match operation:
        case SetOverrides(path, overrides):
            return " ".join(("set", path, *format_assignments(overrides)))
        case UnsetOverrides(path, names):
            return f"unset {path} " + " ".join(names)
        case RemoveNode(path):
            return f"remove {path}"
        case SetZone(name, region):
            return f"zone set {name} {region}"
        case RemoveZone(name):
            return f"zone remove {name}"
        case PutSecret(name):
            return f"secret put {name}"
        case PromoteSecret(name, generation):
            return f"secret {name}: signers use generation {generation}"
        case RemoveSecret(name):
            return f"secret remove {name}"
        case SetTenant():
            return _describe_tenant(operation)
        case ChangeTenantKeys(name, keys, drop):
            added = (f"+{key_fingerprint(key)}" for key in keys)
            dropped = (f"-{fingerprint}" for fingerprint in drop)
            return " ".join(("tenant keys", name, *added, *dropped))
        case RemoveTenant(name):
            return f"tenant remove {name}"


def _describe_tenant(operation: SetTenant) -> str:
    given = [f"{name}={value}" for name, value in given_limits(operation).items()]
    if operation.keys is not UNSET:
        shown = ",".join(key_fingerprint(key) for key in operation.keys)
        given.append(f"keys={shown or 'none'}")
    return " ".join(("tenant set", operation.name, *given))


def change_rows(view: HistoryView) -> list[tuple[object, ...]]:
    """Return a row per change: version, time, author, change id, operations, comment."""
    return [
        (
            change.version,
            f"{change.accepted:%Y-%m-%d %H:%M:%S}Z",
            change.author,
            change.change_id,
            _short(change.operations),
            change.comment,
        )
        for change in view.changes
    ]


def _short(operations: tuple[str, ...]) -> str:
    shown = "; ".join(operations[:MAX_SHOWN_OPERATIONS])
    more = len(operations) - MAX_SHOWN_OPERATIONS
    return f"{shown}; and {more} more" if more > 0 else shown
