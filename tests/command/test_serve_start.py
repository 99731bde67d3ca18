"""A process that can't start logs the reason and exits with a code of its own."""

from __future__ import annotations

import json
import socket
import subprocess
from collections.abc import Iterator
from pathlib import Path

import pytest
from tests.acceptance.cluster import PROGRAM

from peppershore.command.exit_codes import ExitCode

END_SECONDS = 20.0
HOST = "127.0.0.1"
UNUSED = f"{HOST}:1"


@pytest.fixture
def used_address() -> Iterator[str]:
    """Address that another listener already uses."""
    with socket.create_server((HOST, 0)) as holder:
        yield f"{HOST}:{holder.getsockname()[1]}"


def arguments_of(role: str, listen: str, folder: Path) -> list[str]:
    replica = f"name=c1,address={UNUSED}"
    data = ["--data-folder", str(folder / role)]
    group = ["--replica", "c1", "--replicas", replica, *data]
    own = {
        "control": group,
        "claims": group,
        "relay": ["--relay", "r1", "--zone", "pasila", "--replicas", replica],
        "node": [
            *("--node", "n1", "--service", "kassa", "--zone", "pasila"),
            *("--relays", f"name=r1,zone=pasila,address={UNUSED}"),
        ],
    }
    return ["serve", role, "--cluster", "refund", "--listen", listen, *own[role]]


def run(*arguments: str) -> tuple[int, list[dict[str, str]]]:
    done = subprocess.run(
        [str(PROGRAM), *arguments],
        check=False,
        capture_output=True,
        text=True,
        timeout=END_SECONDS,
    )
    return done.returncode, [json.loads(line) for line in done.stderr.splitlines()]


@pytest.mark.parametrize("role", ["control", "claims", "relay", "node"])
def test_address_in_use(role: str, used_address: str, tmp_path: Path) -> None:
    code, lines = run(*arguments_of(role, used_address, tmp_path))
    assert code == ExitCode.NOT_STARTED
    assert lines[-1]["event"] == "process_not_started"
    assert "in use" in lines[-1]["reason"]
    assert lines[-1]["advice"]


def test_admin_address_in_use(used_address: str, tmp_path: Path) -> None:
    arguments = arguments_of("control", f"{HOST}:0", tmp_path)
    code, lines = run(*arguments, "--admin-listen", used_address)
    assert (code, lines[-1]["event"]) == (ExitCode.NOT_STARTED, "process_not_started")


def test_missing_certificate_is_named(tmp_path: Path) -> None:
    missing = str(tmp_path / "none.pem")
    names = ("certificate", "key", "authority")
    tls = [word for name in names for word in (f"--tls-{name}", missing)]
    code, lines = run(*arguments_of("relay", f"{HOST}:0", tmp_path), *tls)
    assert (code, lines[-1]["event"]) == (ExitCode.NOT_STARTED, "process_not_started")
    assert missing in lines[-1]["reason"]
