"""Options shared by the commands that query one process over HTTP."""

from __future__ import annotations

from collections.abc import Callable

import click

from peppershore.command.options import MAX_TIMEOUT_SECONDS, MIN_TIMEOUT_SECONDS, Seconds

Command = Callable[..., None]


def address_options(whose: str) -> Callable[[Command], Command]:
    """Return a decorator that adds ``--at``, ``--timeout`` and ``--json`` to a command.

    ``whose`` is the help text that says which addresses ``--at`` accepts.
    """

    def decorate(command: Command) -> Command:
        at = click.option(
            "--at",
            "address",
            metavar="IP:PORT",
            required=True,
            help=f"{whose}; any will do.",
        )
        timeout = click.option(
            "--timeout",
            type=Seconds(MIN_TIMEOUT_SECONDS, MAX_TIMEOUT_SECONDS),
            default=10.0,
            show_default=True,
            help="Seconds to wait.",
        )
        as_json = click.option("--json", "as_json", is_flag=True, help="One JSON object.")
        return at(timeout(as_json(command)))

    return decorate
