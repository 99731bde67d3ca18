"""Every command on the page about control replicas exists with its options.

That the steps work is tested on real processes in ``tests/control``.
"""

from __future__ import annotations

import re
import shlex
from pathlib import Path

import pytest
from click.testing import CliRunner

from peppershore.command.main import main
from peppershore.process.storage.errors import StoreRefusal

PAGE = Path(__file__).parents[2] / "docs" / "operations" / "replicas.md"
COMMAND = re.compile(r"^\s*(peppershore .*)$", re.MULTILINE)
USAGE_ERROR = 2


def commands() -> list[str]:
    blocks = re.findall(r"```sh\n(.*?)```", PAGE.read_text(), re.DOTALL)
    return [line.strip() for block in blocks for line in COMMAND.findall(block)]


@pytest.mark.parametrize("command", sorted(set(commands())))
def test_the_command_is_understood(command: str) -> None:
    arguments = shlex.split(command)[1:]
    unknown = CliRunner().invoke(main, [*arguments, "--no-such-option"])
    assert unknown.exit_code == USAGE_ERROR
    assert "--no-such-option" in unknown.output
    assert "No such command" not in unknown.output


def test_the_page_names_every_reason_for_refusing_a_store() -> None:
    text = PAGE.read_text()
    assert all(f"`{refusal.value}`" in text for refusal in StoreRefusal)
