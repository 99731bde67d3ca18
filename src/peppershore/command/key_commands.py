"""``peppershore keys``: certificates for the mutual TLS of a small site."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import click
from returns.result import Failure, Result, Success

from peppershore.command.failures import Failed, usage
from peppershore.command.output import show_json, show_table, stop_with
from peppershore.connection import certificates
from peppershore.connection.certificates import Authority, KeyProblem
from peppershore.connection.identity import SCHEME, PeerIdentity, parse_identity

Value = TypeVar("Value")

DEFAULT_DAYS = 90
MAX_DAYS = 3_650

folder_option = click.option(
    "--folder",
    type=click.Path(path_type=Path, file_okay=False),
    default=Path("keys"),
    show_default=True,
    help="Folder of the key files.",
)
days_option = click.option(
    "--days",
    type=click.IntRange(1, MAX_DAYS),
    default=DEFAULT_DAYS,
    show_default=True,
    help="How long the certificates are valid.",
)
json_option = click.option("--json", "as_json", is_flag=True, help="One JSON object.")


@click.group()
def keys() -> None:
    """Make, renew and list the certificates of mutual TLS between processes.

    Processes read changed files by themselves within seconds; no restart is
    needed.  Keep authority.key off the machines that run processes.
    """


@keys.command()
@click.argument("cluster")
@click.argument("identities", nargs=-1, required=True, metavar="ROLE/NAME...")
@folder_option
@days_option
@json_option
def make(
    cluster: str, identities: tuple[str, ...], folder: Path, days: int, as_json: bool
) -> None:
    """Make a certificate for each process of CLUSTER; the authority if there is none.

    ROLE/NAME is control/NAME, relay/NAME, claims/NAME, operator/NAME or
    node/SERVICE/ZONE/NAME.
    """
    wanted = _value_or_exit(read_identities(cluster, identities), as_json)
    authority = _value_or_exit(_authority_of(folder), as_json)
    made = [
        str(
            _value_or_exit(
                _as_usage_failure(certificates.issue(folder, authority, identity, days)),
                as_json,
            )
        )
        for identity in wanted
    ]
    _show_files(made, as_json)


@keys.command()
@click.argument("names", nargs=-1)
@click.option("--all", "everyone", is_flag=True, help="Renew every process of the folder.")
@folder_option
@days_option
@json_option
def rotate(
    names: tuple[str, ...], everyone: bool, folder: Path, days: int, as_json: bool
) -> None:
    """Renew the key and certificate of each process NAME, with the same identity."""
    if everyone == bool(names):
        step = "give the names of processes, or --all"
        stop_with(usage("nothing to renew is named", step), as_json)
    chosen = names or tuple(item.name for item in certificates.list_issued(folder))
    authority = _value_or_exit(
        _as_usage_failure(certificates.load_authority(folder)), as_json
    )
    made = [
        str(
            _value_or_exit(
                _as_usage_failure(certificates.reissue(folder, authority, name, days)),
                as_json,
            )
        )
        for name in chosen
    ]
    _show_files(made, as_json)


@keys.command()
@folder_option
@json_option
def rotate_authority(folder: Path, as_json: bool) -> None:
    """Make a new authority beside the old one, which stays trusted.

    Copy the new authority.crt to every machine, then run `keys rotate --all` and copy
    the new files, and finally run `keys retire-authority`.
    """
    _value_or_exit(_as_usage_failure(certificates.load_authority(folder)), as_json)
    _value_or_exit(_as_usage_failure(certificates.make_authority(folder)), as_json)
    _show_files([str(folder / certificates.AUTHORITY_CERTIFICATE)], as_json)


@keys.command()
@folder_option
@json_option
def retire_authority(folder: Path, as_json: bool) -> None:
    """Trust only the newest authority.

    A running process trusts the old one until its next restart.
    """
    dropped = _value_or_exit(
        _as_usage_failure(certificates.retire_authorities(folder)), as_json
    )
    if as_json:
        show_json({"retired": dropped})
        return
    click.echo(f"{dropped} old authorities are no longer trusted")


@keys.command(name="list")
@folder_option
@json_option
def list_(folder: Path, as_json: bool) -> None:
    """List the processes' certificates and when they end."""
    issued = certificates.list_issued(folder)
    if as_json:
        show_json({"certificates": issued})
        return
    rows = [
        (item.name, item.identity, f"{item.expires:%Y-%m-%d %H:%M}Z") for item in issued
    ]
    show_table(("NAME", "IDENTITY", "ENDS"), rows)


def read_identities(
    cluster: str, texts: tuple[str, ...]
) -> Result[tuple[PeerIdentity, ...], Failed]:
    """Parse ROLE/NAME arguments; each name must be a plain file name."""
    found: list[PeerIdentity] = []
    for text in texts:
        identity = parse_identity(f"{SCHEME}{cluster}/{text}")
        if isinstance(identity, Failure):
            reason = identity.failure().reason
            step = "use ROLE/NAME, or node/SERVICE/ZONE/NAME"
            return Failure(usage(f"{text!r} {reason}", step))
        name = identity.unwrap().name
        if "/" in name or name.startswith("."):
            return Failure(usage(f"{name!r} can't name a file", "use a plain name"))
        found.append(identity.unwrap())
    return Success(tuple(found))


def _authority_of(folder: Path) -> Result[Authority, Failed]:
    if (folder / certificates.AUTHORITY_KEY).exists():
        return _as_usage_failure(certificates.load_authority(folder))
    return _as_usage_failure(certificates.make_authority(folder))


def _as_usage_failure(result: Result[Value, KeyProblem]) -> Result[Value, Failed]:
    step = "check the folder and its files; `peppershore keys list` shows them"
    return result.alt(lambda problem: usage(problem.reason, step))


def _value_or_exit(result: Result[Value, Failed], as_json: bool) -> Value:
    if isinstance(result, Failure):
        stop_with(result.failure(), as_json)
    return result.unwrap()


def _show_files(paths: list[str], as_json: bool) -> None:
    if as_json:
        show_json({"files": paths})
        return
    for path in paths:
        click.echo(f"wrote {path}")
