"""Whether the back end's process ended, or only a connection to it.

Where a call breaks off, its back end is asked for a connection: a process that is there
takes one, one that has ended refuses.  Until that is known the call waits for its outcome.
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
"""An address of this machine answers within a millisecond; one that does not says nothing.
The calls that broke off wait for no longer, a small part of their target latency."""

Tell = Callable[[bool], None]
"""Hears whether the process has ended."""


class CrashWatch:
    """Looks after calls that break off at one back end."""

    def __init__(self, node: str, address: str) -> None:
        """Watch the process at ``address`` ("IP:port"), beside this node."""
        self.on_ended: Callable[[str, tuple[Suspect, ...]], None] = lambda life, under: None
        """Told of a life that ended without a word, and of what ran there."""
        self.life = ""
        self._address = address
        self._unnamed_lives = (f"{node}-{token_hex(4)}-{n}" for n in itertools.count(1))
        self._is_leaving = False
        self._has_ended = False
        self._well = RecentKeys()
        self._broken: list[tuple[Fingerprint, Tell]] = []
        self._probe: asyncio.Task[None] | None = None

    def begin_life(self, life: str) -> None:
        """Another life of the back end is there; it may have no name."""
        self.life = life
        self._is_leaving = False
        self._has_ended = False
        self._well = RecentKeys()

    def says_it_leaves(self) -> None:
        """Its end is planned from now on, and says nothing of what runs there."""
        self._is_leaving = True

    def broke_off(self, life: str, fingerprint: Fingerprint, tell: Tell) -> None:
        """A call of that life broke off; ``tell`` hears whether the process ended."""
        if life != self.life:
            tell(False)
            return
        self._broken.append((fingerprint, tell))
        if self._probe is None:
            loop = asyncio.get_running_loop()
            self._probe = loop.create_task(self._ask(life))

    def ended_well(self, fingerprint: Fingerprint) -> None:
        """A call was answered: the present life does not end under its like."""
        if fingerprint.is_known:
            self._well.add(fingerprint.key)

    def close(self) -> None:
        """Ask no more."""
        if self._probe is not None:
            self._probe.cancel()
            self._probe = None

    async def _ask(self, life: str) -> None:
        """Ask, or go by the answer of before; what breaks off together is told together."""
        has_ended = self._has_ended or await _refuses(self._address)
        self._probe = None
        self._has_ended = has_ended and life == self.life
        self._conclude(self._has_ended)

    def _conclude(self, has_ended: bool) -> None:
        broken, self._broken = self._broken, []
        if has_ended and not self._is_leaving:
            life = self.life or next(self._unnamed_lives)
            self.on_ended(life, self._suspects(broken))
        for _, tell in broken:
            tell(has_ended)

    def _suspects(self, broken: list[tuple[Fingerprint, Tell]]) -> tuple[Suspect, ...]:
        """Give the requests that may be the cause.

        Not those whose like this life answered before, nor one whose body was not in yet:
        it can't be known again.
        """
        known = [each for each, _ in broken if each.is_known and each.identity]
        return tuple(
            Suspect(each.identity, each.key) for each in known if each.key not in self._well
        )


async def _refuses(address: str) -> bool:
    """Whether nobody listens there; no answer says nothing."""
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
