"""Selection and output of call records in the log."""

from __future__ import annotations

from collections.abc import Callable

import xxhash

from peppershore.process.commands import Notice


class CallLog:
    """Logs every call that was not answered, and a sample of the answered calls."""

    def __init__(self, write: Callable[[Notice], None], answered_every: int) -> None:
        """Write call records with ``write``; of answered calls one of ``answered_every``.

        This is an average. If ``answered_every`` is 0, no answered call is logged.
        """
        self.write = write
        self._answered_every = answered_every

    def takes_answered(self, request_id: bytes) -> bool:
        """Return whether to log an answered call.

        The sample is taken by a hash of the request id, so that every node on the path of a
        call decides alike.
        """
        if self._answered_every == 0:
            return False
        return xxhash.xxh32_intdigest(request_id) % self._answered_every == 0
