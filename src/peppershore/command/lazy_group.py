"""Command group that imports a command's module only to run or describe the command."""

from __future__ import annotations

import importlib
from collections.abc import Mapping

import click


class LazyGroup(click.Group):
    """Group whose commands are given by their location, as "module:name"."""

    locations: Mapping[str, str] = {}

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands, sorted."""
        return sorted({*super().list_commands(ctx), *self.locations})

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import the module of a command and return the command, None if unknown."""
        location = self.locations.get(cmd_name)
        if location is None:
            return super().get_command(ctx, cmd_name)
        module_name, _, name = location.partition(":")
        command = getattr(importlib.import_module(module_name), name)
        assert isinstance(command, click.Command), location
        return command
