"""The asyncio face of the claims client, as the data plane uses it."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import secrets
import ssl

from returns.result import Failure, Result, Success

from peppershore.connection.authorization import Authorize, allow_all
from peppershore.connection.messages.claims import KeptAnswer
from peppershore.process import events
from peppershore.process.claims.client_core import ClaimClientCore
from peppershore.process.claims.wants import (
    ClaimWanted,
    CompletionWanted,
    FinishWant,
    ReleaseWanted,
    WantGranted,
    WantOutcome,
    WantTaken,
)
from peppershore.process.shell import NoticeSink, Shell
from peppershore.request.claim import (
    ClaimDenied,
    ClaimGranted,
    ClaimTaken,
    ClaimUnavailable,
)

SEED_BITS = 63


class ClaimClientShell(Shell):
    """Drives a ``ClaimClientCore`` and keeps a future for each want."""

    def __init__(
        self,
        addresses: tuple[str, ...],
        notice_sink: NoticeSink,
        client_tls: ssl.SSLContext | None = None,
        authorize: Authorize = allow_all,
    ) -> None:
        """Know the replicas' addresses; connect at the first want.

        ``authorize`` refuses messages that a peer's certificate does not allow.
        """
        self.client = ClaimClientCore(addresses, secrets.randbits(SEED_BITS))
        super().__init__(self.client, notice_sink, client_tls, authorize=authorize)
        self._requests = itertools.count(1)
        self._settled = asyncio.Event()
        self._settled.set()
        self._waiting: dict[int, asyncio.Future[WantOutcome]] = {}
        self.handle(FinishWant, self._finish_want)

    async def claim(
        self, key: str, attempt: str, seconds: float
    ) -> Result[ClaimGranted, ClaimDenied]:
        """Ask for the claim on ``key``, for at most ``seconds``."""
        request = next(self._requests)
        future: asyncio.Future[WantOutcome] = asyncio.get_running_loop().create_future()
        self._waiting[request] = future
        self.dispatch(ClaimWanted(request, key, attempt, self.now + seconds))
        return _as_result(await future)

    def complete(self, key: str, attempt: str, answer: KeptAnswer | None) -> None:
        """Keep the answer for callers that send the call again; does not wait."""
        self.dispatch(CompletionWanted(next(self._requests), key, attempt, answer))

    def release(self, key: str, attempt: str) -> None:
        """Let the call be claimed again: this attempt provably did not run."""
        self.dispatch(ReleaseWanted(next(self._requests), key, attempt))

    async def settle(self, seconds: float) -> None:
        """Wait until all notes are on disk, for a planned stop, at most so long."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._settled.wait()

    def dispatch(self, event: events.Event) -> None:
        """Step the core; note whether anything is still on its way."""
        super().dispatch(event)
        if self.client.pending:
            self._settled.clear()
        else:
            self._settled.set()

    def _finish_want(self, command: FinishWant) -> None:
        future = self._waiting.pop(command.request, None)
        if future is not None and not future.done():
            future.set_result(command.outcome)


def _as_result(outcome: WantOutcome) -> Result[ClaimGranted, ClaimDenied]:
    if isinstance(outcome, WantGranted):
        return Success(ClaimGranted(outcome.horizon_seconds))
    if isinstance(outcome, WantTaken):
        return Failure(ClaimTaken(outcome.answer))
    return Failure(ClaimUnavailable(outcome.reason))
