"""What a node does with requests under which back ends ended.

At the caller's node what is held is refused before it is sent.  At the back end's own node
the same is refused once more, for a caller's node that has not heard yet, and of the
requests that are suspected one runs at a time.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from peppershore.connection.messages.crashes import CrashRecord
from peppershore.request.fingerprint import Fingerprint
from peppershore.request.outcome import (
    QUARANTINED,
    RUNS_ALONE,
    STATUS_UNAVAILABLE,
    NotRun,
)
from peppershore.request.quarantine import Quarantine

LONGEST_ADVICE_MILLISECONDS = 60_000
"""A caller is told to come back no later: an operator may let its request go meanwhile."""

RUNS_ALONE_MILLISECONDS = 250
"""The other one is over by then in most cases: it runs or ends its back end."""

MILLISECONDS = 1_000


class QuarantineGate:
    """The quarantine as one node's data plane heeds it."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Know of nothing; ``clock`` gives monotonic seconds."""
        self.on_cleared: Callable[[bytes], None] = lambda key: None
        """Told of a suspect that ended well."""
        self._clock = clock
        self._quarantine = Quarantine()
        self._running: set[bytes] = set()

    def use(self, records: tuple[CrashRecord, ...]) -> None:
        """Go by these records from now on."""
        now = self._clock()
        for record in records:
            self._quarantine.merge(record, now)

    def tick(self, now: float) -> None:
        """Forget what is old."""
        self._quarantine.forget_old(now)

    # --- at the caller's node

    def awaits_body(self, fingerprint: Fingerprint) -> bool:
        """Whether only its body tells whether a request is one that is known of."""
        return not fingerprint.is_known and self._quarantine.concerns(fingerprint.identity)

    def concerns(self, fingerprint: Fingerprint) -> bool:
        """Whether a request with this head is known of; its body may tell otherwise."""
        return self._quarantine.concerns(fingerprint.identity)

    def refusal(self, fingerprint: Fingerprint) -> NotRun | None:
        """Give the refusal of a request that is held."""
        if not self._may_concern(fingerprint):
            return None
        now, key = self._clock(), fingerprint.key
        if self._quarantine.standing(key, now) != "held":
            return None
        left = math.ceil(self._quarantine.hold_left_seconds(key, now) * MILLISECONDS)
        return NotRun(
            STATUS_UNAVAILABLE, QUARANTINED, min(left, LONGEST_ADVICE_MILLISECONDS)
        )

    def ends(self, fingerprint: Fingerprint) -> int:
        """Count the back ends that are known to have ended under a request."""
        if not self._may_concern(fingerprint):
            return 0
        return self._quarantine.ends(fingerprint.key)

    # --- at the back end's own node

    def refusal_here(self, fingerprint: Fingerprint) -> NotRun | None:
        """Give the refusal of a request that may not begin at the back end now."""
        refusal = self.refusal(fingerprint)
        if refusal is None and self._is_suspect(fingerprint) and self._running:
            advice = RUNS_ALONE_MILLISECONDS
            refusal = NotRun(STATUS_UNAVAILABLE, RUNS_ALONE, advice, retryable=True)
        return refusal

    def began(self, fingerprint: Fingerprint) -> None:
        """The back end begins to run a request."""
        if self._is_suspect(fingerprint):
            self._running.add(fingerprint.key)

    def over(self, fingerprint: Fingerprint) -> None:
        """The back end runs a request no more."""
        if self._running and fingerprint.is_known:
            self._running.discard(fingerprint.key)

    def ended_well(self, fingerprint: Fingerprint) -> None:
        """The back end answered a request: it is not the one that ends back ends."""
        if self.ends(fingerprint):
            self.on_cleared(fingerprint.key)

    def _is_suspect(self, fingerprint: Fingerprint) -> bool:
        if not self._may_concern(fingerprint):
            return False
        return self._quarantine.standing(fingerprint.key, self._clock()) == "suspect"

    def _may_concern(self, fingerprint: Fingerprint) -> bool:
        """Whether a request may be known of; most are told apart by their head alone."""
        return fingerprint.is_known and self._quarantine.concerns(fingerprint.identity)
