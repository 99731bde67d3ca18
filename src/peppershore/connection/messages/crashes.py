"""Messages about requests during which back ends crashed.

Nodes send them to relays, relays to each other and back to nodes.
"""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.base import Message
from peppershore.version.hidden import describe


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """One request and the incarnations of back ends that crashed while running it.

    ``identity`` is the digest of the request's head, ``key`` that of the complete request
    (see ``request.fingerprint``). ``lives`` names the incarnations. A record of a higher
    ``generation`` replaces one of a lower generation together with its ``lives``; records
    of the same generation are merged by the union of their ``lives``.
    ``age_milliseconds`` is the time since the last crash.
    """

    identity: bytes
    key: bytes
    generation: int
    lives: tuple[str, ...]
    age_milliseconds: int

    def __repr__(self) -> str:
        """Show only the lengths of byte strings, not their content."""
        return describe(self)


class CrashesTold(Message, frozen=True, tag=160):
    """Crash records known to the sender."""

    records: tuple[CrashRecord, ...]


class CrashesDigest(Message, frozen=True, tag=161):
    """Anti-entropy between relays: digest of all crash records known to the sender."""

    digest: int
