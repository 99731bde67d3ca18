"""``peppershore explain``: every effective setting and the tree node that sets it."""

from __future__ import annotations

import click
import msgspec
from returns.result import Failure, Result, Success

from peppershore.command.admin_client import fetch
from peppershore.command.edits import read_tree
from peppershore.command.failures import Failed, not_found
from peppershore.command.options import OperatorContext, operator_options
from peppershore.command.output import show_json, show_table, stop_with
from peppershore.process.configuration_page import CONFIGURATION_PATH, HeldConfiguration
from peppershore.version.model import RouteSettings, Tree, Version
from peppershore.version.path import route_path
from peppershore.version.resolve import Origin, resolve_route, resolve_service, routes_of

UNKNOWN_VALUE = "?"


class Explanation(msgspec.Struct, frozen=True):
    """The effective settings of a route in a zone at a version."""

    service: str
    zone: str
    route: str
    version: Version
    route_settings: tuple[Origin, ...]
    service_settings: tuple[Origin, ...]


class HeldSetting(msgspec.Struct, frozen=True):
    """One setting: its value and origin in the tree, and the value that a node holds."""

    name: str
    value: object
    path: str
    held: object


class Comparison(msgspec.Struct, frozen=True):
    """A route's settings in a version of the tree, and those that a node holds."""

    node: str
    tree_version: Version
    node_version: Version
    settings: tuple[HeldSetting, ...]


@click.command()
@click.argument("service")
@click.argument("zone")
@click.argument("route")
@click.option(
    "--node",
    "admin_address",
    metavar="IP:PORT",
    help="Also ask the node with this admin address what it really holds.",
)
@click.option("--version", type=click.IntRange(min=0), default=0, help="A kept version.")
@operator_options
def explain(
    context: OperatorContext,
    *,
    service: str,
    zone: str,
    route: str,
    admin_address: str | None,
    version: int,
) -> None:
    """Show each effective setting of ROUTE of SERVICE in ZONE, and its origin.

    `peppershore tenant explain` does the same for a tenant's limits and priority.
    """
    tree = context.run(read_tree(context.group, version))
    explained = explain_route(tree, service, zone, route)
    if isinstance(explained, Failure):
        stop_with(explained.failure(), context.as_json)
    explanation = explained.unwrap()
    if admin_address is None:
        _show(context, explanation)
        return
    held = context.run(_read_held(admin_address, context.group.timeout_seconds))
    _show_comparison(context, compare(explanation, held))


def explain_route(
    tree: Tree, service: str, zone: str, route: str
) -> Result[Explanation, Failed]:
    """Return the effective settings of a route; fail if it or its zone does not exist.

    A tree built from complete configurations names no zones. Every zone has the same
    settings there, so any zone name is accepted.
    """
    if tree.zones and zone not in tree.zones:
        step = "`peppershore tree show` lists the zones"
        return Failure(not_found(f"the zone {zone}", step))
    routes = routes_of(tree, service, zone)
    if route not in routes:
        known = ", ".join(routes) or "none"
        step = f"routes of {service} in {zone}: {known}"
        return Failure(not_found(f"the route {route_path(service, zone, route)}", step))
    return Success(
        Explanation(
            service=service,
            zone=zone,
            route=route,
            version=tree.version,
            route_settings=resolve_route(tree, service, zone, route).origins,
            service_settings=resolve_service(tree, service, zone).origins,
        )
    )


def compare(explanation: Explanation, held: HeldConfiguration) -> Comparison:
    """Compare the route's settings in the tree with those that a node holds."""
    found = [
        item.settings
        for item in held.routes
        if (item.service, item.route) == (explanation.service, explanation.route)
    ]
    settings = found[0] if found else None
    return Comparison(
        node=held.node,
        tree_version=explanation.version,
        node_version=held.version,
        settings=tuple(
            HeldSetting(item.name, item.value, item.path, _held_value(settings, item.name))
            for item in explanation.route_settings
        ),
    )


async def _read_held(
    address: str, timeout_seconds: float
) -> Result[HeldConfiguration, Failed]:
    body = await fetch(address, CONFIGURATION_PATH, timeout_seconds)
    if isinstance(body, Failure):
        return Failure(body.failure())
    try:
        return Success(msgspec.json.decode(body.unwrap(), type=HeldConfiguration))
    except msgspec.DecodeError:
        what = f"a node's configuration page at {address}"
        return Failure(not_found(what, "give the admin_listen address of a node"))


def _held_value(settings: RouteSettings | None, name: str) -> object:
    return UNKNOWN_VALUE if settings is None else getattr(settings, name)


def _show(context: OperatorContext, explanation: Explanation) -> None:
    if context.as_json:
        show_json(explanation)
        return
    path = route_path(explanation.service, explanation.zone, explanation.route)
    click.echo(f"{path} at version {explanation.version}")
    origins = (*explanation.route_settings, *explanation.service_settings)
    rows = [(item.name, item.value, item.path) for item in origins]
    show_table(("SETTING", "VALUE", "FROM"), rows)


def _show_comparison(context: OperatorContext, comparison: Comparison) -> None:
    if context.as_json:
        show_json(comparison)
        return
    click.echo(
        f"tree at version {comparison.tree_version}; "
        f"{comparison.node} holds version {comparison.node_version}"
    )
    rows = [(item.name, item.value, item.path, item.held) for item in comparison.settings]
    show_table(("SETTING", "VALUE", "FROM", "HELD BY THE NODE"), rows)
