"""``peppershore completion``: shell completion of commands and options."""

from __future__ import annotations

import click
from click.shell_completion import get_completion_class

from peppershore.command.output import show_json

PROGRAM = "peppershore"
VARIABLE = "_PEPPERSHORE_COMPLETE"
SHELLS = ("bash", "zsh", "fish")


@click.command()
@click.argument("shell", type=click.Choice(SHELLS))
@click.option("--json", "as_json", is_flag=True, help="One JSON object as output.")
def completion(shell: str, as_json: bool) -> None:
    """Print the completion script of SHELL.

    \b
    bash: peppershore completion bash > peppershore.bash, then source that file
    zsh:  peppershore completion zsh > _peppershore, in a directory of $fpath
    fish: peppershore completion fish > ~/.config/fish/completions/peppershore.fish
    """
    script = completion_script(shell)
    if as_json:
        show_json({"shell": shell, "script": script})
        return
    click.echo(script)


def completion_script(shell: str) -> str:
    """Return the script that makes ``shell`` get its completions from this program."""
    kind = get_completion_class(shell)
    assert kind is not None
    root = click.get_current_context().find_root().command
    completer = kind(root, {}, PROGRAM, VARIABLE)
    return kind.source_template % completer.source_vars()
