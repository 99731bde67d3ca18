"""``peppershore tree``: commands for files, versions and edits of many operations."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click
import msgspec
from msgspec import UNSET
from returns.result import Failure, Result, Success

from peppershore.command.client import ControlGroup
from peppershore.command.edit_file import EditFile, parse_edit_file, read_text
from peppershore.command.edit_options import (
    EditNames,
    edit_options,
    edit_request,
    run_edit,
    send_edit,
    show_accepted,
)
from peppershore.command.edits import Submitted, read_tree, submit_on
from peppershore.command.failures import Failed, invalid, usage
from peppershore.command.history import change_rows, find_change, read_history
from peppershore.command.options import OperatorContext, operator_options
from peppershore.command.output import show_json, show_table, stop_with
from peppershore.process.control.redaction import HIDDEN_MATERIAL
from peppershore.version.difference import Difference, compare_trees
from peppershore.version.model import Operation, PutSecret, SetTenant, Tree, Version
from peppershore.version.revert import revert_operations
from peppershore.version.tenants import is_hidden
from peppershore.version.tree_file import tree_from_toml, tree_to_toml
from peppershore.version.warnings import warn_of

DEFAULT_HISTORY = 20
path_argument = click.argument("path", type=click.Path(path_type=Path))


class TwoTrees(msgspec.Struct, frozen=True):
    """Two trees to be compared."""

    before: Tree
    after: Tree


@click.command()
@click.argument("before", type=click.IntRange(min=1))
@click.argument("after", type=click.IntRange(min=0), default=0)
@operator_options
def diff(context: OperatorContext, before: int, after: int) -> None:
    """Show what differs between two kept versions; AFTER is the newest if absent."""
    trees = context.run(_read_two(context.group, before, after))
    differences = compare_trees(trees.before, trees.after)
    _show_differences(context, trees, differences)


@click.command()
@click.option(
    "--after",
    type=click.IntRange(min=0),
    default=0,
    help="Only changes after a version.",
)
@click.option(
    "--limit",
    type=click.IntRange(min=1),
    default=DEFAULT_HISTORY,
    show_default=True,
    help="At most so many changes.",
)
@operator_options
def history(context: OperatorContext, after: int, limit: int) -> None:
    """List the newest accepted changes, oldest first."""
    view = context.run(read_history(context.group, after, limit))
    if context.as_json:
        show_json(view)
        return
    header = ("VERSION", "ACCEPTED", "AUTHOR", "CHANGE ID", "OPERATIONS", "COMMENT")
    show_table(header, change_rows(view))
    click.echo(f"the oldest version kept is {view.first_version}")


@click.command()
@path_argument
@click.option("--json", "as_json", is_flag=True, help="One JSON object as output.")
def validate(path: Path, as_json: bool) -> None:
    """Check the tree in the TOML file PATH by itself; nothing is sent.

    Warns of routes that serve nobody.
    Secrets that the file names and does not hold are taken as missing; `tree
    load --dry-run` checks the file against the cluster.
    """
    text = _value_or_exit(read_text(path), as_json)
    found = tree_from_toml(text)
    if isinstance(found, Failure):
        failed = invalid(f"{path} holds no valid tree", found.failure(), "mend the file")
        stop_with(failed, as_json)
    tree = found.unwrap()
    warnings = warn_of(tree)
    if as_json:
        show_json({"valid": True, "nodes": len(tree.nodes), "warnings": warnings})
        return
    for warning in warnings:
        advice = f"{warning.subject} {warning.reason}; set {warning.allowed}"
        click.echo(f"warning: {advice}", err=True)
    click.echo(f"{path}: a valid tree of {len(tree.nodes)} nodes")


@click.command()
@path_argument
@click.option("--dry-run", is_flag=True, help="Show what would change; send nothing.")
@edit_options
@operator_options
def load(context: OperatorContext, names: EditNames, path: Path, dry_run: bool) -> None:
    """Make the cluster's tree equal to the TOML file PATH, as one edit.

    A file without a table of secrets leaves the secrets as they are; tenants stay.
    """
    text = _value_or_exit(read_text(path), context.as_json)
    current = context.run(read_tree(context.group))
    target = _value_or_exit(_read_target_tree(path, text, current), context.as_json)
    _apply_difference(context, names, TwoTrees(current, target), dry_run)


@click.command()
@click.argument("path", type=click.Path(path_type=Path), required=False)
@click.option("--version", type=click.IntRange(min=0), default=0, help="A kept version.")
@operator_options
def save(context: OperatorContext, path: Path | None, version: int) -> None:
    """Write the tree as TOML to PATH, or to standard output; without secrets."""
    found = context.run(read_tree(context.group, version))
    text = tree_to_toml(found)
    if path is None and context.as_json:
        show_json({"version": found.version, "toml": text})
        return
    if path is None:
        click.echo(text, nl=False)
        return
    try:
        path.write_text(text, encoding="utf-8")
    except OSError as problem:
        message = f"{path} can't be written: {problem.strerror}"
        stop_with(usage(message, "give a writable path"), context.as_json)
    if context.as_json:
        show_json({"version": found.version, "path": str(path)})
        return
    click.echo(f"wrote version {found.version} to {path}")


@click.command()
@click.argument("version", type=click.IntRange(min=1))
@click.option("--dry-run", is_flag=True, help="Show what would change; send nothing.")
@edit_options
@operator_options
def revert(context: OperatorContext, names: EditNames, version: int, dry_run: bool) -> None:
    """Restore the content of a kept VERSION of the tree, as a new version.

    Secrets that exist now keep their generations.  Tenants get the limits of that
    version and keep the keys they have now.  A removed tenant can't be restored
    without its keys, and then nothing changes.
    """
    trees = context.run(_read_two(context.group, version, 0))
    target = TwoTrees(before=trees.after, after=trees.before)
    comment = names.comment or f"revert to version {version}"
    named = msgspec.structs.replace(names, comment=comment)
    _apply_difference(context, named, target, dry_run)


@click.command()
@path_argument
@edit_options
@operator_options
def edit(context: OperatorContext, names: EditNames, path: Path) -> None:
    """Send the operations in the TOML file PATH as one atomic edit.

    \b
    comment = "why"
    [[operations]]
    type = "set"                # set, unset, remove, set_zone, remove_zone,
    path = "/kassa/*/pay"       # remove_secret, set_tenant, remove_tenant
    [operations.overrides]
    timeout_milliseconds = 3000
    [[operations]]
    type = "unset"
    path = "/kassa"
    names = ["slots"]
    """
    text = _value_or_exit(read_text(path), context.as_json)
    file: EditFile = _value_or_exit(parse_edit_file(text), context.as_json)
    named = msgspec.structs.replace(names, comment=names.comment or file.comment)
    run_edit(context, named, *file.operations)


async def _read_two(
    group: ControlGroup, before: Version, after: Version
) -> Result[TwoTrees, Failed]:
    first = await read_tree(group, before)
    if isinstance(first, Failure):
        return Failure(first.failure())
    second = await read_tree(group, after)
    if isinstance(second, Failure):
        return Failure(second.failure())
    return Success(TwoTrees(first.unwrap(), second.unwrap()))


def _read_target_tree(path: Path, text: str, current: Tree) -> Result[Tree, Failed]:
    found = tree_from_toml(text, current.secrets, current.tenants)
    if isinstance(found, Failure):
        step = "mend the file; nothing was sent"
        return Failure(invalid(f"{path} holds no valid tree", found.failure(), step))
    target = found.unwrap()
    if target.cluster != current.cluster:
        message = f"{path} is of cluster {target.cluster!r}, not {current.cluster!r}"
        step = "check --replica, or change the cluster's name in the file"
        return Failure(usage(message, step))
    return Success(target)


def _apply_difference(
    context: OperatorContext, names: EditNames, trees: TwoTrees, dry_run: bool
) -> None:
    """Send one edit that turns ``trees.before`` into ``trees.after``.

    With ``dry_run``, or without a difference, only show the differences. Without a
    difference but with the change id of an accepted edit, show that edit's acceptance.
    """
    differences = compare_trees(trees.before, trees.after)
    operations = revert_operations(trees.before, trees.after)
    if not operations and names.change_id and not dry_run:
        first = context.run(find_change(context.group, names.change_id))
        if first is not None:
            show_accepted(context, Submitted(first, repeated=True))
            return
    if dry_run or not operations:
        _show_differences(context, trees, differences)
        return
    _require_material(context, operations)
    request = edit_request(context, names, operations)
    send_edit(context, names, submit_on(context.group, request, trees.before))


def _require_material(context: OperatorContext, operations: tuple[Operation, ...]) -> None:
    """Exit with a failure if an operation needs key material that was removed.

    Replicas never return material to operators, so it can't be restored from here.
    """
    secrets = _secrets_without_material(operations)
    if secrets:
        message = f"the material of {secrets} is no longer in the tree and can't come back"
        step = "create it again with `peppershore secret put`, then repeat"
        stop_with(invalid(message, (), step), context.as_json)
    tenants = _tenants_without_keys(operations)
    if tenants:
        message = f"the keys of {tenants} are no longer in the tree and can't come back"
        step = "give it keys with `peppershore tenant set NAME --add-key`, then repeat"
        stop_with(invalid(message, (), step), context.as_json)


def _secrets_without_material(operations: tuple[Operation, ...]) -> str:
    return ", ".join(
        operation.name
        for operation in operations
        if isinstance(operation, PutSecret) and operation.material == HIDDEN_MATERIAL
    )


def _tenants_without_keys(operations: tuple[Operation, ...]) -> str:
    return ", ".join(
        operation.name
        for operation in operations
        if isinstance(operation, SetTenant)
        and operation.keys is not UNSET
        and any(is_hidden(key) for key in operation.keys)
    )


def _show_differences(
    context: OperatorContext, trees: TwoTrees, differences: tuple[Difference, ...]
) -> None:
    if context.as_json:
        show_json(
            {
                "before": trees.before.version,
                "after": trees.after.version,
                "differences": differences,
            }
        )
        return
    if not differences:
        click.echo("no differences")
        return
    rows = [
        (item.subject, item.kind, item.setting, item.before, item.after)
        for item in differences
    ]
    show_table(("SUBJECT", "CHANGE", "SETTING", "BEFORE", "AFTER"), rows)


def _value_or_exit(result: Result[Any, Failed], as_json: bool) -> Any:
    if isinstance(result, Failure):
        stop_with(result.failure(), as_json)
    return result.unwrap()
