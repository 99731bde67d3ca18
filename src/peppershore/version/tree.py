"""Edits of the tree: either all operations of an edit are applied, or none."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from peppershore.version.editor import (
    SECRET_SUBJECT,
    TENANT_SUBJECT,
    ZONE_SUBJECT,
    AppliedEdit,
    Editor,
)
from peppershore.version.model import (
    ROOT_PATH,
    Edit,
    EditConflict,
    EditInvalid,
    ExpectedRevision,
    Overrides,
    Problem,
    Secret,
    Tenant,
    Tree,
    TreeNode,
    Version,
    Zone,
)
from peppershore.version.path import parse_path
from peppershore.version.validation import Changes, validate_changes

ABSENT_REVISION: Version = 0
MAXIMUM_OPERATIONS = 50_000
MAXIMUM_TEXT_CHARACTERS = 4_096
RELEASE_SUBJECT = "release"
"""Subject of a conflict about the release number of a complete configuration."""

__all__ = [
    "AppliedEdit",
    "apply_edit",
    "empty_tree",
    "replay_edit",
    "revision_of",
]


def empty_tree(cluster: str) -> Tree:
    """Return the tree of a new cluster: a root without overrides, at version 0."""
    root = TreeNode(Overrides())
    return Tree(cluster=cluster, version=0, zones={}, nodes={ROOT_PATH: root}, secrets={})


def apply_edit(
    tree: Tree, edit: Edit, version: Version
) -> Result[AppliedEdit, EditInvalid | EditConflict]:
    """Return the valid tree after an edit at ``version``, or why the edit is refused.

    Expected revisions are compared before the operations are applied, so that an
    operator whose edit lost a race is told of the conflicting edit, and not of problems
    that the other edit caused. Raise AssertionError if ``version`` is not higher than
    the tree's.
    """
    if version <= tree.version:
        raise AssertionError(f"version {version} does not follow {tree.version}")
    problems = _check_edit(edit)
    if problems:
        return Failure(EditInvalid(edit.change_id, tuple(problems)))
    conflict = _find_release_conflict(tree, edit) or _find_conflict(tree, edit)
    if conflict is not None:
        return Failure(conflict)
    applied, problems = _apply_operations(tree, edit, version)
    if not problems:
        problems += validate_changes(applied.tree, _changes(applied))
    if problems:
        return Failure(EditInvalid(edit.change_id, tuple(problems)))
    return Success(applied)


def replay_edit(tree: Tree, edit: Edit, version: Version) -> AppliedEdit:
    """Apply an edit that was accepted and that a quorum committed to the log.

    Raise AssertionError if it can't be applied, which only a corrupt log can cause.
    """
    applied, problems = _apply_operations(tree, edit, version)
    if problems:
        raise AssertionError(
            f"accepted edit {edit.change_id} cannot be applied: {problems[0]}"
        )
    return applied


def revision_of(tree: Tree, subject: str) -> Version:
    """Return the revision of a path, secret, zone or tenant; 0 if it is absent."""
    found = _find_subject(tree, subject)
    return ABSENT_REVISION if found is None else found.revision


def _find_subject(tree: Tree, subject: str) -> TreeNode | Secret | Zone | Tenant | None:
    if subject.startswith(SECRET_SUBJECT):
        return tree.secrets.get(subject.removeprefix(SECRET_SUBJECT))
    if subject.startswith(ZONE_SUBJECT):
        return tree.zones.get(subject.removeprefix(ZONE_SUBJECT))
    if subject.startswith(TENANT_SUBJECT):
        return tree.tenants.get(subject.removeprefix(TENANT_SUBJECT))
    return tree.nodes.get(subject)


def _check_edit(edit: Edit) -> list[Problem]:
    problems = []
    minimum = 0 if edit.release else 1
    if not minimum <= len(edit.operations) <= MAXIMUM_OPERATIONS:
        reason = f"the edit has {len(edit.operations)} operations"
        problems.append(Problem("edit", reason, f"{minimum} to {MAXIMUM_OPERATIONS}"))
    for name, text in (
        ("change id", edit.change_id),
        ("author", edit.author),
        ("comment", edit.comment),
    ):
        if len(text) > MAXIMUM_TEXT_CHARACTERS:
            reason = f"the {name} has {len(text)} characters"
            problems.append(Problem("edit", reason, f"at most {MAXIMUM_TEXT_CHARACTERS}"))
    if not edit.change_id:
        problems.append(Problem("edit", "the change id is empty", "a unique text"))
    problems += _check_expected(edit.expected)
    return problems


def _check_expected(expected: tuple[ExpectedRevision, ...]) -> list[Problem]:
    problems = []
    for each in expected:
        if each.subject.startswith((SECRET_SUBJECT, ZONE_SUBJECT, TENANT_SUBJECT)):
            continue
        problem = parse_path(each.subject).swap().value_or(None)
        if problem is not None:
            problems.append(problem)
    return problems


def _find_release_conflict(tree: Tree, edit: Edit) -> EditConflict | None:
    """Return the conflict of a complete configuration; None if it is acceptable.

    Its base must be the release in force, and its number must be higher.
    """
    if not edit.release:
        return None
    if edit.base_release == tree.release and edit.release > tree.release:
        return None
    return EditConflict(
        change_id=edit.change_id,
        subject=RELEASE_SUBJECT,
        expected_revision=edit.base_release,
        actual_revision=tree.release,
    )


def _find_conflict(tree: Tree, edit: Edit) -> EditConflict | None:
    for each in edit.expected:
        found = _find_subject(tree, each.subject)
        actual = ABSENT_REVISION if found is None else found.revision
        exists = found is not None and each.subject != ROOT_PATH
        must_not_exist = each.revision == ABSENT_REVISION
        if actual != each.revision or (must_not_exist and exists):
            return EditConflict(
                change_id=edit.change_id,
                subject=each.subject,
                expected_revision=each.revision,
                actual_revision=actual,
                winner_change_id="" if found is None else found.change_id,
            )
    return None


def _changes(applied: AppliedEdit) -> Changes:
    return Changes(
        paths=applied.changed_paths,
        secrets=applied.changed_secrets,
        zones=applied.changed_zones,
        tenants=applied.changed_tenants,
    )


def _apply_operations(
    tree: Tree, edit: Edit, version: Version
) -> tuple[AppliedEdit, list[Problem]]:
    editor = Editor(tree, edit.change_id, version, edit.release)
    for operation in edit.operations:
        editor.apply(operation)
    return editor.finish(), editor.problems
