"""``peppershore tenant``: the keys, limits and priority of each tenant.

Keys are read from a file or standard input, never accepted on the command line, and
only their fingerprints are shown.
"""

from __future__ import annotations

from typing import Any

import click
import msgspec
from returns.result import Failure

from peppershore.command.edit_options import (
    EditNames,
    edit_options,
    edit_request,
    run_edit,
    send_edit,
)
from peppershore.command.edits import read_tree, submit_on
from peppershore.command.failures import Failed, not_found, usage
from peppershore.command.options import OperatorContext, operator_options
from peppershore.command.output import show_json, show_table, stop_with
from peppershore.command.tenant_keys import fingerprints, read_keys
from peppershore.command.tree_output import TENANT_HEADER, tenant_rows, view_tree
from peppershore.version.model import (
    ChangeTenantKeys,
    Operation,
    RemoveTenant,
    SetTenant,
    Tree,
    Version,
)
from peppershore.version.resolve import Origin
from peppershore.version.tenants import (
    MAXIMUM_FIGURE,
    PRIORITIES,
    given_limits,
    limit_origins,
)

UNSET_NAMES = {"rate": "rate_per_second", "burst": "burst", "priority": "priority"}
"""Values of ``--unset``, and the limit that the tenant then inherits again."""

_LIMIT_TYPE = click.FloatRange(0, MAXIMUM_FIGURE)


class TenantExplanation(msgspec.Struct, frozen=True):
    """Effective limits of a tenant at a version with their origins; key fingerprints."""

    tenant: str
    version: Version
    limits: tuple[Origin, ...]
    fingerprints: tuple[str, ...]


@click.group()
def tenant() -> None:
    """Set, remove and show tenants: their limits, and keys by fingerprint."""


@tenant.command(name="set")
@click.argument("name")
@click.option(
    "--rate", type=_LIMIT_TYPE, help="Calls a second over all nodes; 0: no limit."
)
@click.option("--burst", type=_LIMIT_TYPE, help="Calls on top of the rate.")
@click.option("--priority", type=click.IntRange(*PRIORITIES), help="0 is most urgent.")
@click.option(
    "--unset",
    "unset",
    multiple=True,
    type=click.Choice(tuple(UNSET_NAMES)),
    help="Inherit it from the root again.",
)
@click.option(
    "--add-key",
    "sources",
    multiple=True,
    metavar="FILE",
    help='File with a key in each line; "-" reads standard input.',
)
@click.option(
    "--drop-key",
    "drop",
    multiple=True,
    metavar="FINGERPRINT",
    help="Take a key away; `peppershore tenant show` has the fingerprints.",
)
@edit_options
@operator_options
def set_(
    context: OperatorContext,
    names: EditNames,
    *,
    name: str,
    unset: tuple[str, ...],
    sources: tuple[str, ...],
    drop: tuple[str, ...],
    **given: float | None,
) -> None:
    """Create the tenant NAME, or change what is given of it; the rest stays.

    Limits that a tenant doesn't set are the root's (tenant_rate_per_second,
    tenant_burst, tenant_priority).  A key that is dropped is refused with 401
    at every node once the change is in force (--watch).  `peppershore tree revert`
    brings limits back, and never a key.
    """
    limits = {
        UNSET_NAMES[key]: integral_to_int(value)
        for key, value in given.items()
        if value is not None
    }
    cleared = {UNSET_NAMES[key] for key in unset}
    if both := cleared & limits.keys():
        message = f"{', '.join(sorted(both))} can't be set and unset at once"
        stop_with(usage(message, "give one of the two"), context.as_json)
    add = _value_or_exit(context, read_keys(sources))
    dropped = _value_or_exit(context, fingerprints(drop))
    tree = context.run(read_tree(context.group))
    known = tree.tenants.get(name)
    current_limits = {} if known is None else given_limits(known)
    target_limits = {
        key: held for key, held in (current_limits | limits).items() if key not in cleared
    }
    operations: list[Operation] = []
    if known is None or target_limits != current_limits or not (add or dropped):
        operations.append(SetTenant(name, **target_limits))
    if add or dropped:
        operations.append(ChangeTenantKeys(name, add, dropped))
    request = edit_request(context, names, tuple(operations))
    send_edit(context, names, submit_on(context.group, request, tree))


@tenant.command()
@click.argument("name")
@edit_options
@operator_options
def remove(context: OperatorContext, names: EditNames, name: str) -> None:
    """Remove the tenant NAME and its keys.

    Its callers get 401; without any tenant left, nobody is asked for a key.
    """
    run_edit(context, names, RemoveTenant(name))


@tenant.command()
@click.argument("name", required=False)
@click.option("--version", type=click.IntRange(min=0), default=0, help="A kept version.")
@operator_options
def show(context: OperatorContext, name: str | None, version: int) -> None:
    """Show all tenants, or NAME: what each sets itself, and its keys' fingerprints."""
    tree = context.run(read_tree(context.group, version))
    shown = view_tree(tree).tenants
    if name is not None:
        _check_name(context, tree, name)
        shown = tuple(item for item in shown if item.name == name)
    if context.as_json:
        show_json({"version": tree.version, "tenants": shown})
        return
    show_table(TENANT_HEADER, tenant_rows(shown))


@tenant.command()
@click.argument("name")
@click.option("--version", type=click.IntRange(min=0), default=0, help="A kept version.")
@operator_options
def explain(context: OperatorContext, name: str, version: int) -> None:
    """Show what holds for the tenant NAME, and whether it, the root or none sets it."""
    tree = context.run(read_tree(context.group, version))
    _check_name(context, tree, name)
    found = explain_tenant(tree, name)
    if context.as_json:
        show_json(found)
        return
    click.echo(f"tenant:{name} at version {found.version}")
    rows = [(item.name, item.value, item.path) for item in found.limits]
    show_table(("SETTING", "VALUE", "FROM"), rows)
    click.echo(f"keys: {', '.join(found.fingerprints) or 'none'}")


def explain_tenant(tree: Tree, name: str) -> TenantExplanation:
    """Return a tenant's effective limits and key fingerprints, without key material."""
    (shown,) = (item for item in view_tree(tree).tenants if item.name == name)
    return TenantExplanation(
        name, tree.version, limit_origins(tree, name), shown.fingerprints
    )


def integral_to_int(value: Any) -> Any:
    """Convert an integral float to an int, so that equal limits have the same form."""
    return int(value) if isinstance(value, float) and value.is_integer() else value


def _check_name(context: OperatorContext, tree: Tree, name: str) -> None:
    if name not in tree.tenants:
        step = "`peppershore tenant show` lists the tenants"
        stop_with(not_found(f"the tenant {name}", step), context.as_json)


def _value_or_exit(context: OperatorContext, result: Any) -> Any:
    if isinstance(result, Failure):
        failed: Failed = result.failure()
        stop_with(failed, context.as_json)
    return result.unwrap()
