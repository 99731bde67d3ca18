"""A back end and a caller for acceptance tests, by the standard library."""

from __future__ import annotations

import http.client
import threading
import time
from collections.abc import Mapping
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import msgspec

CALL_SECONDS = 15.0
OUTCOME_HEADER = "peppershore-outcome"


class Answer(msgspec.Struct, frozen=True):
    """What a caller got."""

    status: int
    body: str
    outcome: str


class PlainBackend:
    """Answers every request with its own name, after ``work_seconds``."""

    def __init__(self, name: str, host: str, port: int) -> None:
        self.address = f"{host}:{port}"
        self.runs = 0
        self.work_seconds = 0.0
        backend = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:
                backend.runs += 1
                time.sleep(backend.work_seconds)
                body = name.encode()
                self.send_response(200)
                self.send_header("content-length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_: object) -> None:
                pass

        self._server = ThreadingHTTPServer((host, port), Handler)
        self._server.daemon_threads = True
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def stop(self) -> None:
        self._server.shutdown()
        self._server.server_close()


def call(address: str, path: str, headers: Mapping[str, str] | None = None) -> Answer:
    """GET one path from a node."""
    connection = http.client.HTTPConnection(address, timeout=CALL_SECONDS)
    try:
        connection.request("GET", path, headers=dict(headers or {}))
        answer = connection.getresponse()
        body = answer.read().decode()
        return Answer(answer.status, body, answer.getheader(OUTCOME_HEADER, ""))
    finally:
        connection.close()


class Callers:
    """Call one path of several nodes over and over, on a thread each."""

    def __init__(
        self, addresses: list[str], path: str, headers: Mapping[str, str] | None = None
    ) -> None:
        self.answers: list[Answer] = []
        self.broken: list[str] = []
        self._path = path
        self._headers = headers
        self._over = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(address,)) for address in addresses
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._over.set()
        for thread in self._threads:
            thread.join()

    def _run(self, address: str) -> None:
        while not self._over.wait(0.01):
            try:
                self.answers.append(call(address, self._path, self._headers))
            except (OSError, http.client.HTTPException) as problem:
                self.broken.append(f"{address}: {problem!r}")
