"""``peppershore quarantine``: requests that crash back ends, and their release."""

from __future__ import annotations

import asyncio
from typing import TypeVar

import click
import msgspec
from returns.result import Failure

from peppershore.command.address_options import address_options
from peppershore.command.admin_client import fetch
from peppershore.command.failures import not_found
from peppershore.command.output import show_json, show_table, stop_with
from peppershore.process.quarantine.api import (
    RELEASE,
    ROOT,
    QuarantinedRequest,
    QuarantineList,
    ReleasedRequest,
)

HEADER = ("FINGERPRINT", "STANDING", "ENDS", "LAST END", "HELD FOR", "LIVES")
MILLISECONDS = 1_000
ADDRESSES = "A hub's api_listen, or the admin_listen of a relay"
Answer = TypeVar("Answer")


@click.group()
def quarantine() -> None:
    """List the requests that crash the back ends that run them, and release one."""


@quarantine.command(name="list")
@address_options(ADDRESSES)
def list_(address: str, timeout: float, as_json: bool) -> None:
    """List requests under which two or more back ends crashed.

    A suspect runs alone; one that is held is refused as not run.  LIVES are the
    incarnations of the back ends that crashed; the log lines `back_end_ended` and
    `call_story` name the fingerprint.
    """
    listed = _fetch_or_exit(
        address, f"/{ROOT}", "GET", QuarantineList, timeout, as_json=as_json
    )
    if as_json:
        show_json(listed)
        return
    show_table(HEADER, [_row(each) for each in listed.requests])


@quarantine.command()
@click.argument("fingerprint")
@address_options(ADDRESSES)
def release(fingerprint: str, address: str, timeout: float, as_json: bool) -> None:
    """Let the request FINGERPRINT run again, everywhere, as if no back end had crashed."""
    path = f"/{ROOT}/{fingerprint}/{RELEASE}"
    released = _fetch_or_exit(
        address, path, "POST", ReleasedRequest, timeout, as_json=as_json
    )
    if as_json:
        show_json(released)
    else:
        click.echo(f"{released.fingerprint} may run again")


def _fetch_or_exit(
    address: str,
    path: str,
    method: str,
    kind: type[Answer],
    timeout: float,
    *,
    as_json: bool,
) -> Answer:
    missing = not_found(
        f"{path} at {address}", "see `peppershore quarantine list` at a hub or relay"
    )
    fetched = asyncio.run(fetch(address, path, timeout, method, missing))
    if isinstance(fetched, Failure):
        stop_with(fetched.failure(), as_json)
    return msgspec.json.decode(fetched.unwrap(), type=kind)


def _row(request: QuarantinedRequest) -> tuple[str, ...]:
    return (
        request.fingerprint,
        request.standing,
        str(len(request.lives)),
        f"{request.last_end_milliseconds_ago / MILLISECONDS:.1f} s ago",
        f"{request.hold_milliseconds / MILLISECONDS:.0f} s",
        ",".join(request.lives),
    )
