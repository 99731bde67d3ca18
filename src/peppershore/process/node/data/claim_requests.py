"""The claims of one node's calls: requested in the background, completed or released."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from returns.result import Result

from peppershore.connection.messages.claims import KeptAnswer
from peppershore.request.claim import ClaimDenied, ClaimGranted, ClaimsClient

ClaimSink = Callable[[str, Result[ClaimGranted, ClaimDenied]], None]


class ClaimRequests:
    """Passes claims to the claims group, if the node has one."""

    def __init__(self) -> None:
        """Start without a client of a claims group."""
        self.client: ClaimsClient | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def claim(self, key: str, attempt: str, seconds: float, sink: ClaimSink) -> None:
        """Claim ``key`` for ``attempt``, waiting at most ``seconds``.

        ``sink`` receives the key and the result later.
        """
        assert self.client is not None
        work = self._claim(self.client, key, attempt, seconds, sink)
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def complete(self, key: str, attempt: str, answer: KeptAnswer | None) -> None:
        """Store the answer of a claimed call; None if it is too long to store."""
        if self.client is not None:
            self.client.complete(key, attempt, answer)

    def release(self, key: str, attempt: str) -> None:
        """Release the claim of a call that has not run."""
        if self.client is not None:
            self.client.release(key, attempt)

    def close(self) -> None:
        """Cancel the claims that are being requested."""
        for task in self._tasks:
            task.cancel()

    async def _claim(
        self, client: ClaimsClient, key: str, attempt: str, seconds: float, sink: ClaimSink
    ) -> None:
        sink(key, await client.claim(key, attempt, seconds))
