"""Messages that carry what back ends of a service under roll-out showed.

From the node beside a back end to its relay, to the replica that this follows, to the
leader.  Counts grow from the begin of the roll-out, so that a lost or late message only
delays what the next one tells as well.
"""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.base import Message


class RouteEvidence(msgspec.Struct, frozen=True, array_like=True):
    """What calls of one route came to at one back end.

    ``times`` are pairs of a bucket of ``request.version_evidence`` and a count, one
    after the other.
    """

    route: str
    calls: int
    failed: int
    times: tuple[int, ...] = ()


class BackEndEvidence(msgspec.Struct, frozen=True, array_like=True):
    """All that one back end showed since a roll-out of its service began.

    ``began_milliseconds`` names the roll-out, ``version`` is the software the back end
    runs; (``incarnation``, ``number``) orders what one node tells.
    """

    node: str
    service: str
    version: str
    began_milliseconds: int
    incarnation: int
    number: int
    routes: tuple[RouteEvidence, ...]


class EvidenceTold(Message, frozen=True, tag=28):
    """A node tells its relay."""

    evidence: BackEndEvidence


class EvidenceShared(Message, frozen=True, tag=56):
    """A relay tells the replica that it follows."""

    evidence: BackEndEvidence


class EvidencePassed(Message, frozen=True, tag=84):
    """A replica tells the leader."""

    evidence: BackEndEvidence
