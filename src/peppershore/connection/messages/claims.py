"""Messages between nodes and the claims replicas."""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.base import Message
from peppershore.version.hidden import describe

DEFAULT_HORIZON_SECONDS = 86_400


class ClaimRequest(Message, frozen=True, tag=120):
    """Ask to be the one attempt that may run the call named ``key``.

    ``attempt`` names the asking attempt; asking again with it gives the first
    answer again.
    """

    request: int
    key: str
    attempt: str


class ClaimGranted(Message, frozen=True, tag=121):
    """The attempt holds the claim; a quorum has it on disk.

    ``horizon_seconds`` is for how long the group keeps records at least.
    """

    request: int
    horizon_seconds: int = DEFAULT_HORIZON_SECONDS


class KeptAnswer(msgspec.Struct, frozen=True, array_like=True):
    """An answer kept for callers that send the same call again."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def __repr__(self) -> str:
        """Show of bytes only how many there are."""
        return describe(self)


class ClaimTaken(Message, frozen=True, tag=122):
    """Another attempt holds the claim.

    ``answer`` is its answer where that is kept; None means the outcome is not known.
    """

    request: int
    answer: KeptAnswer | None


class ClaimRefused(Message, frozen=True, tag=123):
    """No claim was recorded; ``reason``: "full", "no quorum", "not leader"."""

    request: int
    reason: str
    leader: str = ""


class ClaimCompleted(Message, frozen=True, tag=124):
    """Keep the answer of a finished attempt; ``answer`` None if it is too large."""

    request: int
    key: str
    attempt: str
    answer: KeptAnswer | None


class ClaimReleased(Message, frozen=True, tag=125):
    """The attempt provably did not run: the call may be claimed again."""

    request: int
    key: str
    attempt: str


class ClaimNoted(Message, frozen=True, tag=126):
    """A completion or release is on disk at a quorum."""

    request: int
