"""``peppershore replica recover``: makes a new group from the store of one replica."""

from __future__ import annotations

from pathlib import Path

import click
from returns.result import Failure

from peppershore.command.exit_codes import ExitCode
from peppershore.command.failures import Failed
from peppershore.command.output import show_json, stop_with
from peppershore.command.settings_output import settings_failed
from peppershore.process.control.recovery import (
    NothingToRecover,
    Recovered,
    RecoveryRefused,
    recover_store,
)
from peppershore.process.settings import ControlSettings
from peppershore.process.settings_loader import load_settings
from peppershore.process.storage.errors import StoreRefused

WARNING = """A majority of the replicas must be lost for good.
Edits that only they hold are lost: choose the surviving store with the newest version.
Make {replica} a group of its own?"""


@click.command()
@click.option(
    "--settings",
    "settings_path",
    type=click.Path(path_type=Path),
    required=True,
    help="The settings file of the stopped replica; it lists itself in [[replicas]].",
)
@click.option("--yes", is_flag=True, help="Do not ask.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object as output.")
def recover(settings_path: Path, yes: bool, as_json: bool) -> None:
    """Make a stopped replica the only member of a new group.

    Only for the loss of a majority.  Versions jump ahead, so that no proxy goes
    back; the other machines then join with blank disks.

    Exit codes: 0 recovered, 3 settings or store refused, nothing changed.
    """
    loaded = load_settings(ControlSettings, settings_path, {})
    if isinstance(loaded, Failure):
        stop_with(settings_failed("control", settings_path, loaded.failure()), as_json)
    settings: ControlSettings = loaded.unwrap()
    if not yes:
        click.confirm(WARNING.format(replica=settings.replica), abort=True, err=True)
    done = recover_store(settings)
    if isinstance(done, Failure):
        stop_with(_failed(done.failure()), as_json)
    _show(done.unwrap(), as_json)


def _show(recovered: Recovered, as_json: bool) -> None:
    if as_json:
        show_json({"recovered": recovered})
        return
    click.echo(
        f"{recovered.replica} is a group of its own: it keeps everything up to version "
        f"{recovered.kept_version}, which now counts as {recovered.version}"
    )
    click.echo("next: start it, then add the other replicas, with blank disks, one by one")


def _failed(refused: RecoveryRefused) -> Failed:
    if isinstance(refused, StoreRefused):
        message = f"the store {refused.path} is refused ({refused.refusal.value})"
        detail = refused.detail
    elif isinstance(refused, NothingToRecover):
        message, detail = "there is nothing to recover", refused.reason
    else:
        message, detail = "the disk refuses the write", refused.reason
    return Failed(
        code=ExitCode.INVALID,
        kind="recovery",
        message=f"{message}: {detail}",
        next_step="nothing was changed; stop the replica first, or take another store",
    )
