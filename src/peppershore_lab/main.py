"""The command line of the lab: ``peppershore-lab``."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import TypeVar

import click
import msgspec

from peppershore_lab.calls.caller import run_caller
from peppershore_lab.calls.plan import CallerPlan
from peppershore_lab.demo import SMALL_NETWORK, run_demo
from peppershore_lab.demo_output import show_demo
from peppershore_lab.experiments.commands import compare, report, run
from peppershore_lab.experiments.plain_proxy import PlainProxyPlan, run_plain_proxy
from peppershore_lab.fleet.deployment import REFUND_NETWORK
from peppershore_lab.links.emulator import run_emulator
from peppershore_lab.links.model import EmulatorSettings
from peppershore_lab.run import run_to_end
from peppershore_lab.soak.command import soak
from peppershore_lab.standin.backend import Backend, BackendIdentity, run_backend
from peppershore_lab.standin.behaviour import Behaviour

Kind = TypeVar("Kind")
FILE = click.Path(path_type=Path)
EXISTING_FILE = click.Path(path_type=Path, exists=True, dir_okay=False)


@click.group()
def main() -> None:
    """Fleets of real processes, stand-ins, faults and experiments for peppershore."""


@main.command()
@click.option("--service", required=True, help="The service it belongs to.")
@click.option("--backend", required=True, help="Its own name.")
@click.option("--listen", required=True, metavar="IP:PORT")
@click.option("--journal", type=FILE, required=True, help="Journal of runs (JSON lines).")
@click.option("--behaviour", type=EXISTING_FILE, help="Behaviour as a JSON file.")
@click.option("--seed", type=int, default=1, show_default=True)
def backend(
    *,
    service: str,
    backend: str,
    listen: str,
    journal: Path,
    behaviour: Path | None,
    seed: int,
) -> None:
    """Run a stand-in back end until SIGTERM."""
    host, _, port = listen.rpartition(":")
    chosen = _read_json(behaviour, Behaviour) if behaviour is not None else Behaviour()
    instance = Backend(BackendIdentity(service, backend), chosen, journal, seed)
    asyncio.run(run_backend(instance, host, int(port)))


@main.command()
@click.option("--plan", type=EXISTING_FILE, required=True, help="A plan as a JSON file.")
def caller(plan: Path) -> None:
    """Send the calls of a plan; prints the summary as one JSON object."""
    summary = asyncio.run(run_caller(_read_json(plan, CallerPlan)))
    click.echo(msgspec.json.encode(summary).decode())


@main.command(name="plain-proxy")
@click.option("--plan", type=EXISTING_FILE, required=True, help="A plan as a JSON file.")
def plain_proxy(plan: Path) -> None:
    """Run the call path's baseline until SIGTERM."""
    asyncio.run(run_plain_proxy(_read_json(plan, PlainProxyPlan)))


@main.command(name="link-emulator")
@click.option("--settings", type=EXISTING_FILE, required=True, help="Links as JSON.")
def link_emulator(settings: Path) -> None:
    """Carry emulated links until SIGTERM."""
    asyncio.run(run_emulator(_read_json(settings, EmulatorSettings)))


@main.command()
@click.option("--json", "as_json", is_flag=True, help="One JSON object last.")
@click.option("--small", is_flag=True, help="One replica, one relay, two back ends.")
def demo(as_json: bool, small: bool) -> None:
    """Run a small fleet, watch one edit take effect, audit all calls.

    Exits with 0 only if every promise held.
    """
    deployment = SMALL_NETWORK if small else REFUND_NETWORK
    result = run_to_end(run_demo(deployment, lambda line: click.echo(line, err=True)))
    if as_json:
        click.echo(msgspec.json.encode(result).decode())
    else:
        show_demo(result)
    sys.exit(0 if result.clean else 1)


for _command in (run, report, compare, soak):
    main.add_command(_command)


def _read_json(path: Path, kind: type[Kind]) -> Kind:
    try:
        return msgspec.json.decode(path.read_bytes(), type=kind)
    except msgspec.DecodeError as problem:
        raise click.BadParameter(f"{path}: {problem}") from problem
