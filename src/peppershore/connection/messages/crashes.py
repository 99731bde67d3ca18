"""Messages about requests under which back ends ended: nodes, relays, and back."""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.base import Message
from peppershore.version.hidden import describe


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """One request and the lives of back ends that ended under it.

    ``identity`` is the digest of its head, ``key`` that of all of it
    (``request.fingerprint``).  A higher ``generation`` replaces a lower one, with all lives
    that it names; of one generation lives add up.  ``age_milliseconds`` counts from the
    last end.
    """

    identity: bytes
    key: bytes
    generation: int
    lives: tuple[str, ...]
    age_milliseconds: int

    def __repr__(self) -> str:
        """Show of bytes only how many there are."""
        return describe(self)


class CrashesTold(Message, frozen=True, tag=160):
    """What the sender knows of these requests."""

    records: tuple[CrashRecord, ...]


class CrashesDigest(Message, frozen=True, tag=161):
    """Anti-entropy between relays: digest of all that the sender knows."""

    digest: int
