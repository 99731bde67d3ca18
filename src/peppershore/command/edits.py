"""Sending of edits; each outcome becomes a result or a failure to show."""

from __future__ import annotations

import getpass
import os
import uuid

import msgspec
from returns.result import Failure, Result, Success

from peppershore.command.client import ControlGroup, NoAnswer, ask
from peppershore.command.exit_codes import ExitCode
from peppershore.command.failures import Failed, invalid
from peppershore.command.values import format_assignments
from peppershore.connection.messages.operators import (
    EditAnswered,
    SubmitEdit,
    TreeAnswered,
    TreeQuery,
)
from peppershore.process.control.change_ids import new_change_id
from peppershore.version.editor import SECRET_SUBJECT, TENANT_SUBJECT, ZONE_SUBJECT
from peppershore.version.model import (
    ChangeTenantKeys,
    Edit,
    EditAccepted,
    EditConflict,
    EditExpired,
    EditInvalid,
    EditOutcome,
    ExpectedRevision,
    Operation,
    PromoteSecret,
    PutSecret,
    RemoveSecret,
    RemoveTenant,
    RemoveZone,
    SetTenant,
    SetZone,
    Tree,
    Version,
)
from peppershore.version.resolve import set_values
from peppershore.version.tree import revision_of

NEWEST: Version = 0


class EditRequest(msgspec.Struct, frozen=True):
    """An edit as the operator requested it.

    An empty change id is replaced by a new one when the edit is sent. ``revisions`` are
    the expected revisions of the subjects it names; those of the other subjects come
    from the tree that is read before the edit is sent.
    """

    operations: tuple[Operation, ...]
    change_id: str
    revisions: tuple[ExpectedRevision, ...] = ()
    comment: str = ""
    author: str = ""


async def read_tree(group: ControlGroup, version: Version = NEWEST) -> Result[Tree, Failed]:
    """Return the tree at a version; 0 is the newest version that a quorum confirms."""
    answer = await ask(group, TreeQuery(version), TreeAnswered)
    if isinstance(answer, Failure):
        return Failure(answer.failure().failed)
    return Success(answer.unwrap().tree)


class Submitted(msgspec.Struct, frozen=True):
    """An accepted edit; ``repeated`` is true if an earlier send was already accepted."""

    accepted: EditAccepted
    repeated: bool = False


async def submit(group: ControlGroup, request: EditRequest) -> Result[Submitted, Failed]:
    """Read the tree, then send the edit with the revisions found there as expected."""
    found = await read_tree(group)
    if isinstance(found, Failure):
        return Failure(found.failure())
    return await submit_on(group, request, found.unwrap())


async def submit_on(
    group: ControlGroup, request: EditRequest, tree: Tree
) -> Result[Submitted, Failed]:
    """Send an edit that is based on ``tree``, with its revisions as expected ones."""
    edit = Edit(
        change_id=request.change_id or new_change_id(tree.version, uuid.uuid4().hex),
        operations=request.operations,
        expected=_expected(request, tree),
        author=request.author or _login(),
        comment=request.comment,
    )
    answer = await ask(group, SubmitEdit(edit), EditAnswered)
    if isinstance(answer, Failure):
        return Failure(_unanswered(edit, answer.failure()))
    outcome = answer.unwrap().outcome
    if isinstance(outcome, EditConflict):
        return Failure(await _conflict_with_winner(group, outcome))
    return acceptance_of(outcome).map(
        lambda accepted: Submitted(accepted, accepted.version <= tree.version)
    )


def acceptance_of(outcome: EditOutcome) -> Result[EditAccepted, Failed]:
    """Return the acceptance, or a failure that describes any other outcome."""
    if isinstance(outcome, EditAccepted):
        return Success(outcome)
    if isinstance(outcome, EditInvalid):
        failed = invalid(
            "the edit would break the tree; nothing changed",
            outcome.problems,
            "mend the listed settings and send the edit again with a new change id",
        )
        return Failure(msgspec.structs.replace(failed, change_id=outcome.change_id))
    if isinstance(outcome, EditConflict):
        return Failure(_conflict(outcome))
    return Failure(_expired(outcome))


def subject_of(operation: Operation) -> str:
    """Return the subject that an operation changes, as expected revisions name it."""
    if isinstance(operation, SetZone | RemoveZone):
        return ZONE_SUBJECT + operation.name
    if isinstance(operation, PutSecret | PromoteSecret | RemoveSecret):
        return SECRET_SUBJECT + operation.name
    if isinstance(operation, SetTenant | ChangeTenantKeys | RemoveTenant):
        return TENANT_SUBJECT + operation.name
    return operation.path


def _expected(request: EditRequest, tree: Tree) -> tuple[ExpectedRevision, ...]:
    """Return the expected revision of every subject: the operator's, else the tree's."""
    subjects = dict.fromkeys(subject_of(operation) for operation in request.operations)
    given = {item.subject: item.revision for item in request.revisions}
    made = {name: revision_of(tree, name) for name in subjects}
    merged = {**made, **given}
    return tuple(ExpectedRevision(name, revision) for name, revision in merged.items())


def _conflict(outcome: EditConflict) -> Failed:
    winner = outcome.winner_change_id
    by_winner = f" by change {winner}" if winner else ""
    return Failed(
        code=ExitCode.CONFLICT,
        kind="conflict",
        message=(
            f"{outcome.subject} is at revision {outcome.actual_revision}{by_winner}, "
            f"not at {outcome.expected_revision}; nothing changed"
        ),
        next_step="look at what won (`peppershore tree show`), then send a new edit",
        change_id=outcome.change_id,
        subject=outcome.subject,
        expected_revision=outcome.expected_revision,
        actual_revision=outcome.actual_revision,
        winner_change_id=winner,
    )


async def _conflict_with_winner(group: ControlGroup, outcome: EditConflict) -> Failed:
    """Return the failure, with the node's current overrides if they can be read."""
    failed = _conflict(outcome)
    found = await read_tree(group)
    node = found.map(lambda tree: tree.nodes.get(outcome.subject)).value_or(None)
    if node is None:
        return failed
    values = set_values(node.overrides)
    shown = " ".join(format_assignments(node.overrides))
    message = f"{failed.message}; there is now: {shown or 'no override'}"
    return msgspec.structs.replace(failed, message=message, present=values)


def _expired(outcome: EditExpired) -> Failed:
    return Failed(
        code=ExitCode.EXPIRED,
        kind="expired",
        message=(
            f"outcomes before version {outcome.horizon_version} are forgotten; "
            "the edit was not run"
        ),
        next_step="look for the change with `peppershore tree history`",
        change_id=outcome.change_id,
    )


def _unanswered(edit: Edit, lost: NoAnswer) -> Failed:
    if not lost.maybe_sent:
        return msgspec.structs.replace(lost.failed, change_id=edit.change_id)
    return Failed(
        code=ExitCode.UNKNOWN,
        kind="unknown",
        message=f"the edit may or may not be accepted: {lost.failed.message}",
        next_step=f"send the same edit again with --change-id {edit.change_id}",
        change_id=edit.change_id,
    )


def _login() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return f"uid-{os.getuid()}"
