"""Which requests the own back end runs now, by their ids, and on whose behalf.

Callers and the back end of one machine may share an address, so an address does not
tell whose call it is.  A back end that calls on for a request it runs gives the call
an id of its own that begins with the request's: ``parent.child``.
"""

from __future__ import annotations

import msgspec

CHILD_SEPARATOR = b"."


class _Run(msgspec.Struct):
    count: int
    tenant: str


class RunningCalls:
    """Ids of the requests that the own back end was given and has not ended."""

    def __init__(self) -> None:
        """Begin with none."""
        self._running: dict[bytes, _Run] = {}

    def began(self, request_id: bytes, tenant: str = "") -> None:
        """The back end was given a request; the same id may run more than once.

        Calls for an id that runs for two tenants count as the first one's.
        """
        run = self._running.setdefault(request_id, _Run(0, tenant))
        run.count += 1

    def ended(self, request_id: bytes) -> None:
        """A request that had begun is over."""
        run = self._running.get(request_id)
        assert run is not None, "a request ended that had not begun"
        run.count -= 1
        if not run.count:
            del self._running[request_id]

    def includes_parent_of(self, request_id: bytes) -> bool:
        """Tell whether a call is made for a request that runs."""
        return self.tenant_of_parent(request_id) is not None

    def tenant_of_parent(self, request_id: bytes) -> str | None:
        """Give the tenant of the running request that a call is made for, if it runs."""
        parent, separator, _ = request_id.rpartition(CHILD_SEPARATOR)
        run = self._running.get(parent) if separator else None
        return None if run is None else run.tenant


def may_be_child(request_id: bytes) -> bool:
    """Whether an id has the form of a call that is made for another one."""
    return CHILD_SEPARATOR in request_id
