"""``peppershore zone``: declares and removes zones."""

from __future__ import annotations

import click

from peppershore.command.edit_options import EditNames, edit_options, run_edit
from peppershore.command.options import OperatorContext, operator_options
from peppershore.version.model import RemoveZone, SetZone


@click.group()
def zone() -> None:
    """Declare zones and the region each belongs to."""


@zone.command(name="set")
@click.argument("name")
@click.argument("region")
@edit_options
@operator_options
def set_(context: OperatorContext, names: EditNames, name: str, region: str) -> None:
    """Declare the zone NAME, or move it to another REGION."""
    run_edit(context, names, SetZone(name, region))


@zone.command()
@click.argument("name")
@edit_options
@operator_options
def remove(context: OperatorContext, names: EditNames, name: str) -> None:
    """Remove the zone NAME; no node of the tree may name it."""
    run_edit(context, names, RemoveZone(name))
