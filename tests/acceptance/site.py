"""Real processes of the product for tests: on free ports, stopped at the end."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec
import tomli_w
from click.testing import CliRunner

from peppershore.command.main import main
from peppershore.connection import certificates
from peppershore.connection.identity import SCHEME, parse_identity

PROGRAM = Path(sys.executable).parent / "peppershore"
HOST = "127.0.0.1"
CLUSTER = "refund"
STOP_SECONDS = 20.0
COMMAND_SECONDS = "20"
UNUSED = f"{HOST}:1"


class CommandDone(msgspec.Struct, frozen=True):
    """What a command gave."""

    exit_code: int
    output: str
    error: str

    @property
    def json(self) -> Any:
        """The last line of the output as JSON."""
        return json.loads(self.output.splitlines()[-1])


class Running:
    """One process of the product, ready, with its port."""

    def __init__(
        self, folder: Path, role: str, name: str, settings: dict[str, Any]
    ) -> None:
        self.settings_path = folder / f"{name}.toml"
        self.log_path = folder / f"{name}.log"
        self.settings_path.write_text(tomli_w.dumps(settings))
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [str(PROGRAM), "serve", role, "--settings", str(self.settings_path)],
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
            )
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        assert line, self.log_path.read_text()
        self.port: int = json.loads(line)["port"]

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    @property
    def log(self) -> str:
        return self.log_path.read_text()

    def events(self, name: str) -> list[dict[str, Any]]:
        lines = [json.loads(line) for line in self.log.splitlines()]
        return [line for line in lines if line["event"] == name]

    def stop(self) -> int:
        self.process.terminate()
        return self.process.wait(STOP_SECONDS)

    def kill(self) -> None:
        self.process.kill()
        self.process.wait(STOP_SECONDS)


class Site:
    """A control replica and what a test adds to it."""

    def __init__(self, folder: Path, tls: bool = False) -> None:
        self.folder = folder
        self._tls = tls
        self._running: list[Running] = []
        self.control = self._start_control()

    def command(self, *arguments: str, text: str | None = None) -> CommandDone:
        """Run an operator's command in this process."""
        shared = ["--settings", str(self._operator_settings())]
        done = CliRunner().invoke(main, [*arguments, *shared], input=text)
        assert done.exception is None or isinstance(done.exception, SystemExit), done
        return CommandDone(done.exit_code, done.stdout, done.stderr)

    def ok(self, *arguments: str, text: str | None = None) -> CommandDone:
        """Run a command that must be done."""
        done = self.command(*arguments, text=text)
        assert done.exit_code == 0, (arguments, done.output, done.error)
        return done

    def start_relay(self, name: str, zone: str) -> Running:
        settings = {
            "cluster": CLUSTER,
            "relay": name,
            "zone": zone,
            "listen": f"{HOST}:0",
            "admin_listen": "",
            "freshness_milliseconds": 200,
            "replicas": [{"name": "c1", "address": self.control.address}],
        }
        return self._start("relay", name, f"relay/{name}", settings)

    def start_node(
        self, name: str, service: str, zone: str, relay: Running, admin: str = ""
    ) -> Running:
        settings = {
            "cluster": CLUSTER,
            "node": name,
            "service": service,
            "zone": zone,
            "listen": f"{HOST}:0",
            "admin_listen": admin,
            "relays": [{"name": "r1", "zone": zone, "address": relay.address}],
        }
        return self._start("node", name, f"node/{service}/{zone}/{name}", settings)

    def restart_control(self) -> None:
        """Kill the control replica and start it again with its data."""
        self.control.kill()
        self.control = self._start_control()

    def stop(self) -> None:
        for running in reversed(self._running):
            if running.process.poll() is None:
                running.stop()
            assert running.process.stdout is not None
            running.process.stdout.close()

    def logs(self) -> str:
        return "".join(path.read_text() for path in sorted(self.folder.glob("*.log")))

    def _start_control(self) -> Running:
        settings = {
            "cluster": CLUSTER,
            "replica": "c1",
            "listen": f"{HOST}:0",
            "data_folder": str(self.folder / "control-data"),
            "log_level": "debug",
            "replicas": [{"name": "c1", "address": UNUSED}],
        }
        return self._start("control", "c1", "control/c1", settings)

    def _start(
        self, role: str, name: str, identity: str, settings: dict[str, Any]
    ) -> Running:
        running = Running(self.folder, role, name, settings | self._security(identity))
        self._running.append(running)
        return running

    def _security(self, identity: str) -> dict[str, Any]:
        if not self._tls:
            return {}
        keys = self.folder / "keys"
        if not (keys / certificates.AUTHORITY_KEY).exists():
            certificates.make_authority(keys).unwrap()
        authority = certificates.load_authority(keys).unwrap()
        parsed = parse_identity(f"{SCHEME}{CLUSTER}/{identity}").unwrap()
        pem = str(certificates.issue(keys, authority, parsed, days=1).unwrap())
        trusted = str(keys / certificates.AUTHORITY_CERTIFICATE)
        return {"tls": {"certificate": pem, "key": pem, "authority": trusted}}

    def _operator_settings(self) -> Path:
        path = self.folder / "operator.toml"
        settings: dict[str, Any] = {
            "replicas": [self.control.address],
            "timeout_milliseconds": int(COMMAND_SECONDS) * 1_000,
            "author": "anna",
        }
        path.write_text(tomli_w.dumps(settings | self._security("operator/anna")))
        return path


def rows(output: str) -> Sequence[Sequence[str]]:
    """The cells of a table that a command printed."""
    return [line.split() for line in output.splitlines()]
