"""``peppershore rollout``: rolls out a new version of a service, or rolls it back."""

from __future__ import annotations

import asyncio

import click
import msgspec
from returns.result import Failure

from peppershore.command.address_options import address_options
from peppershore.command.admin_client import fetch
from peppershore.command.failures import not_found
from peppershore.command.output import show_json, show_table, stop_with
from peppershore.process.control.rollout_orders import RolloutOrder
from peppershore.process.hub.rollout_api import (
    ABORT,
    ROOT,
    STATUS,
    RouteFigures,
    StatusBody,
)

HEADER = ("ROUTE", "NEW", "FAILED", "OLD", "FAILED", "AGAINST IT")
PERCENT = 100.0
ADDRESSES = "A hub's api_listen"


@click.group()
def rollout() -> None:
    """Roll out a new version of a service's software by share, and watch it."""


@rollout.command()
@click.argument("service")
@click.argument("version")
@click.option(
    "--within",
    "seconds",
    type=click.FloatRange(min=0.1),
    required=True,
    help="Seconds within which all calls are to go to the new version.",
)
@address_options(ADDRESSES)
def start(
    *,
    service: str,
    version: str,
    seconds: float,
    address: str,
    timeout: float,
    as_json: bool,
) -> None:
    """Move the calls of SERVICE to back ends that run VERSION.

    They have to be started in addition to the old ones.  The same order again is
    acknowledged again.
    """
    order = RolloutOrder(service, version, seconds)
    _fetch_or_exit(
        address,
        f"/{ROOT}",
        "POST",
        timeout,
        as_json=as_json,
        body=msgspec.json.encode(order),
    )
    if as_json:
        show_json(order)
    else:
        click.echo(f"{service} moves to {version} within {seconds:g} s")


@rollout.command()
@click.argument("service")
@address_options(ADDRESSES)
def status(service: str, address: str, timeout: float, as_json: bool) -> None:
    """Show how far the latest roll-out of SERVICE is, and what it waits for.

    The leader knows all metrics; other hubs know those of their own zone.
    """
    found = _fetch_or_exit(
        address, f"/{ROOT}/{service}/{STATUS}", "GET", timeout, as_json=as_json
    )
    shown = msgspec.json.decode(found, type=StatusBody)
    if as_json:
        show_json(shown)
        return
    click.echo(
        f"{service} to {shown.target_version}: {shown.state}, "
        f"{shown.share * PERCENT:.1f}% of the calls, "
        f"{shown.elapsed_seconds:.1f} of {shown.duration_seconds:.1f} s"
    )
    click.echo(f"{shown.calls} of {shown.all_calls} calls went to it")
    show_table(HEADER, [_row(each) for each in shown.routes])
    if shown.waits_for:
        click.echo(f"waits: {shown.waits_for}")


@rollout.command()
@click.argument("service")
@address_options(ADDRESSES)
def abort(service: str, address: str, timeout: float, as_json: bool) -> None:
    """Roll back the roll-out of SERVICE: nothing more goes to the new version."""
    _fetch_or_exit(address, f"/{ROOT}/{service}/{ABORT}", "POST", timeout, as_json=as_json)
    if as_json:
        show_json({"service": service})
    else:
        click.echo(f"{service} goes back to the version before")


def _fetch_or_exit(
    address: str,
    path: str,
    method: str,
    timeout: float,
    *,
    as_json: bool,
    body: bytes = b"",
) -> bytes:
    missing = not_found(f"{path} at {address}", "there was no roll-out of that service")
    fetched = asyncio.run(fetch(address, path, timeout, method, missing, content=body))
    if isinstance(fetched, Failure):
        stop_with(fetched.failure(), as_json)
    return fetched.unwrap()


def _row(route: RouteFigures) -> tuple[str, ...]:
    return (
        route.route or "all",
        str(route.new.calls),
        str(route.new.failed),
        str(route.old.calls),
        str(route.old.failed),
        route.reason or "-",
    )
