"""Stand-ins of the second review: platform, operator, upstreams and clients.

Plain Python of the standard library. The platform part fills the project's settings
templates as DEPLOY.md describes and starts the commands of the deploy file, each as a
process of its own on a loopback address of its own.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

BOUNDS = {
    "seedLagS": 3,
    "addressReuseS": 2,
    "inTouchMs": 3000,
    "confirmationMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "gracePeriodS": 6,
    "lossSlackMs": 200,
    "configurationApplyMs": 2000,
    "downgradeSlackMs": 250,
    "maxStretchMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetSlack": 62,
    "recoveryS": 15,
}


class CannotRunError(Exception):
    """The case could not be set up; says nothing about the rule."""


# --- the platform: templates ------------------------------------------------------------

GAP = re.compile(r"\{\{([#^/]?)([^}|]*)(\|json)?\}\}")
MISSING = object()


def _lookup(name, scopes):
    if name == ".":
        return scopes[-1][0]
    if name == "@":
        return scopes[-1][1]
    first, *rest = name.split(".")
    for value, _key, _last in reversed(scopes):
        if isinstance(value, dict) and first in value:
            found = value[first]
            for part in rest:
                if isinstance(found, dict):
                    found = found.get(part, MISSING)
                elif isinstance(found, list) and part.isdigit() and int(part) < len(found):
                    found = found[int(part)]
                else:
                    found = MISSING
                if found is MISSING:
                    return MISSING
            return found
    return MISSING


def _text(value, as_json):
    if as_json:
        return json.dumps(None if value is MISSING else value)
    if value is MISSING or value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(_text(each, False) for each in value)
    if isinstance(value, dict):
        return json.dumps(value)
    return str(value)


def _parse(template, position, until):
    parts = []
    while True:
        found = GAP.search(template, position)
        if found is None:
            parts.append(template[position:])
            return parts, len(template)
        parts.append(template[position : found.start()])
        kind, name, as_json = found.group(1), found.group(2).strip(), bool(found.group(3))
        position = found.end()
        if kind == "/":
            if name != until:
                raise CannotRunError(f"template closes {name}, not {until}")
            return parts, position
        if kind in ("#", "^"):
            inner, position = _parse(template, position, name)
            parts.append((kind, name, inner))
        else:
            parts.append(("", name, as_json))


def _render(parts, scopes):
    out = []
    for part in parts:
        if isinstance(part, str):
            out.append(part)
            continue
        kind, name, rest = part
        if kind == "" and name == ",":
            out.append("" if scopes[-1][2] else ",")
            continue
        value = _lookup(name, scopes)
        is_given = value is not MISSING and value is not None and value is not False
        if kind == "":
            out.append(_text(value, rest))
        elif kind == "^":
            out.append("" if is_given else _render(rest, scopes))
        elif is_given and isinstance(value, (list, dict)):
            pairs = list(enumerate(value)) if isinstance(value, list) else value.items()
            pairs = [(key, each) for key, each in pairs]
            for number, (key, each) in enumerate(pairs):
                is_last = number == len(pairs) - 1
                out.append(_render(rest, [*scopes, (each, key, is_last)]))
        elif is_given:
            out.append(_render(rest, scopes))
    return "".join(out)


def fill(template, fields):
    """Return the template filled with the fields, in the form that DEPLOY.md describes."""
    parts, _ = _parse(template, 0, None)
    return _render(parts, [(fields, "", True)])


# --- the platform: machines -------------------------------------------------------------


class Record:
    """record.txt of the case: what was sent, answered and run."""

    def __init__(self, folder):
        self.path = Path(folder) / "record.txt"
        self.began = time.monotonic()
        self._file = self.path.open("w", encoding="utf-8")

    def at(self, moment=None):
        """Return a moment as seconds since the start of the record."""
        return (time.monotonic() if moment is None else moment) - self.began

    def line(self, text):
        """Write one line with the present moment in front."""
        self._file.write(f"{self.at():9.3f} {text}\n")
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()


class Machine:
    """One machine: an address, and one process of the project on it."""

    def __init__(self, world, name, role, *, zone, host, service=""):
        self.world = world
        self.name, self.role, self.zone, self.host = name, role, zone, host
        self.service = service
        self.process = None
        self.first_start = True
        self.folder = world.folder / name
        self.folder.mkdir()

    def port(self, which):
        """Return the address that serves ``which`` on this machine."""
        return f"{self.host}:{self.world.ports[which]}"

    def fields(self):
        """Return the settings of the process, as DEPLOY.md lays them out."""
        is_hub = self.role == "hub"
        names = (
            ("controlPlane",)
            if is_hub
            else ("inbound", "outbound", "ready", "controlPlane")
        )
        fields = {
            "nodeName": self.name,
            "role": self.role,
            "machineClass": "core" if is_hub else "sidecar",
            "serves": ["control_plane" if is_hub else "sidecar"],
            "ipAddress": self.host,
            "zone": self.zone,
            "region": "uusimaa",
            "zones": dict.fromkeys(self.world.zones, "uusimaa"),
            "listenAddresses": {name: self.port(name) for name in names},
            "internalPortRange": list(self.world.internal),
            "seedNodes": [hub.port("controlPlane") for hub in self.world.hubs[:3]],
            "firstStart": self.first_start,
            "countedInTolerance": is_hub,
            "limits": {
                "cpuShare": 0.559 if is_hub else 0.86,
                "cpuCores": 1,
                "memoryMb": 296 if is_hub else 300,
                "fileDescriptors": 4096,
                "linkBandwidthMbps": self.world.link_megabits,
                "diskMb": 256 if is_hub else 0,
            },
            "dataDirectory": str(self.folder / "data") if is_hub else None,
            "discovery": "local",
            "entry": "local",
            "heartbeatIntervalMs": 1500,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover"],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": self.world.bounds,
        }
        if not is_hub:
            fields["applicationAddress"] = self.port("application")
            fields["service"] = self.service
        return fields

    def start(self):
        """Start the process with the command of the deploy file."""
        role = self.world.deploy["roles"][self.role]
        settings = self.folder / "settings"
        template = (ROOT / role["template"]).read_text(encoding="utf-8")
        settings.write_text(fill(template, self.fields()), encoding="utf-8")
        (self.folder / "data").mkdir(exist_ok=True)
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["PEPPERSHORE_NODE_FILE"] = str(settings)
        log = (self.folder / "log").open("ab")
        self.process = subprocess.Popen(
            shlex.split(role["run"]),
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )
        log.close()
        self.first_start = False
        self.world.record.line(f"platform starts {self.name} ({self.role}) at {self.host}")

    def signal(self, number):
        """Send a signal to the process."""
        self.world.record.line(
            f"platform sends {signal.Signals(number).name} to {self.name}"
        )
        self.process.send_signal(number)

    async def ended(self, seconds):
        """Wait until the process has ended; return whether it did."""
        end = time.monotonic() + seconds
        while self.process.poll() is None and time.monotonic() < end:  # noqa: ASYNC110
            await asyncio.sleep(0.02)
        return self.process.poll() is not None

    async def ready(self):
        """Return whether the readiness question is answered by 200."""
        try:
            answer = await ask(self.port("ready"), b"GET", b"/readyz", {}, b"", 1.0)
        except (OSError, TimeoutError, EOFError):
            return False
        return answer.status == 200


class World:
    """A small deployment: three hubs and some nodes, each on a loopback address."""

    def __init__(self, folder, link_megabits=1000.0, bounds=None):
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-2-"))
        self.deploy = tomllib.loads(
            (ROOT / "deploy/system.toml").read_text(encoding="utf-8")
        )
        self.bounds = bounds or BOUNDS
        self.link_megabits = link_megabits
        self.zones = ("vantaa-t2", "lansisatama", "pasila")
        self.machines = []
        self.hubs = []
        self.nodes = []
        self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self._choose_ports()
        self._next_host = 10

    def _choose_ports(self):
        names = ("inbound", "outbound", "ready", "controlPlane", "application")
        for _ in range(200):
            base = random.randrange(12_000, 30_000, 40)
            if all(self._is_free(base + each) for each in range(40)):
                self.ports = {name: base + number for number, name in enumerate(names)}
                self.internal = (base + 20, base + 35)
                return
        raise CannotRunError("no free ports")

    def _is_free(self, port):
        with socket.socket() as probe:
            try:
                probe.bind((f"{self.net}.9", port))
            except OSError:
                return False
        return True

    def host(self):
        """Return an address that no machine has yet."""
        self._next_host += 1
        return f"{self.net}.{self._next_host}"

    def add_hub(self):
        """Add a machine that serves the control plane."""
        number = len(self.hubs)
        zone = self.zones[number % len(self.zones)]
        hub = Machine(
            self,
            f"core-{zone}-{1 + number // len(self.zones)}",
            "hub",
            zone=zone,
            host=self.host(),
        )
        self.hubs.append(hub)
        self.machines.append(hub)
        return hub

    def add_node(self, service, zone=0):
        """Add a machine beside whose upstream a node runs."""
        name = f"sidecar-{self.zones[zone]}-{len(self.nodes) + 1}"
        node = Machine(
            self, name, "node", zone=self.zones[zone], host=self.host(), service=service
        )
        self.nodes.append(node)
        self.machines.append(node)
        return node

    async def start(self, configuration):
        """Start all machines; put the first configuration until it is taken."""
        if not (ROOT / "target/deps").exists():
            raise CannotRunError("target/deps is missing: run review/build-2.sh")
        for machine in self.machines:
            machine.start()
        await self.put(configuration)
        await self.wait_ready(self.nodes)

    async def wait_ready(self, nodes, seconds=20.0):
        """Wait until these nodes say that they are ready."""
        end = time.monotonic() + seconds
        while not all([await node.ready() for node in nodes]):
            if time.monotonic() > end:
                raise CannotRunError("the nodes don't become ready")
            await asyncio.sleep(0.1)

    async def put(self, configuration, seconds=25.0):
        """Put a configuration, again and again, until it is acknowledged."""
        body = json.dumps(configuration).encode()
        headers = {"Content-Type": "application/json"}
        end = time.monotonic() + seconds
        number = 0
        while time.monotonic() < end:
            hub = self.hubs[number % len(self.hubs)]
            number += 1
            try:
                answer = await ask(
                    hub.port("controlPlane"), b"PUT", b"/configuration", headers, body, 1.0
                )
            except (OSError, TimeoutError, EOFError):
                await asyncio.sleep(0.1)
                continue
            version = configuration["version"]
            self.record.line(f"operator puts r{version} at {hub.name}: {answer.status}")
            if answer.status == 200:
                return
            if answer.status < 500:
                raise CannotRunError(
                    f"configuration refused: {answer.status} {answer.body!r}"
                )
            await asyncio.sleep(0.2)
        raise CannotRunError("the configuration is never acknowledged")

    def stop(self):
        """End every process that was started, and remove the temporary folder."""
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
        for machine in self.machines:
            if machine.process is not None:
                machine.process.wait()
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def configuration(version, routes, services, base=0):
    """Return a configuration in the project's own shape (deploy/wire.toml)."""
    return {
        "version": version,
        "base": base,
        "routes": routes,
        "services": {
            name: {
                "health_path": "/health",
                "connections": 130,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_milliseconds": 3000,
            "idle_timeout_milliseconds": 15000,
        },
    }


def route(host, prefix, service, runs, *, timeout, target, attempts=2, priority=1):
    """Return one route of a configuration."""
    return {
        "host": host,
        "path_prefix": prefix,
        "runs": runs,
        "timeout_milliseconds": timeout,
        "target_latency_milliseconds": target,
        "priority": priority,
        "service": service,
        "attempts": attempts,
    }


# --- HTTP of the clients ----------------------------------------------------------------


class Answer:
    """An answer as a client sees it; ``is_whole`` tells whether all of it came."""

    def __init__(self, status, headers, body, is_whole):
        self.status, self.headers, self.body, self.is_whole = (
            status,
            headers,
            body,
            is_whole,
        )


async def read_answer(reader):
    """Read one answer; raise EOFError if not even its head came."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as problem:
        raise EOFError("closed without an answer") from problem
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
    body = b""
    try:
        if "content-length" in headers:
            length = int(headers["content-length"])
            while len(body) < length:
                piece = await reader.read(min(65536, length - len(body)))
                if not piece:
                    return Answer(status, headers, body, False)
                body += piece
        elif headers.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                body += (await reader.readexactly(size + 2))[:size]
                if size == 0:
                    break
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer(status, headers, body, False)
    return Answer(status, headers, body, True)


def request_bytes(method, target, headers, body):
    """Return the bytes of one request."""
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines += [f"{name}: {value}".encode() for name, value in headers.items()]
    if body or method in (b"POST", b"PUT"):
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


async def ask(address, method, target, headers, body, seconds):  # noqa: PLR0917
    """Send one request on a new connection; return its answer."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(seconds):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            all_headers = {"Host": address, **headers}
            writer.write(request_bytes(method, target, all_headers, body))
            return await read_answer(reader)
        finally:
            writer.transport.abort()


def new_id():
    """Return an id for one client attempt."""
    return f"{random.getrandbits(64):016x}"


class Payouts:
    """A client on one machine that sends unsafe requests at a steady rate."""

    def __init__(self, world, node, per_second):
        self.world, self.node, self.per_second = world, node, per_second
        self.answers = {}

    async def send(self, until):
        """Send requests until then; wait for their answers."""
        tasks = []
        while time.monotonic() < until:
            tasks.append(asyncio.create_task(self._one()))
            await asyncio.sleep(1.0 / self.per_second)
        await asyncio.gather(*tasks)

    async def _one(self):
        request = new_id()
        headers = {
            "Host": "kassa.example",
            "X-Peppershore-Attempt-Id": request,
            "X-Peppershore-Deadline-Remaining": "5000",
        }
        record = self.world.record
        record.line(f"client at {self.node.name} sends {request}")
        target = b"/pay/" + request.encode()
        address = self.node.port("outbound")
        try:
            answer = await ask(address, b"POST", target, headers, b"x" * 400, 5.5)
            seen = str(answer.status) if answer.is_whole else f"{answer.status}, cut"
        except (OSError, TimeoutError, EOFError) as problem:
            seen = type(problem).__name__
        self.answers[request] = seen
        record.line(f"client at {self.node.name}: {request} answered {seen}")


def _empty(status, request, field):
    lines = [f"HTTP/1.1 {status}", f"X-Peppershore-Attempt-Id: {request}", field]
    return "\r\n".join([*lines, "Content-Length: 0", "", ""]).encode()


# --- upstreams --------------------------------------------------------------------------


class Run:
    """One request that an upstream began, or refused, with the moment it came."""

    def __init__(self, request, what, deadline):
        self.request, self.what, self.deadline = request, what, deadline
        self.came_at = time.monotonic()
        self.ended = ""


class Upstream:
    """An upstream of PROTOCOL.md: runs requests, sends heartbeats, keeps a record."""

    def __init__(self, machine, name, *, slots=18, work=0.29, body=400, queue=72):
        self.machine, self.name, self.slots, self.work = machine, name, slots, work
        self.body, self.queue = body, queue
        self.runs = []
        self.state = "ready"
        self.sequence = 0
        self.acked_draining_at = None
        self.heartbeats = True
        self._busy = 0
        self._waiting = 0
        self._free = asyncio.Condition()
        self._server = None
        self._beat = None
        self._tasks = set()

    @property
    def record(self):
        """The record of the case."""
        return self.machine.world.record

    async def start(self):
        """Serve at the machine's application address and begin to send heartbeats."""
        host, _, port = self.machine.port("application").rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), reuse_address=True, backlog=512
        )
        self.record.line(f"upstream {self.name} starts at {host}")
        if self.heartbeats:
            self._beat = asyncio.create_task(self._send_beats())

    def stop_beats(self):
        """Send no more heartbeats by itself."""
        if self._beat is not None:
            self._beat.cancel()

    def crash(self, what="crashes"):
        """End at once, without a word; connections are reset."""
        self.record.line(f"upstream {self.name} {what}")
        self.stop_beats()
        if self._server is not None:
            self._server.close()
        for task, writer in list(self._tasks):
            writer.transport.abort()
            task.cancel()
        for run in self.runs:
            if run.what == "runs" and not run.ended:
                run.ended = "cut by the end of the upstream"

    def beat_bytes(self):
        """Return the next heartbeat as the bytes of a request."""
        self.sequence += 1
        body = json.dumps(
            {
                "service": self.machine.service,
                "address": self.machine.port("application"),
                "zone": self.machine.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "warming_milliseconds": 0,
                "sequence": self.sequence,
            }
        ).encode()
        headers = {
            "Host": self.machine.port("controlPlane"),
            "Content-Type": "application/json",
        }
        target = f"/back-ends/{self.name}/heartbeat".encode()
        return request_bytes(b"POST", target, headers, body)

    async def beat(self, delay=0.0):
        """Send one heartbeat, which arrives ``delay`` seconds late; return its status."""
        state, request = self.state, self.beat_bytes()
        if delay:
            self.record.line(
                f"heartbeat {self.sequence} of {self.name} ({state}) is held up"
            )
            await asyncio.sleep(delay)
        status = await self._deliver(request)
        self.record.line(f"heartbeat of {self.name} ({state}) arrives: {status}")
        if state == "draining" and status == 200 and self.acked_draining_at is None:
            self.acked_draining_at = time.monotonic()
        return status

    async def deregister(self):
        """Say that this upstream is gone; return the status."""
        headers = {"Host": self.machine.port("controlPlane")}
        target = f"/back-ends/{self.name}/gone".encode()
        status = await self._deliver(request_bytes(b"POST", target, headers, b""))
        self.record.line(f"deregister of {self.name}: {status}")
        if status == 200 and self.acked_draining_at is None:
            self.acked_draining_at = time.monotonic()
        return status

    async def _deliver(self, request):
        host, _, port = self.machine.port("controlPlane").rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    writer.write(request)
                    return (await read_answer(reader)).status
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError, EOFError):
            return 0

    async def _send_beats(self):
        while True:
            await self.beat()
            await asyncio.sleep(1.5)

    async def _serve(self, reader, writer):
        entry = (asyncio.current_task(), writer)
        self._tasks.add(entry)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._tasks.discard(entry)
            writer.close()

    async def _serve_one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        body = await self._read_body(reader, headers)
        del body
        request = headers.get("x-peppershore-attempt-id", "")
        expected = headers.get("x-peppershore-expected-instance", self.name)
        deadline = int(headers.get("x-peppershore-deadline-remaining", "0"))
        if expected != self.name:
            self._note(Run(request, "421", deadline))
            named = f"X-Peppershore-Instance-Id: {self.name}"
            writer.write(_empty("421 Misdirected Request", request, named))
            return True
        if self._waiting >= self.queue:
            self._note(Run(request, "full", deadline))
            named = "X-Peppershore-Not-Executed: 1"
            writer.write(_empty("503 Service Unavailable", request, named))
            return True
        return await self._run(Run(request, "runs", deadline), writer)

    async def _run(self, run, writer):
        self._note(run)
        self._waiting += 1
        async with self._free:
            await self._free.wait_for(lambda: self._busy < self.slots)
            self._waiting -= 1
            self._busy += 1
        try:
            await asyncio.sleep(self.work)
        finally:
            self._busy -= 1
            async with self._free:
                self._free.notify(1)
        if writer.transport.is_closing():
            run.ended = "caller gone"
            return False
        return await self.answer(run, writer)

    async def answer(self, run, writer):
        """Write the answer to a run; return whether the connection goes on."""
        body = (run.request * (self.body // 16 + 1))[: self.body].encode()
        load = f"{self._busy},{self._waiting},{self.slots}"
        writer.write(
            (
                f"HTTP/1.1 200 OK\r\nX-Peppershore-Attempt-Id: {run.request}\r\n"
                f"X-Peppershore-Server-Signature: {self.name}.{run.request}\r\n"
                f"X-Peppershore-Server-Load: {load}\r\nContent-Length: {len(body)}\r\n\r\n"
            ).encode()
            + body
        )
        await writer.drain()
        run.ended = "answered 200"
        return True

    def _note(self, run):
        self.runs.append(run)
        self.record.line(
            f"upstream {self.name}: {run.request} {run.what}, deadline {run.deadline} ms"
        )

    @staticmethod
    async def _read_body(reader, headers):
        if "content-length" in headers:
            return await reader.readexactly(int(headers["content-length"]))
        if headers.get("transfer-encoding") == "chunked":
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                body += (await reader.readexactly(size + 2))[:size]
                if size == 0:
                    return body
        return b""


def main(folder, case):
    """Run a case; ``case(world_folder)`` returns the exit status."""
    try:
        status = asyncio.run(asyncio.wait_for(case(folder), 110.0))
    except Exception:  # an exit with 1 would say that the rule was broken
        traceback.print_exc()
        status = NOT_RUN
    sys.exit(status)
