"""A stand-in of the platform: machines, upstreams that report, an operator, clients.

It starts the real processes through the adapter.  Messages to the processes are in
the product's own words, as ``deploy/wire.toml`` has the platform translate them.
"""

from __future__ import annotations

import http.client
import json
import os
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Mapping
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

import msgspec
from tests.platform_adapter.templates import ROOT, filled

from peppershore_lab.fleet.addresses import AddressBlock

WAIT_SECONDS = 40.0
POLL_SECONDS = 0.05
HEARTBEAT_SECONDS = 0.3
CALL_SECONDS = 15.0
ZONE = "pasila"
CLIENTS_PORT, READY_PORT, CONTROL_PORT, APPLICATION_PORT = 8000, 8001, 8002, 9000
FIRST_INTERNAL_PORT, SECOND_INTERNAL_PORT = 8400, 8401
SIGNATURE = "x-peppershore-server-signature"
ATTEMPT_ID = "x-peppershore-attempt-id"
NOT_EXECUTED = "x-peppershore-not-executed"
EXPECTED_INSTANCE = "x-peppershore-expected-instance"
MISDIRECTED = 421
CALLING_PATH = "/calls-on"
"""A request for which an upstream makes a call of its own."""
HELD_PATH = "/held"
"""A request that an upstream answers only once it is told to."""
SLOTS = 8


class Reply(msgspec.Struct, frozen=True):
    """A whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> Any:
        return json.loads(self.body)


def ask(
    address: str,
    method: str,
    path: str,
    body: object = None,
    headers: Mapping[str, str] | None = None,
) -> Reply:
    """Send one request and read its answer."""
    connection = http.client.HTTPConnection(address, timeout=CALL_SECONDS)
    content = None if body is None else json.dumps(body)
    try:
        connection.request(method, path, content, dict(headers or {}))
        answer = connection.getresponse()
        fields = {name.lower(): value for name, value in answer.getheaders()}
        return Reply(answer.status, fields, answer.read())
    finally:
        connection.close()


def until(condition: Callable[[], bool], what: Callable[[], str]) -> None:
    """Wait for ``condition``, also while nobody listens yet."""
    deadline = time.monotonic() + WAIT_SECONDS
    while True:
        try:
            if condition():
                return
        except OSError:
            pass
        assert time.monotonic() < deadline, what()
        time.sleep(POLL_SECONDS)


class Machine:
    """A machine with an address of its own, and the process that runs there."""

    def __init__(
        self,
        folder: Path,
        role: str,
        name: str,
        host: str,
        bounds: Mapping[str, str] | None = None,
    ) -> None:
        """``bounds`` are told besides those that every site has."""
        self._more_bounds = dict(bounds or {})
        self.name = name
        self.host = host
        self.role = role
        self.first_start = True
        self.folder = folder
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def clients(self) -> str:
        return f"{self.host}:{CLIENTS_PORT}"

    @property
    def control(self) -> str:
        return f"{self.host}:{CONTROL_PORT}"

    @property
    def ready(self) -> str:
        return f"{self.host}:{READY_PORT}"

    @property
    def application(self) -> str:
        return f"{self.host}:{APPLICATION_PORT}"

    @property
    def seed(self) -> str:
        return f"{self.host}:{FIRST_INTERNAL_PORT}"

    @property
    def output(self) -> str:
        return (self.folder / f"{self.name}.out").read_text()

    def lines(self, event: str) -> list[dict[str, Any]]:
        """Give the log lines of an event."""
        whole = [line for line in self.output.split("\n")[:-1] if line.startswith("{")]
        return [line for line in map(json.loads, whole) if line["event"] == event]

    def start(self, service: str, seeds: list[str]) -> None:
        """Fill the template and start the role as the deploy file says."""
        settings = self.folder / f"{self.name}.toml"
        settings.write_text(filled(self.role, self._values(service, seeds)))
        environment = {**os.environ, "PEPPERSHORE_NODE_FILE": str(settings)}
        with (self.folder / f"{self.name}.out").open("ab") as output:
            self._process = subprocess.Popen(
                [sys.executable, str(ROOT / "platform" / "main.py"), self.role],
                stdout=output,
                stderr=subprocess.STDOUT,
                env=environment,
            )
        self.first_start = False

    def kill(self) -> None:
        if self._process is not None:
            self._process.kill()
            self._process.wait()
            self._process = None

    def stop(self) -> int:
        """Stop in a planned way; give the exit code."""
        assert self._process is not None
        self._process.terminate()
        code = self._process.wait(WAIT_SECONDS)
        self._process = None
        return code

    def _values(self, service: str, seeds: list[str]) -> dict[str, Any]:
        return {
            "nodeName": self.name,
            "service": service,
            "zone": ZONE,
            "ipAddress": self.host,
            "applicationAddress": self.application,
            "seedNodes": seeds,
            "firstStart": "true" if self.first_start else "false",
            "dataDirectory": str(self.folder / f"data-{self.name}"),
            "internalPortRange": {
                "0": str(FIRST_INTERNAL_PORT),
                "1": str(SECOND_INTERNAL_PORT),
            },
            "listenAddresses": {
                "outbound": self.clients,
                "ready": self.ready,
                "controlPlane": self.control,
            },
            "faultTolerance": {"machines": "1"},
            "limits": {"linkBandwidthMbps": "1000.0"},
            "bounds": {
                "gracePeriodS": "6",
                "retryBudgetRatio": "0.2",
                "budgetWindowS": "10",
                "retryBudgetSlack": "60",
                **self._more_bounds,
            },
        }


class Upstream:
    """A server of a service beside a node: reports, runs calls, refuses strangers."""

    def __init__(self, machine: Machine, service: str) -> None:
        self.service = service
        self.instance = f"i-{machine.name}"
        self.state = "ready"
        self.runs: list[str] = []
        self.ran_at: dict[str, float] = {}
        """When each request came, by its id; monotonic seconds."""
        self.running = 0
        self.most_running = 0
        self.may_answer = threading.Event()
        self._machine = machine
        self._sequence = 0
        self._lock = threading.Lock()
        self._over = threading.Event()
        upstream = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:
                expected = self.headers.get(EXPECTED_INSTANCE, "")
                if expected and expected != upstream.instance:
                    self._reply(MISDIRECTED, b"", {NOT_EXECUTED: "1"})
                    return
                upstream.runs.append(self.headers.get(ATTEMPT_ID, ""))
                upstream.ran_at[self.headers.get(ATTEMPT_ID, "")] = time.monotonic()
                if self.path == HELD_PATH:
                    upstream.hold()
                if self.path == CALLING_PATH:
                    self._call_on()
                    return
                self._reply(200, upstream.service.encode(), {SIGNATURE: upstream.instance})

            def _call_on(self) -> None:
                """Answer with what a call of its own is answered, made for this one."""
                child = f"{self.headers[ATTEMPT_ID]}.1"
                fields = {"host": self.headers["host"], ATTEMPT_ID: child}
                inner = ask(machine.clients, "GET", "/x", headers=fields)
                self._reply(inner.status, inner.body, {SIGNATURE: upstream.instance})

            def _reply(self, status: int, body: bytes, fields: dict[str, str]) -> None:
                self.send_response(status)
                fields[ATTEMPT_ID] = self.headers.get(ATTEMPT_ID, "")
                fields["content-length"] = str(len(body))
                for name, value in fields.items():
                    self.send_header(name, value)
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_: object) -> None:
                pass

        self._server = ThreadingHTTPServer((machine.host, APPLICATION_PORT), Handler)
        self._server.daemon_threads = True
        for work in (self._server.serve_forever, self._beat):
            threading.Thread(target=work, daemon=True).start()

    def hold(self) -> None:
        """Run a request until all that are held may be answered."""
        with self._lock:
            self.running += 1
            self.most_running = max(self.most_running, self.running)
        self.may_answer.wait(CALL_SECONDS)
        with self._lock:
            self.running -= 1

    def report(self) -> int:
        """Send a heartbeat now; give the status of its acknowledgement."""
        with self._lock:
            self._sequence += 1
            body = {
                "service": self.service,
                "address": self._machine.application,
                "slots": SLOTS,
                "warming_milliseconds": 0,
                "state": self.state,
                "sequence": self._sequence,
            }
            path = f"/back-ends/{self.instance}/heartbeat"
            return ask(self._machine.control, "POST", path, body).status

    def leave(self) -> int:
        """Tell that it leaves; give the status of the acknowledgement."""
        self.state = "draining"
        return self.report()

    def stop(self) -> None:
        self._over.set()
        self._server.shutdown()
        self._server.server_close()

    def _beat(self) -> None:
        while not self._over.wait(HEARTBEAT_SECONDS):
            try:
                self.report()
            except OSError:
                continue


class Site:
    """Three core machines, and a machine with an upstream for each service name."""

    def __init__(
        self,
        folder: Path,
        services: tuple[str, ...],
        bounds: Mapping[str, str] | None = None,
    ) -> None:
        self._block = AddressBlock()
        self.hubs = [
            Machine(folder, "hub", f"core-{number}", self._block.next_host(), bounds)
            for number in range(1, 4)
        ]
        self.nodes = [
            Machine(folder, "node", f"side-{number}", self._block.next_host(), bounds)
            for number in range(1, len(services) + 1)
        ]
        self._services = services
        self.upstreams: list[Upstream] = []

    @property
    def seeds(self) -> list[str]:
        return [hub.seed for hub in self.hubs]

    def start(self) -> None:
        """Start all machines at once, as the platform does."""
        for hub in self.hubs:
            hub.start("", self.seeds)
        for node, service in zip(self.nodes, self._services, strict=True):
            node.start(service, self.seeds)
            self.upstreams.append(Upstream(node, service))

    def replace(self, hub: Machine, configuration: dict[str, Any]) -> Reply:
        """Hand a configuration to a hub; what is undecided is sent again."""
        found: list[Reply] = []

        def is_decided() -> bool:
            found.append(ask(hub.control, "PUT", "/configuration", configuration))
            return found[-1].status != 503

        until(is_decided, lambda: f"undecided at {hub.name}: {found[-1:]} {hub.output}")
        return found[-1]

    def read(self, hub: Machine) -> Reply:
        return ask(hub.control, "GET", "/configuration")

    def stop(self) -> None:
        for upstream in self.upstreams:
            upstream.stop()
        for machine in (*self.nodes, *self.hubs):
            machine.kill()
        self._block.close()
