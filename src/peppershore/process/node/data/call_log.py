"""Which calls of a node get a log line, and where the line goes."""

from __future__ import annotations

from collections.abc import Callable

import xxhash

from peppershore.process.commands import Notice


class CallLog:
    """Writes a line for every call that was not answered, and for some that were."""

    def __init__(self, write: Callable[[Notice], None], answered_every: int) -> None:
        """Of answered calls write each ``answered_every``-th (0: none)."""
        self.write = write
        self._answered_every = answered_every

    def takes_answered(self, request_id: bytes) -> bool:
        """Tell whether an answered call has a line: the same at every node it passes."""
        if self._answered_every == 0:
            return False
        return xxhash.xxh32_intdigest(request_id) % self._answered_every == 0
