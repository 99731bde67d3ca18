"""Messages by which calls of tenants that have a limit are granted.

Grants go down from the leader to relays and on to nodes, in answer to asks.  What was
granted and not used ends by itself: a grant counts for a bounded time from the moment at
which it was asked for, by the clock of whoever asked.
"""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.base import Message


class TenantAsk(msgspec.Struct, frozen=True, array_like=True):
    """So many calls of one tenant are wanted.

    ``refused``: calls that its limit refused since the ask before; only counted.
    """

    tenant: str
    calls: int
    refused: int = 0


class TenantGrant(msgspec.Struct, frozen=True, array_like=True):
    """So many calls of one tenant may be made.

    ``wait_milliseconds``: where fewer were granted than asked for, the limit gives one
    more after so long; 0 where nothing is missing.  ``ahead``: so many calls may a relay
    give before it asks for them, see ``QuotaGranted.epoch``.
    """

    tenant: str
    calls: int
    wait_milliseconds: int = 0
    ahead: int = 0


class QuotaAsked(Message, frozen=True, tag=170):
    """A node asks its relay, or a relay the group; ``number`` grows in a process's life.

    ``life`` tells the lives of a relay's process apart; a node's is 0.
    """

    number: int
    asks: tuple[TenantAsk, ...]
    life: int = 0


class QuotaGranted(Message, frozen=True, tag=171):
    """The answer to the ask of that number.

    The grants end ``lease_milliseconds`` after that ask was sent.  ``is_known`` is false
    where nobody can prove a turn to grant: nothing is granted then.  What was told of
    ``ahead`` counts as long as answers bear the same ``epoch``.
    """

    number: int
    grants: tuple[TenantGrant, ...]
    lease_milliseconds: int
    is_known: bool = True
    epoch: int = 0


class QuotaForwarded(Message, frozen=True, tag=172):
    """A replica passes an ask of a relay that follows it on to the leader.

    ``relay`` names one life of a relay.
    """

    relay: str
    number: int
    asks: tuple[TenantAsk, ...]


class QuotaReturned(Message, frozen=True, tag=173):
    """The leader's answer to a forwarded ask, for that relay."""

    relay: str
    granted: QuotaGranted
