"""The command ``peppershore``: processes of all roles, and commands for operators."""

from __future__ import annotations

import click

from peppershore.command.lazy_group import LazyGroup

PACKAGE = "peppershore.command"


class Commands(LazyGroup):
    """All commands, imported lazily: importing all takes longer than most of them run."""

    locations = {
        "completion": f"{PACKAGE}.completion_command:completion",
        "explain": f"{PACKAGE}.explain_command:explain",
        "keys": f"{PACKAGE}.key_commands:keys",
        "logs": f"{PACKAGE}.logs_command:logs",
        "quarantine": f"{PACKAGE}.quarantine_commands:quarantine",
        "rollout": f"{PACKAGE}.rollout_commands:rollout",
        "replica": f"{PACKAGE}.replica_commands:replica",
        "secret": f"{PACKAGE}.secret_commands:secret",
        "serve": f"{PACKAGE}.serve:serve",
        "settings": f"{PACKAGE}.settings_commands:settings",
        "status": f"{PACKAGE}.status_commands:status",
        "tenant": f"{PACKAGE}.tenant_commands:tenant",
        "tenants": f"{PACKAGE}.tenant_usage_command:tenants",
        "trace": f"{PACKAGE}.trace_command:trace",
        "tree": f"{PACKAGE}.tree_commands:tree",
        "watch": f"{PACKAGE}.watch_command:watch",
        "zone": f"{PACKAGE}.zone_commands:zone",
    }


@click.group(cls=Commands, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="peppershore")
def main() -> None:
    """Distribute configuration to the proxies of a service mesh.

    Exit codes: 0 done, 1 a fault of the program itself, 2 wrong command line,
    3 invalid edit or settings, 4 conflict, 5 no replica answered, 6 an edit's
    outcome is unknown (send it again with its change id), 7 change id expired,
    8 not found, 9 not in force in time, 10 not permitted by the certificate,
    11 a process could not start.
    """
