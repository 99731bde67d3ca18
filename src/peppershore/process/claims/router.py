"""Claims client over several groups, which sends each key to the groups that hold it."""

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
        """Wait, at most ``seconds``, until all completions and releases are stored."""

    async def close(self) -> None:
        """Close the links and cancel the timers."""


class ClaimsRouter:
    """A ``ClaimsClient`` over the clients of several groups, by their names."""

    def __init__(self, layout: ClaimsLayout, clients: Mapping[str, GroupClient]) -> None:
        """Use these clients, one for each group of the layout by its name."""
        assert layout.groups.keys() == clients.keys()
        self._layout = layout
        self._clients = clients

    async def claim(
        self, key: str, attempt: str, seconds: float
    ) -> Result[ClaimGranted, ClaimDenied]:
        """Claim the key in all of its groups, one after another; all must grant it.

        If one of them does not, release the claims granted before and return its reason.
        """
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
        """Store the answer in all groups of the key; does not wait."""
        for name in self._layout.groups_of(key):
            self._clients[name].complete(key, attempt, answer)

    def release(self, key: str, attempt: str) -> None:
        """Release the claim in all groups of the key; does not wait."""
        self._release_in(self._layout.groups_of(key), key, attempt)

    async def settle(self, seconds: float) -> None:
        """Wait, at most ``seconds``, until all completions and releases are stored."""
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
