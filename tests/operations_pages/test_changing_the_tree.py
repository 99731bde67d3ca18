"""Every command on the page about changing the tree, against a real replica."""

import re
import shlex
from pathlib import Path

import pytest
from click.testing import CliRunner

from peppershore.command.main import main
from peppershore.command.options import REPLICA_VARIABLE

PAGE = Path(__file__).parents[2] / "docs" / "operations" / "changing-the-tree.md"
EXIT_CODE = re.compile(r"\s+# exits (\d+)$")


def blocks(language: str) -> list[str]:
    return re.findall(rf"```{language}\n(.*?)```", PAGE.read_text(), re.DOTALL)


def test_the_commands_of_the_page(
    replica: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.chdir(tmp_path)
    monkeypatch.setenv(REPLICA_VARIABLE, replica)
    Path("operations.toml").write_text(blocks("toml")[0])
    lines = [line for block in blocks("sh") for line in block.splitlines()]
    assert len(lines) > 20
    for line in lines:
        expected = EXIT_CODE.search(line)
        words = shlex.split(EXIT_CODE.sub("", line))
        assert words[0] == "peppershore"
        result = CliRunner().invoke(main, words[1:])
        assert result.exit_code == (int(expected[1]) if expected else 0), (
            line,
            result.output,
        )
