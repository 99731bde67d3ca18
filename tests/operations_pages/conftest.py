"""A control replica for the pages whose commands need no other process."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

STOP_SECONDS = 10.0

SETTINGS = """
cluster = "refund"
replica = "control-1"
listen = "127.0.0.1:0"
data_folder = "{folder}/data"
replicas = [{{ name = "control-1", address = "127.0.0.1:7001" }}]
"""


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
