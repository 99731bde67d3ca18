"""Refusals that a caller takes as final need a configuration confirmed lately.

A node that was not told for long of a quorum's confirmation may lack a route, a limit
or a key that is in force.  It goes on serving by what it holds, for that is better than
nothing while no quorum is left; but what it would refuse for good it only puts off.
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
"""A node without confirmations finds a relay that has them within about this time."""
NOT_CONFIRMED = NotRun(
    STATUS_UNAVAILABLE, "configuration-not-confirmed", RETRY_AFTER_MILLISECONDS
)


class RefusalBound(msgspec.Struct, frozen=True):
    """How old a confirmation may be, in seconds, for a refusal that is final.

    What was confirmed within the time in which a change comes into force lacks nothing
    that must be in force by now.
    """

    seconds: float

    def allows(self, age_seconds: float) -> bool:
        """Tell whether a final refusal may go by a configuration of this age."""
        return age_seconds <= self.seconds

    def judged(self, refusal: NotRun, age_seconds: float) -> NotRun:
        """Give the refusal, or the one to come again in place of a final one."""
        if refusal.status in FINAL_STATUSES and not self.allows(age_seconds):
            return NOT_CONFIRMED
        return refusal
