"""Messages that grant calls to tenants that have a limit.

In reply to requests, the leader grants calls to relays, and relays to nodes. A grant that
is not used expires by itself: it is valid for a bounded time from the moment of the
request, by the clock of the requester.
"""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.base import Message


class TenantAsk(msgspec.Struct, frozen=True, array_like=True):
    """Request for ``calls`` calls of one tenant.

    ``refused`` is the number of calls that the tenant's limit refused since the previous
    request; it is used for statistics only.
    """

    tenant: str
    calls: int
    refused: int = 0


class TenantGrant(msgspec.Struct, frozen=True, array_like=True):
    """Grant of ``calls`` calls of one tenant.

    ``wait_milliseconds``: if fewer calls were granted than requested, the time until the
    limit allows one more; 0 if all were granted. ``ahead`` is the number of calls that a
    relay may grant before it requests them; see ``QuotaGranted.epoch``.
    """

    tenant: str
    calls: int
    wait_milliseconds: int = 0
    ahead: int = 0


class QuotaAsked(Message, frozen=True, tag=170):
    """Request of a node to its relay, or of a relay to the control group.

    ``number`` increases during the lifetime of the requesting process. ``life``
    identifies the incarnation of a relay's process; it is 0 for a node.
    """

    number: int
    asks: tuple[TenantAsk, ...]
    life: int = 0


class QuotaGranted(Message, frozen=True, tag=171):
    """Reply to the request with this ``number``.

    The grants expire ``lease_milliseconds`` after that request was sent. ``is_known`` is
    false if no replica can prove that it is entitled to grant; nothing is granted then.
    The last received ``TenantGrant.ahead`` is valid while replies have the same ``epoch``.
    """

    number: int
    grants: tuple[TenantGrant, ...]
    lease_milliseconds: int
    is_known: bool = True
    epoch: int = 0


class QuotaForwarded(Message, frozen=True, tag=172):
    """A relay's request for calls, forwarded to the leader by the replica it follows.

    ``relay`` names one incarnation of a relay.
    """

    relay: str
    number: int
    asks: tuple[TenantAsk, ...]


class QuotaReturned(Message, frozen=True, tag=173):
    """The leader's reply to a forwarded request of ``relay``."""

    relay: str
    granted: QuotaGranted
