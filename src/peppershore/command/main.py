"""The command ``peppershore``: every role's process and every operator's command."""

from __future__ import annotations

import click

from peppershore.command.completion_command import completion
from peppershore.command.explain_command import explain
from peppershore.command.key_commands import keys
from peppershore.command.replica_commands import replica
from peppershore.command.secret_commands import secret
from peppershore.command.serve import serve
from peppershore.command.settings_commands import settings
from peppershore.command.status_commands import status
from peppershore.command.tree_commands import tree
from peppershore.command.tree_file_commands import (
    diff,
    edit,
    history,
    load,
    revert,
    save,
    validate,
)
from peppershore.command.watch_command import watch
from peppershore.command.zone_commands import zone


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="peppershore")
def main() -> None:
    """Distribute configuration to the proxies of a service mesh.

    Exit codes: 0 done, 1 a fault of the program itself, 2 wrong command line,
    3 invalid edit or settings, 4 conflict, 5 no replica answered, 6 an edit's
    outcome is unknown (send it again with its change id), 7 change id expired,
    8 not found, 9 not in force in time, 10 not permitted by the certificate,
    11 a process could not start.
    """


for _command in (
    serve,
    tree,
    zone,
    secret,
    status,
    watch,
    explain,
    replica,
    settings,
    keys,
    completion,
):
    main.add_command(_command)

for _command in (diff, edit, history, load, revert, save, validate):
    tree.add_command(_command)
