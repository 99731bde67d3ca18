"""A whole cluster of real processes that a test kills, pauses, stops and restarts."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import msgspec
import tomli_w
from click.testing import CliRunner
from tests.acceptance.backend import PlainBackend

from peppershore.command.main import main
from peppershore.connection.certificates import AUTHORITY_CERTIFICATE
from peppershore_lab.fleet.addresses import (
    ADMIN_PORT,
    HTTP_PORT,
    INTERNAL_PORT,
    LINK_PORT,
    AddressBlock,
)

PROGRAM = Path(sys.executable).parent / "peppershore"
CLUSTER = "refund"
ZONE = "pasila"
WAIT_SECONDS = 40.0
STOP_SECONDS = 20.0
POLL_SECONDS = 0.05
HOLD_MILLISECONDS = 8_000
COMMAND_MILLISECONDS = 20_000


def wait_until(condition: Callable[[], bool], what: Callable[[], str]) -> None:
    """Wait for ``condition``; ``what`` says what was seen when it never came."""
    deadline = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, what()
        time.sleep(POLL_SECONDS)


class CommandDone(msgspec.Struct, frozen=True):
    """What a command gave."""

    exit_code: int
    output: str
    error: str

    @property
    def json(self) -> Any:
        """The last line of the output as JSON."""
        return json.loads(self.output.splitlines()[-1])


class Member:
    """One process of the product: where it listens, and each of its lives."""

    def __init__(self, folder: Path, role: str, name: str, host: str) -> None:
        self.role = role
        self.name = name
        self.host = host
        self.settings: dict[str, Any] = {}
        self._folder = folder
        self._process: subprocess.Popen[str] | None = None

    @property
    def link_address(self) -> str:
        return f"{self.host}:{LINK_PORT}"

    @property
    def admin_address(self) -> str:
        return f"{self.host}:{ADMIN_PORT}"

    @property
    def callers_address(self) -> str:
        return f"{self.host}:{HTTP_PORT}"

    @property
    def log(self) -> str:
        return (self._folder / f"{self.name}.log").read_text()

    @property
    def is_running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    def events(self, name: str) -> list[dict[str, Any]]:
        lines = [json.loads(line) for line in self.log.split("\n") if line]
        return [line for line in lines if line["event"] == name]

    def versions_applied(self) -> list[int]:
        return [event["version"] for event in self.events("version_applied")]

    def start(self) -> None:
        """Start a life of the process; ``ready`` waits for it."""
        path = self._folder / f"{self.name}.toml"
        path.write_text(tomli_w.dumps(self.settings))
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                [str(PROGRAM), "serve", self.role, "--settings", str(path)],
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
            )

    def ready(self) -> None:
        assert self._process is not None
        assert self._process.stdout is not None
        assert self._process.stdout.readline(), self.log

    def kill(self) -> None:
        self._end(signal.SIGKILL)

    def stop(self) -> int:
        """Stop in a planned way; give the exit code."""
        return self._end(signal.SIGTERM)

    def begin_stop(self) -> None:
        self._signal(signal.SIGTERM)

    def pause(self) -> None:
        """Cut it off in silence: its connections stay open and nothing answers."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        self._signal(signal.SIGCONT)

    def end(self) -> int:
        """Give the exit code of a process that was told to stop."""
        assert self._process is not None
        code = self._process.wait(STOP_SECONDS)
        assert self._process.stdout is not None
        self._process.stdout.close()
        return code

    def _end(self, number: signal.Signals) -> int:
        self._signal(number)
        return self.end()

    def _signal(self, number: signal.Signals) -> None:
        assert self._process is not None
        self._process.send_signal(number)


class Cluster:
    """Replicas, relays, nodes and back ends, each on an IP of its own."""

    def __init__(self, folder: Path, tls: bool = False) -> None:
        self.folder = folder
        self.keys_folder = folder / "keys"
        self.replicas: dict[str, Member] = {}
        self.claims: dict[str, Member] = {}
        self.relays: dict[str, Member] = {}
        self.nodes: dict[str, Member] = {}
        self.backends: dict[str, PlainBackend] = {}
        self._tls = tls
        self._block = AddressBlock()

    # --- starting ------------------------------------------------------------

    def start_replicas(self, count: int) -> None:
        for number in range(1, count + 1):
            self._add(self.replicas, "control", f"control-{number}")
        peers = [_peer(member) for member in self.replicas.values()]
        for member in self.replicas.values():
            member.settings |= {
                "replica": member.name,
                "replicas": peers,
                "data_folder": str(self.folder / f"data-{member.name}"),
            }
        _start(self.replicas.values())

    def start_claims(self) -> None:
        """Start a claims group of one."""
        member = self._add(self.claims, "claims", "claims-1")
        member.settings |= {
            "replica": member.name,
            "replicas": [_peer(member)],
            "data_folder": str(self.folder / f"data-{member.name}"),
        }
        _start([member])

    def start_relays(self, count: int) -> None:
        for number in range(1, count + 1):
            self._add(self.relays, "relay", f"relay-{number}")
        replicas = [_peer(member) for member in self.replicas.values()]
        for member in self.relays.values():
            others = [each for each in self.relays.values() if each is not member]
            member.settings |= {
                "relay": member.name,
                "zone": ZONE,
                "freshness_milliseconds": 200,
                "hold_milliseconds": HOLD_MILLISECONDS,
                "replicas": replicas,
                "relays": [_peer(each) | {"zone": ZONE} for each in others],
            }
        _start(self.relays.values())

    def start_nodes(self, service: str, count: int, with_disk: bool = True) -> None:
        """Start nodes of a service, each beside a back end of its own."""
        relays = [_peer(member) | {"zone": ZONE} for member in self.relays.values()]
        started: list[Member] = []
        for number in range(1, count + 1):
            name = f"{service}-{number}"
            node = self._add(self.nodes, "node", name, f"{service}/{ZONE}/")
            self.backends[name] = PlainBackend(name, self._block.next_host(), HTTP_PORT)
            node.settings |= {
                "node": name,
                "service": service,
                "zone": ZONE,
                "listen": node.callers_address,
                "internal_listen": f"{node.host}:{INTERNAL_PORT}",
                "backend": self.backends[name].address,
                "relays": relays,
                "data_folder": str(self.folder / f"data-{name}") if with_disk else "",
            }
            started.append(node)
        _start(started)

    # --- operators -----------------------------------------------------------

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

    def commands_at_once(self, commands: list[tuple[str, ...]]) -> list[CommandDone]:
        """Run operators' commands side by side, a process each."""
        shared = ["--settings", str(self._operator_settings())]
        started = [
            subprocess.Popen(
                [str(PROGRAM), *arguments, *shared],
                stdout=subprocess.PIPE,
                stderr=subprocess.PIPE,
                text=True,
            )
            for arguments in commands
        ]
        outputs = [process.communicate(timeout=WAIT_SECONDS) for process in started]
        return [
            CommandDone(process.returncode, output, error)
            for process, (output, error) in zip(started, outputs, strict=True)
        ]

    def edit(self, *arguments: str) -> int:
        """Make an edit; give the version it became."""
        version: int = self.ok(*arguments, "--json").json["accepted"]["version"]
        return version

    def leader(self) -> Member:
        found: list[str] = []

        def is_known() -> bool:
            found[:] = [self.ok("status", "--json").json["leader"]]
            return found[0] in self.replicas and self.replicas[found[0]].is_running

        wait_until(is_known, lambda: f"no leader among the running replicas: {found}")
        return self.replicas[found[0]]

    # --- the end -------------------------------------------------------------

    def stop(self) -> None:
        for member in self.members():
            if member.is_running:
                member.resume()
                member.kill()
        for backend in self.backends.values():
            backend.stop()
        self._block.close()

    def members(self) -> list[Member]:
        """Every process, nodes first."""
        groups = (self.nodes, self.relays, self.claims, self.replicas)
        return [member for group in groups for member in group.values()]

    def _add(
        self, group: dict[str, Member], role: str, name: str, scope: str = ""
    ) -> Member:
        member = Member(self.folder, role, name, self._block.next_host())
        member.settings = {
            "cluster": CLUSTER,
            "listen": member.link_address,
            "admin_listen": member.admin_address,
        }
        member.settings |= self.security(f"{role}/{scope}{name}")
        group[name] = member
        return member

    def security(self, identity: str, cluster: str = CLUSTER) -> dict[str, Any]:
        """Give the TLS settings of a process; its certificate is made."""
        if not self._tls:
            return {}
        self.keys("make", cluster, identity, "--days", "1")
        name = identity.rpartition("/")[2]
        pem = str(self.keys_folder / f"{name}.pem")
        trusted = str(self.keys_folder / AUTHORITY_CERTIFICATE)
        return {"tls": {"certificate": pem, "key": pem, "authority": trusted}}

    def keys(self, *arguments: str) -> None:
        """Run `peppershore keys` on the site's folder of keys."""
        folder = ("--folder", str(self.keys_folder))
        done = CliRunner().invoke(main, ["keys", *arguments, *folder])
        assert done.exit_code == 0, done.output

    def _operator_settings(self) -> Path:
        path = self.folder / "operator.toml"
        if not path.exists():
            settings: dict[str, Any] = {
                "replicas": [member.link_address for member in self.replicas.values()],
                "timeout_milliseconds": COMMAND_MILLISECONDS,
                "author": "anna",
            }
            path.write_text(tomli_w.dumps(settings | self.security("operator/anna")))
        return path


def _peer(member: Member) -> dict[str, str]:
    return {"name": member.name, "address": member.link_address}


def _start(members: Iterable[Member]) -> None:
    """Start members side by side, then wait for each."""
    started = list(members)
    for member in started:
        member.start()
    for member in started:
        member.ready()
