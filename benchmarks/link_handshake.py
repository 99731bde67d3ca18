"""Processor time of a mutual TLS handshake at the relay, which a herd pays for.

Run: ``python -m benchmarks.link_handshake [--output results/link_handshake.json]``

Handshakes run in memory with the product's contexts and certificates; only the
server's steps are counted.
"""

from __future__ import annotations

import ssl
import statistics
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import click
import msgspec

from benchmarks.measuring import Machine, command_of, machine_now, write_result
from peppershore.connection import certificates
from peppershore.connection.identity import SCHEME, parse_identity
from peppershore.connection.tls import TlsPaths, client_context, server_context

HANDSHAKES = 500
IDENTITIES = {"relay": "relay/r1", "node": "node/kassa/pasila/kassa-1"}


class Handshakes(msgspec.Struct, frozen=True):
    """The result; milliseconds of processor time at the server for one handshake."""

    command: str
    machine: Machine
    handshakes: int
    median_milliseconds: float
    p99_milliseconds: float
    herd_of_9000_seconds: float


class Side:
    """One end of a link in memory."""

    def __init__(self, context: ssl.SSLContext, is_server: bool) -> None:
        """Begin without bytes."""
        self.seconds = 0.0
        self.incoming = ssl.MemoryBIO()
        self.outgoing = ssl.MemoryBIO()
        self._secured = context.wrap_bio(
            self.incoming, self.outgoing, server_side=is_server
        )

    def step(self) -> bool:
        """Go on with the handshake; tell whether it is over."""
        started = time.process_time()
        is_over = _is_done(self._secured.do_handshake)
        self.seconds += time.process_time() - started
        return is_over


def _is_done(handshake: Callable[[], None]) -> bool:
    try:
        handshake()
    except ssl.SSLWantReadError:
        return False
    return True


def _server_seconds(server_tls: ssl.SSLContext, client_tls: ssl.SSLContext) -> float:
    server, client = Side(server_tls, True), Side(client_tls, False)
    are_over = (False, False)
    while not all(are_over):
        client_over = client.step()
        server.incoming.write(client.outgoing.read())
        server_over = server.step()
        client.incoming.write(server.outgoing.read())
        are_over = (client_over, server_over)
    return server.seconds


def _paths(folder: Path, name: str) -> TlsPaths:
    authority = certificates.load_authority(folder).unwrap()
    identity = parse_identity(f"{SCHEME}site/{IDENTITIES[name]}").unwrap()
    pem = str(certificates.issue(folder, authority, identity, days=1).unwrap())
    return TlsPaths(pem, pem, str(folder / certificates.AUTHORITY_CERTIFICATE))


@click.command()
@click.option("--output", type=click.Path(path_type=Path), default=None)
def main(output: Path | None) -> None:
    """Measure and write the result."""
    with tempfile.TemporaryDirectory() as folder:
        certificates.make_authority(Path(folder)).unwrap()
        server = server_context(_paths(Path(folder), "relay")).context
        client = client_context(_paths(Path(folder), "node")).context
        seconds = sorted(_server_seconds(server, client) for _ in range(HANDSHAKES))
    median = statistics.median(seconds)
    result = Handshakes(
        command=command_of("link_handshake"),
        machine=machine_now(),
        handshakes=HANDSHAKES,
        median_milliseconds=round(1_000 * median, 3),
        p99_milliseconds=round(1_000 * seconds[round(0.99 * (HANDSHAKES - 1))], 3),
        herd_of_9000_seconds=round(9_000 * median, 1),
    )
    write_result(result, output)


if __name__ == "__main__":
    main()
