"""Distinguishes the exit of a back end's process from the loss of one connection to it.

When a call breaks off, its back end is probed with a new connection: a running process
accepts it, and the address of one that has exited refuses it. The outcome of the call is
reported once that is known.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from secrets import token_hex

from peppershore.request.fingerprint import Fingerprint
from peppershore.request.quarantine import Suspect
from peppershore.request.recent_keys import RecentKeys

PROBE_SECONDS = 0.25
"""Time-out of the probe. An address of this machine answers within a millisecond; a missing
answer proves nothing. The calls that broke off wait no longer than this, a small part of
their latency objective."""

ExitSink = Callable[[bool], None]
"""Receives whether the back end's process has exited."""


class CrashWatch:
    """Detects crashes of one back end from the calls that break off there."""

    def __init__(self, node: str, address: str) -> None:
        """Watch the process at ``address`` ("IP:port"), co-located with this node."""
        self.on_ended: Callable[[str, tuple[Suspect, ...]], None] = lambda life, under: None
        """Called with the name of an incarnation that ended without notice, and with the
        requests that may have caused it."""
        self.life = ""
        self._address = address
        self._generated_names = (f"{node}-{token_hex(4)}-{n}" for n in itertools.count(1))
        self._is_leaving = False
        self._has_ended = False
        self._answered_keys = RecentKeys()
        self._pending: list[tuple[Fingerprint, ExitSink]] = []
        self._probe_task: asyncio.Task[None] | None = None

    def begin_incarnation(self, life: str) -> None:
        """Watch a new incarnation of the back end; ``life``, its name, may be empty."""
        self.life = life
        self._is_leaving = False
        self._has_ended = False
        self._answered_keys = RecentKeys()

    def mark_leaving(self) -> None:
        """Treat an end from now on as planned: no request is suspected of it."""
        self._is_leaving = True

    def broke_off(self, life: str, fingerprint: Fingerprint, sink: ExitSink) -> None:
        """Report to ``sink`` whether the process exited, after a call to it broke off.

        False is reported at once if ``life`` is not the current incarnation.
        """
        if life != self.life:
            sink(False)
            return
        self._pending.append((fingerprint, sink))
        if self._probe_task is None:
            loop = asyncio.get_running_loop()
            self._probe_task = loop.create_task(self._run_probe(life))

    def record_answered(self, fingerprint: Fingerprint) -> None:
        """Record that this incarnation answered such a request: it is no suspect here."""
        if fingerprint.is_known:
            self._answered_keys.add(fingerprint.key)

    def close(self) -> None:
        """Stop probing."""
        if self._probe_task is not None:
            self._probe_task.cancel()
            self._probe_task = None

    async def _run_probe(self, life: str) -> None:
        """Probe, unless the process is known to have exited; then report the result.

        It is reported for all calls that broke off so far.
        """
        has_ended = self._has_ended or await _refuses_connections(self._address)
        self._probe_task = None
        self._has_ended = has_ended and life == self.life
        self._report_result(self._has_ended)

    def _report_result(self, has_ended: bool) -> None:
        pending, self._pending = self._pending, []
        if has_ended and not self._is_leaving:
            life = self.life or next(self._generated_names)
            self.on_ended(life, self._suspects(pending))
        for _, sink in pending:
            sink(has_ended)

    def _suspects(self, pending: list[tuple[Fingerprint, ExitSink]]) -> tuple[Suspect, ...]:
        """Return the requests that may have caused the exit.

        Left out are those that this incarnation answered before, and those whose body was
        not complete: such a request could not be recognized again.
        """
        known = [each for each, _ in pending if each.is_known and each.identity]
        return tuple(
            Suspect(each.identity, each.key)
            for each in known
            if each.key not in self._answered_keys
        )


async def _refuses_connections(address: str) -> bool:
    """Return whether connections are refused there; False if there is no answer."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(PROBE_SECONDS):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False
