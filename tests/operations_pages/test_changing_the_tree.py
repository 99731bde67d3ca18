"""Every command on the page about changing the tree, against a real replica."""

import json
import re
import shlex
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest
from click.testing import CliRunner

from peppershore.command.main import main
from peppershore.command.options import REPLICA_VARIABLE

PAGE = Path(__file__).parents[2] / "docs" / "operations" / "changing-the-tree.md"
EXIT_CODE = re.compile(r"\s+# exits (\d+)$")
STOP_SECONDS = 10.0

SETTINGS = """
cluster = "refund"
replica = "control-1"
listen = "127.0.0.1:0"
data_folder = "{folder}/data"
replicas = [{{ name = "control-1", address = "127.0.0.1:7001" }}]
"""


def blocks(language: str) -> list[str]:
    return re.findall(rf"```{language}\n(.*?)```", PAGE.read_text(), re.DOTALL)


@pytest.fixture
def replica(tmp_path: Path) -> Iterator[str]:
    """Run a control replica and give its address."""
    settings = tmp_path / "control.toml"
    settings.write_text(SETTINGS.format(folder=tmp_path))
    program = Path(sys.executable).with_name("peppershore")
    process = subprocess.Popen(
        [program, "serve", "control", "--settings", str(settings)],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    assert process.stdout is not None
    try:
        ready = json.loads(process.stdout.readline())
        yield f"127.0.0.1:{ready['port']}"
    finally:
        process.terminate()
        process.wait(STOP_SECONDS)
        process.stdout.close()


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
