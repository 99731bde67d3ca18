"""``peppershore tree``: reads and changes the tree of settings."""

from __future__ import annotations

import click
from returns.result import Failure

from peppershore.command.edit_options import EditNames, edit_options, run_edit
from peppershore.command.edits import read_tree
from peppershore.command.failures import not_found, usage
from peppershore.command.lazy_group import LazyGroup
from peppershore.command.options import OperatorContext, operator_options
from peppershore.command.output import show_json, show_table, stop_with
from peppershore.command.tree_output import (
    TENANT_HEADER,
    node_rows,
    tenant_rows,
    view_tree,
)
from peppershore.command.values import OVERRIDE_NAMES, read_assignments
from peppershore.version.model import (
    ROOT_PATH,
    Problem,
    RemoveNode,
    SetOverrides,
    UnsetOverrides,
)
from peppershore.version.path import parse_path
from peppershore.version.resolve import set_values

SHOW_STEP = "`peppershore tree show` lists every node"
version_option = click.option(
    "--version", type=click.IntRange(min=0), default=0, help="A kept version; 0: newest."
)


class TreeCommands(LazyGroup):
    """Commands of this module, and lazily those about files and versions."""

    locations = {
        name: f"peppershore.command.tree_file_commands:{name}"
        for name in ("diff", "edit", "history", "load", "revert", "save", "validate")
    }


@click.group(cls=TreeCommands)
def tree() -> None:
    """Read and change the tree of settings.

    A PATH is "/", "/SERVICE", "/SERVICE/ZONE" or "/SERVICE/ZONE/ROUTE"; ZONE
    may be "*" for every zone.  A node holds only what it overrides.
    """


@tree.command()
@click.argument("path", default=ROOT_PATH)
@version_option
@operator_options
def show(context: OperatorContext, path: str, version: int) -> None:
    """Show every override at and below PATH."""
    _check_path(context, path)
    found = context.run(read_tree(context.group, version))
    view = view_tree(found, path)
    if not view.nodes and path != ROOT_PATH:
        stop_with(not_found(f"node {path}", SHOW_STEP), context.as_json)
    if context.as_json:
        show_json(view)
        return
    click.echo(f"cluster {view.cluster}, version {view.version}")
    show_table(("PATH", "REVISION", "SETTING", "VALUE"), node_rows(view))
    if path != ROOT_PATH:
        return
    click.echo()
    zones = [(item.name, item.region, item.revision) for item in view.zones]
    show_table(("ZONE", "REGION", "REVISION"), zones)
    if view.tenants:
        click.echo()
        show_table(TENANT_HEADER, tenant_rows(view.tenants))


@tree.command()
@click.argument("path")
@click.argument("key", required=False)
@version_option
@operator_options
def get(context: OperatorContext, path: str, key: str | None, version: int) -> None:
    """Show what the node at PATH overrides, or one KEY of it."""
    _check_path(context, path)
    found = context.run(read_tree(context.group, version))
    node = found.nodes.get(path)
    if node is None:
        stop_with(not_found(f"node {path}", SHOW_STEP), context.as_json)
    values = set_values(node.overrides)
    if key is not None and key not in values:
        step = f"it is inherited or no setting; `peppershore tree get {path}` shows all"
        stop_with(not_found(f"an override of {key} at {path}", step), context.as_json)
    shown = values if key is None else {key: values[key]}
    if context.as_json:
        show_json({"path": path, "revision": node.revision, "overrides": shown})
        return
    if not shown:
        click.echo(f"{path} overrides nothing (revision {node.revision})")
        return
    show_table(("SETTING", "VALUE"), list(shown.items()))


@tree.command(name="set")
@click.argument("path")
@click.argument("assignments", nargs=-1, metavar="KEY=VALUE...")
@edit_options
@operator_options
def set_(
    context: OperatorContext, names: EditNames, path: str, assignments: tuple[str, ...]
) -> None:
    """Set overrides at PATH; the node is made if it does not exist."""
    overrides = read_assignments(assignments)
    if isinstance(overrides, Failure):
        failed = usage(
            "the assignments can't be read; nothing was sent",
            "mend the listed keys; lists take commas",
            overrides.failure(),
        )
        stop_with(failed, context.as_json)
    run_edit(context, names, SetOverrides(path, overrides.unwrap()))


@tree.command()
@click.argument("path")
@click.argument("keys", nargs=-1, required=True)
@edit_options
@operator_options
def unset(
    context: OperatorContext, names: EditNames, path: str, keys: tuple[str, ...]
) -> None:
    """Remove overrides at PATH, so that they are inherited again."""
    unknown = tuple(
        Problem(key, "is no setting", "one of " + ", ".join(OVERRIDE_NAMES))
        for key in keys
        if key not in OVERRIDE_NAMES
    )
    if unknown:
        failed = usage(
            "the keys can't be read; nothing was sent", "mend the listed keys", unknown
        )
        stop_with(failed, context.as_json)
    run_edit(context, names, UnsetOverrides(path, keys))


@tree.command()
@click.argument("path")
@edit_options
@operator_options
def remove(context: OperatorContext, names: EditNames, path: str) -> None:
    """Remove the node at PATH and everything below it."""
    run_edit(context, names, RemoveNode(path))


def _check_path(context: OperatorContext, path: str) -> None:
    """Exit with a usage error if the path is malformed, before any request is sent."""
    parsed = parse_path(path)
    if isinstance(parsed, Failure):
        failed = usage("the path can't be read", SHOW_STEP, (parsed.failure(),))
        stop_with(failed, context.as_json)
