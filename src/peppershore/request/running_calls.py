"""Requests that the local back end runs now: ids, tenants, and which are repeats.

The back end and other callers on its machine may share an address, so an address does not
identify the caller. A back end that makes a call for a request that it runs gives the call
an id that begins with the request's: ``parent.child``.
"""

from __future__ import annotations

import msgspec

CHILD_SEPARATOR = b"."


class _Run(msgspec.Struct):
    count: int
    tenant: str
    is_repeat: bool = False
    has_failed_call: bool = False


class RunningCalls:
    """Ids of the requests that the local back end has received and not yet finished."""

    def __init__(self) -> None:
        """Start without requests."""
        self._running: dict[bytes, _Run] = {}

    def began(
        self, request_id: bytes, tenant: str = "", *, is_repeat: bool = False
    ) -> None:
        """Record that the back end received a request; the same id may run more than once.

        If an id runs for two tenants, calls made for it count as the first tenant's.
        ``is_repeat``: the request may have run before. Calls made for an id of which any
        run is a repeat count as calls of a repeat.
        """
        run = self._running.setdefault(request_id, _Run(0, tenant))
        run.count += 1
        run.is_repeat |= is_repeat

    def ended(self, request_id: bytes) -> None:
        """Record that a request has finished."""
        run = self._running.get(request_id)
        assert run is not None, "a request ended that had not begun"
        run.count -= 1
        if not run.count:
            del self._running[request_id]

    def includes_parent_of(self, request_id: bytes) -> bool:
        """Report whether a call is made for a request that is running."""
        return self.tenant_of_parent(request_id) is not None

    def tenant_of_parent(self, request_id: bytes) -> str | None:
        """Return the tenant of the running request that a call is made for, else None."""
        run = self._parent(request_id)
        return None if run is None else run.tenant

    def parent_is_repeat(self, request_id: bytes) -> bool:
        """Report whether the running request that a call is made for is a repeat."""
        run = self._parent(request_id)
        return run is not None and run.is_repeat

    def call_failed(self, request_id: bytes) -> None:
        """Record that a call failed for good, for the running request that it was for."""
        run = self._parent(request_id)
        if run is not None:
            run.has_failed_call = True

    def has_failed_call(self, request_id: bytes) -> bool:
        """Report whether a call that was made for a running request failed for good."""
        run = self._running.get(request_id)
        return run is not None and run.has_failed_call

    def _parent(self, request_id: bytes) -> _Run | None:
        parent, separator, _ = request_id.rpartition(CHILD_SEPARATOR)
        return self._running.get(parent) if separator else None


def may_be_child(request_id: bytes) -> bool:
    """Report whether an id has the form of a call that is made for another one."""
    return CHILD_SEPARATOR in request_id
