"""Messages between nodes and the claims replicas."""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.base import Message
from peppershore.version.hidden import describe

DEFAULT_HORIZON_SECONDS = 86_400


class ClaimRequest(Message, frozen=True, tag=120):
    """Request to be the only attempt that may run the call with idempotency key ``key``.

    ``attempt`` names the requesting attempt; a repeated request with the same name
    receives the first reply again.
    """

    request: int
    key: str
    attempt: str


class ClaimGranted(Message, frozen=True, tag=121):
    """The attempt holds the claim, which a quorum has written to disk.

    ``horizon_seconds`` is the minimum time for which the group retains records.
    """

    request: int
    horizon_seconds: int = DEFAULT_HORIZON_SECONDS


class KeptAnswer(msgspec.Struct, frozen=True, array_like=True):
    """An answer stored for callers that retry the same call."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def __repr__(self) -> str:
        """Show only the lengths of byte strings, not their content."""
        return describe(self)


class ClaimTaken(Message, frozen=True, tag=122):
    """Another attempt holds the claim.

    ``answer`` is its stored answer; None means that its outcome is unknown.
    """

    request: int
    answer: KeptAnswer | None


class ClaimRefused(Message, frozen=True, tag=123):
    """No claim was recorded; ``reason``: "full", "no quorum", "not leader"."""

    request: int
    reason: str
    leader: str = ""


class ClaimCompleted(Message, frozen=True, tag=124):
    """Request to store a finished attempt's ``answer``, which is None if too large."""

    request: int
    key: str
    attempt: str
    answer: KeptAnswer | None


class ClaimReleased(Message, frozen=True, tag=125):
    """Release of a claim whose attempt provably did not run: others may claim the call."""

    request: int
    key: str
    attempt: str


class ClaimNoted(Message, frozen=True, tag=126):
    """A quorum has written a ``ClaimCompleted`` or ``ClaimReleased`` to disk."""

    request: int
