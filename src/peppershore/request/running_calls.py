"""Which requests the own back end runs now, by their ids.

Callers and the back end of one machine may share an address, so an address does not
tell whose call it is.  A back end that calls on for a request it runs gives the call
an id of its own that begins with the request's: ``parent.child``.
"""

from __future__ import annotations

from collections import Counter

CHILD_SEPARATOR = b"."


class RunningCalls:
    """Ids of the requests that the own back end was given and has not ended."""

    def __init__(self) -> None:
        """Begin with none."""
        self._running: Counter[bytes] = Counter()

    def began(self, request_id: bytes) -> None:
        """The back end was given a request; the same id may run more than once."""
        self._running[request_id] += 1

    def ended(self, request_id: bytes) -> None:
        """A request that had begun is over."""
        assert self._running[request_id] > 0, "a request ended that had not begun"
        self._running[request_id] -= 1
        if not self._running[request_id]:
            del self._running[request_id]

    def includes_parent_of(self, request_id: bytes) -> bool:
        """Tell whether a call is made for a request that runs."""
        parent, separator, _ = request_id.rpartition(CHILD_SEPARATOR)
        return bool(separator) and parent in self._running
