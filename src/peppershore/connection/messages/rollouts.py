"""Messages with the call results of back ends during a roll-out of their service.

The node next to a back end sends them to its relay, the relay to the replica that it
follows, and the replica to the leader. Counts are cumulative since the start of the
roll-out, so a lost or late message only delays information that the next one repeats.
"""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.base import Message


class RouteEvidence(msgspec.Struct, frozen=True, array_like=True):
    """Results of the calls of one route at one back end.

    ``times`` is a flat list of pairs: a bucket of ``request.version_evidence``, its count.
    """

    route: str
    calls: int
    failed: int
    times: tuple[int, ...] = ()


class BackEndEvidence(msgspec.Struct, frozen=True, array_like=True):
    """Call results of one back end since a roll-out of its service started.

    ``began_milliseconds``, the start of the roll-out, identifies it. ``version`` is the
    version of the back end's software. (``incarnation``, ``number``) orders the reports
    of one node.
    """

    node: str
    service: str
    version: str
    began_milliseconds: int
    incarnation: int
    number: int
    routes: tuple[RouteEvidence, ...]


class EvidenceTold(Message, frozen=True, tag=28):
    """Call results of a back end, reported by its node to a relay."""

    evidence: BackEndEvidence


class EvidenceShared(Message, frozen=True, tag=56):
    """Call results of a back end, forwarded by a relay to the replica that it follows."""

    evidence: BackEndEvidence


class EvidencePassed(Message, frozen=True, tag=84):
    """Call results of a back end, forwarded by a replica to the leader."""

    evidence: BackEndEvidence
