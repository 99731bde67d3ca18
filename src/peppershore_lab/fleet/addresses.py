"""Loopback addresses of a fleet: one IP of 127.0.0.0/8 for each process.

A fleet takes a whole /24 that no other fleet listens in, so that the ports
can be the same for every process and never clash with outgoing connections.
"""

from __future__ import annotations

import random
import socket

FIRST_SECOND_OCTET = 16
LAST_SECOND_OCTET = 250
HOSTS_PER_BLOCK = 254
GUARD_PORT = 6_999
MAX_TRIES = 100

LINK_PORT = 7_000
INTERNAL_PORT = 7_001
ADMIN_PORT = 7_002
HTTP_PORT = 7_003


class AddressBlock:
    """A /24 of loopback addresses held by this process until ``close``."""

    def __init__(self, generator: random.Random | None = None) -> None:
        """Take a free block; a bound guard socket keeps other fleets out."""
        self._generator = generator or random.Random()
        self._used = 1
        self.prefix, self._guard = self._take_block()

    def next_host(self) -> str:
        """Give an IP not given before."""
        assert self._used < HOSTS_PER_BLOCK, "a fleet has at most 253 processes"
        self._used += 1
        return f"{self.prefix}.{self._used}"

    def close(self) -> None:
        """Let other fleets have the block."""
        self._guard.close()

    def _take_block(self) -> tuple[str, socket.socket]:
        for _ in range(MAX_TRIES):
            second = self._generator.randint(FIRST_SECOND_OCTET, LAST_SECOND_OCTET)
            third = self._generator.randint(0, 255)
            prefix = f"127.{second}.{third}"
            guard = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            try:
                guard.bind((f"{prefix}.1", GUARD_PORT))
            except OSError:
                guard.close()
                continue
            return prefix, guard
        raise AssertionError("no free block of loopback addresses")
