"""``peppershore settings``: checks a settings file or shows an example."""

from __future__ import annotations

from pathlib import Path

import click
from returns.result import Failure

from peppershore.command.output import show_json, stop_with
from peppershore.command.settings_output import settings_failed
from peppershore.process.settings_examples import EXAMPLES
from peppershore.process.settings_loader import KINDS, load_settings

role_argument = click.argument("role", type=click.Choice(tuple(KINDS)))


@click.group()
def settings() -> None:
    """Check settings files and show examples of them."""


@settings.command()
@role_argument
@click.argument("path", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="One JSON object as output.")
def check(role: str, path: Path, as_json: bool) -> None:
    """Check the settings file PATH of a ROLE; every problem is listed."""
    loaded = load_settings(KINDS[role], path, {})
    if isinstance(loaded, Failure):
        stop_with(settings_failed(role, path, loaded.failure()), as_json)
    if as_json:
        show_json({"settings": loaded.unwrap()})
        return
    click.echo(f"{path}: usable settings of role {role}")


@settings.command()
@role_argument
@click.option("--json", "as_json", is_flag=True, help="One JSON object as output.")
def example(role: str, as_json: bool) -> None:
    """Show an example settings file of a ROLE, every setting with its meaning."""
    if as_json:
        show_json({"role": role, "example": EXAMPLES[role]})
        return
    click.echo(EXAMPLES[role], nl=False)
