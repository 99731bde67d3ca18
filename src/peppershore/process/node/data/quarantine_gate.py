"""Refuses requests during which back ends crashed before.

After some crashes a request is a suspect; after more it is held: refused for a time.
At the caller's node a held request is refused before it is sent. At the back end's local
node it is refused as well, in case the caller's node has not yet received the crash record.
Of the suspects, one at a time runs at a back end.
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
"""Upper bound of the retry advice: an operator may release the request in the meantime."""

RUNS_ALONE_MILLISECONDS = 250
"""Retry advice while another suspect runs: in most cases that one is over by then, either
answered or ended by a crash of the back end."""

MILLISECONDS = 1_000


class QuarantineGate:
    """Applies the quarantine in one node's data plane."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without records; ``clock`` returns monotonic seconds."""
        self.on_cleared: Callable[[bytes], None] = lambda key: None
        """Called with the fingerprint of a suspect once a back end has answered it.

        A suspect is a request under which back ends crashed.
        """
        self._clock = clock
        self._quarantine = Quarantine()
        self._running_suspects: set[bytes] = set()

    def use(self, records: tuple[CrashRecord, ...]) -> None:
        """Merge these crash records into those in use."""
        now = self._clock()
        for record in records:
            self._quarantine.merge(record, now)

    def tick(self, now: float) -> None:
        """Remove expired records."""
        self._quarantine.forget_old(now)

    # --- at the caller's node

    def awaits_body(self, fingerprint: Fingerprint) -> bool:
        """Return whether the body is needed to decide if a request has a crash record."""
        return not fingerprint.is_known and self._quarantine.concerns(fingerprint.identity)

    def concerns(self, fingerprint: Fingerprint) -> bool:
        """Return whether a crash record has this request's head; its body may differ."""
        return self._quarantine.concerns(fingerprint.identity)

    def refusal(self, fingerprint: Fingerprint) -> NotRun | None:
        """Return the refusal of a request that is held; None if it is not."""
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
        """Return the number of known crashes of back ends during a request."""
        if not self._may_concern(fingerprint):
            return 0
        return self._quarantine.crash_count(fingerprint.key)

    # --- at the back end's local node

    def refusal_here(self, fingerprint: Fingerprint) -> NotRun | None:
        """Return the refusal of a request that may not start at the back end now, or None.

        Besides a held request, this refuses a suspect while another suspect runs.
        """
        refusal = self.refusal(fingerprint)
        if refusal is None and self._is_suspect(fingerprint) and self._running_suspects:
            advice = RUNS_ALONE_MILLISECONDS
            refusal = NotRun(STATUS_UNAVAILABLE, RUNS_ALONE, advice, retryable=True)
        return refusal

    def began(self, fingerprint: Fingerprint) -> None:
        """Record that the back end starts to run a request."""
        if self._is_suspect(fingerprint):
            self._running_suspects.add(fingerprint.key)

    def over(self, fingerprint: Fingerprint) -> None:
        """Record that the back end no longer runs a request."""
        if self._running_suspects and fingerprint.is_known:
            self._running_suspects.discard(fingerprint.key)

    def record_answered(self, fingerprint: Fingerprint) -> None:
        """Report a suspect as cleared, because the back end answered it."""
        if self.ends(fingerprint):
            self.on_cleared(fingerprint.key)

    def _is_suspect(self, fingerprint: Fingerprint) -> bool:
        if not self._may_concern(fingerprint):
            return False
        return self._quarantine.standing(fingerprint.key, self._clock()) == "suspect"

    def _may_concern(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request may have a record; the head rules out most requests."""
        return fingerprint.is_known and self._quarantine.concerns(fingerprint.identity)
