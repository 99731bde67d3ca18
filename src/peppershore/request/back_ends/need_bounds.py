"""Times within which a need that a back end reports in its answers takes effect."""

from __future__ import annotations

import msgspec


class NeedBounds(msgspec.Struct, frozen=True):
    """Times, in seconds, within which a need of the back end takes effect.

    A back end that is leaving gets no new call after ``leaving_seconds``: until then, calls
    may be on their way. Its rate limit applies within ``limit_seconds``.
    """

    leaving_seconds: float = 1.0
    limit_seconds: float = 3.0


DEFAULT_BOUNDS = NeedBounds()
