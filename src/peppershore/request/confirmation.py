"""Final refusals require a configuration that was confirmed recently.

A node that has not received a quorum's confirmation for long may lack a route, a limit or a
key that is in force. It goes on serving with the configuration it holds, which is better
than not serving while there is no quorum. Refusals that a caller would treat as final
become temporary ones.
"""

from __future__ import annotations

import msgspec

from peppershore.request.outcome import (
    STATUS_BODY_TOO_LARGE,
    STATUS_FORBIDDEN,
    STATUS_NOT_FOUND,
    STATUS_UNAUTHORIZED,
    STATUS_UNAVAILABLE,
    NotRun,
)

FINAL_STATUSES = frozenset(
    (STATUS_UNAUTHORIZED, STATUS_FORBIDDEN, STATUS_NOT_FOUND, STATUS_BODY_TOO_LARGE)
)
RETRY_AFTER_MILLISECONDS = 500
"""Retry advice of a refusal that would be final if the configuration were confirmed. A node
without confirmations finds a relay that has them within about this time."""
NOT_CONFIRMED = NotRun(
    STATUS_UNAVAILABLE, "configuration-not-confirmed", RETRY_AFTER_MILLISECONDS
)


class RefusalBound(msgspec.Struct, frozen=True):
    """Maximum age, in seconds, of the confirmation on which a final refusal may be based.

    A change comes into force within this time, so a configuration confirmed this recently
    lacks nothing that must be in force.
    """

    seconds: float

    def allows(self, age_seconds: float) -> bool:
        """Report whether a final refusal may rely on a configuration of this age."""
        return age_seconds <= self.seconds

    def judged(self, refusal: NotRun, age_seconds: float) -> NotRun:
        """Return the refusal, or a temporary one if a final one may not be given yet."""
        if refusal.status in FINAL_STATUSES and not self.allows(age_seconds):
            return NOT_CONFIRMED
        return refusal
