"""Asyncio interface of the claims client, used by the data plane."""

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
    """Runs a ``ClaimClientCore`` and holds a future for each claim it waits for."""

    def __init__(
        self,
        addresses: tuple[str, ...],
        notice_sink: NoticeSink,
        client_tls: ssl.SSLContext | None = None,
        authorize: Authorize = allow_all,
    ) -> None:
        """Store the replicas' addresses; the first request opens a connection.

        ``authorize`` refuses messages that a peer's certificate does not allow.
        """
        self.client = ClaimClientCore(addresses, secrets.randbits(SEED_BITS))
        super().__init__(self.client, notice_sink, client_tls, authorize=authorize)
        self._requests = itertools.count(1)
        self._all_answered = asyncio.Event()
        self._all_answered.set()
        self._waiting: dict[int, asyncio.Future[WantOutcome]] = {}
        self.handle(FinishWant, self._finish_want)

    async def claim(
        self, key: str, attempt: str, seconds: float
    ) -> Result[ClaimGranted, ClaimDenied]:
        """Request the claim on ``key`` for ``attempt``; wait at most ``seconds``."""
        request = next(self._requests)
        future: asyncio.Future[WantOutcome] = asyncio.get_running_loop().create_future()
        self._waiting[request] = future
        self.dispatch(ClaimWanted(request, key, attempt, self.now + seconds))
        return _as_result(await future)

    def complete(self, key: str, attempt: str, answer: KeptAnswer | None) -> None:
        """Store the answer for callers that retry the call; does not wait."""
        self.dispatch(CompletionWanted(next(self._requests), key, attempt, answer))

    def release(self, key: str, attempt: str) -> None:
        """Release the claim of an attempt that provably did not run; does not wait."""
        self.dispatch(ReleaseWanted(next(self._requests), key, attempt))

    async def settle(self, seconds: float) -> None:
        """Wait, at most ``seconds``, until all completions and releases are stored.

        Used before a planned stop.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._all_answered.wait()

    def dispatch(self, event: events.Event) -> None:
        """Pass an event to the core; update whether messages are still unanswered."""
        super().dispatch(event)
        if self.client.pending:
            self._all_answered.clear()
        else:
            self._all_answered.set()

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
