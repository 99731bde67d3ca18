"""A command group that imports a command's module only when it is run or described."""

from __future__ import annotations

import importlib
from collections.abc import Mapping

import click


class LazyGroup(click.Group):
    """Holds where each command stands, as "module:name"."""

    places: Mapping[str, str] = {}

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Give every command's name, sorted."""
        return sorted({*super().list_commands(ctx), *self.places})

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Give a command; its module is imported now."""
        place = self.places.get(cmd_name)
        if place is None:
            return super().get_command(ctx, cmd_name)
        module_name, _, name = place.partition(":")
        command = getattr(importlib.import_module(module_name), name)
        assert isinstance(command, click.Command), place
        return command
