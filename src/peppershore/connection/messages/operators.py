"""Messages between operator commands and the control replicas."""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.base import Message
from peppershore.connection.messages.relay import CommittedEdit, LaggingNode
from peppershore.version.model import Edit, EditOutcome, Figure, Tree, Version


class SubmitEdit(Message, frozen=True, tag=90):
    """Submission of an operator's edit."""

    edit: Edit


class EditAnswered(Message, frozen=True, tag=91):
    """Outcome of a submitted edit."""

    outcome: EditOutcome


class NotLeader(Message, frozen=True, tag=92):
    """This replica can't answer; ``leader`` is the leader's address, empty if unknown.

    ``undecided``: the edit was proposed and may still be accepted; the sender learns the
    outcome by retrying it with the same change id.
    """

    leader: str
    undecided: bool = False


class TreeQuery(Message, frozen=True, tag=93):
    """Request for the configuration tree at a version (0: the newest, quorum-confirmed)."""

    version: Version = 0


class TreeAnswered(Message, frozen=True, tag=94):
    """The requested configuration tree."""

    tree: Tree


class HistoryQuery(Message, frozen=True, tag=95):
    """Request for at most ``limit`` accepted edits after a version, newest last."""

    after_version: Version
    limit: int


class HistoryAnswered(Message, frozen=True, tag=96):
    """Accepted edits; ``first_version`` is the oldest version that is retained."""

    edits: tuple[CommittedEdit, ...]
    first_version: Version


class StatusQuery(Message, frozen=True, tag=97):
    """Request for the state of the replicas, the relays and the roll-out."""


class ReplicaStatus(msgspec.Struct, frozen=True, array_like=True):
    """State of one replica as observed by the answering replica."""

    replica: str
    address: str
    role: str
    term: int
    match_version: Version
    voter: bool


class RelayStatus(msgspec.Struct, frozen=True, array_like=True):
    """State of one relay as known to the control group.

    ``settled`` is as in ``ProgressReported``; while it is false, ``in_force`` does not
    increase.
    """

    relay: str
    zone: str
    version: Version
    in_force: Version
    nodes: int
    lagging: tuple[LaggingNode, ...]
    control_bytes: int
    report_age_milliseconds: int
    settled: bool = True


class StatusAnswered(Message, frozen=True, tag=98):
    """State of the cluster; ``in_force`` is the minimum over the live relays.

    It is 0 while ``relays_awaited`` is not empty: relays that other relays name but that
    have not reported yet.
    """

    cluster: str
    replica: str
    leader: str
    version: Version
    in_force: Version
    replicas: tuple[ReplicaStatus, ...]
    relays: tuple[RelayStatus, ...]
    rotations: tuple[str, ...]
    relays_awaited: tuple[str, ...] = ()


class WatchRequest(Message, frozen=True, tag=99):
    """Request for a ``StatusAnswered`` whenever progress changes.

    The replies end when ``version`` is in force.
    """

    version: Version


class MembershipChange(Message, frozen=True, tag=100):
    """Request to add a replica (first as a learner, then as a voter) or to remove it."""

    action: str
    replica: str
    address: str


class MembershipAnswered(Message, frozen=True, tag=101):
    """Outcome of a membership change; ``problem`` is empty on success."""

    problem: str


class TenantUsageQuery(Message, frozen=True, tag=102):
    """Request to the leader for the usage of tenants' limits."""


class TenantUsage(msgspec.Struct, frozen=True, array_like=True):
    """Usage of one tenant whose limit is ``rate_per_second`` calls plus ``burst``.

    ``used_per_second``: rate of calls granted in the last complete window. Since this
    leader took over, ``admitted`` calls were granted and ``refused`` calls were refused
    by the limit, as far as nodes have reported. ``is_binding``: the limit refused calls in
    the last seconds.
    """

    tenant: str
    rate_per_second: Figure
    burst: Figure
    used_per_second: Figure = 0.0
    admitted: int = 0
    refused: int = 0
    is_binding: bool = False


class TenantUsageAnswered(Message, frozen=True, tag=103):
    """The leader's counts over ``seconds``; without ``is_counted`` it counts no limits."""

    replica: str
    is_counted: bool
    seconds: Figure
    tenants: tuple[TenantUsage, ...]
