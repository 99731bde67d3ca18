"""One claims client for all groups: each key goes to the group that keeps it."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Protocol

from returns.result import Failure, Result, Success

from peppershore.connection.messages.claims import KeptAnswer
from peppershore.process.claims.layout import ClaimsLayout
from peppershore.request.claim import (
    ClaimDenied,
    ClaimGranted,
    ClaimsClient,
    ClaimUnavailable,
)


class GroupClient(ClaimsClient, Protocol):
    """The client of one group."""

    async def settle(self, seconds: float) -> None:
        """Wait until all notes are on disk, at most so long."""

    async def close(self) -> None:
        """Close links and timers."""


class ClaimsRouter:
    """A ``ClaimsClient`` over the clients of several groups, by their names."""

    def __init__(self, layout: ClaimsLayout, clients: Mapping[str, GroupClient]) -> None:
        """Use one client for each group of the layout."""
        assert layout.groups.keys() == clients.keys()
        self._layout = layout
        self._clients = clients

    async def claim(
        self, key: str, attempt: str, seconds: float
    ) -> Result[ClaimGranted, ClaimDenied]:
        """Claim in every group that keeps the key; all must grant, else none counts."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        granted: list[str] = []
        horizons: list[int] = []
        for name in self._layout.groups_of(key):
            remaining = deadline - loop.time()
            if remaining <= 0.0:
                self._release_in(granted, key, attempt)
                return Failure(ClaimUnavailable("no claim before the deadline"))
            claimed = await self._clients[name].claim(key, attempt, remaining)
            if isinstance(claimed, Failure):
                self._release_in(granted, key, attempt)
                return claimed
            granted.append(name)
            horizons.append(claimed.unwrap().horizon_seconds)
        return Success(ClaimGranted(min(horizons)))

    def complete(self, key: str, attempt: str, answer: KeptAnswer | None) -> None:
        """Keep the answer in every group that keeps the key."""
        for name in self._layout.groups_of(key):
            self._clients[name].complete(key, attempt, answer)

    def release(self, key: str, attempt: str) -> None:
        """Give the claim back in every group that keeps the key."""
        self._release_in(self._layout.groups_of(key), key, attempt)

    async def settle(self, seconds: float) -> None:
        """Wait until all notes are on disk, at most so long."""
        await asyncio.gather(*(each.settle(seconds) for each in self._clients.values()))

    async def close(self) -> None:
        """Close the clients of all groups."""
        for client in self._clients.values():
            await client.close()

    def _release_in(
        self, names: tuple[str, ...] | list[str], key: str, attempt: str
    ) -> None:
        for name in names:
            self._clients[name].release(key, attempt)
