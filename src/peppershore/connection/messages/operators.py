"""Messages between an operator's commands and the control replicas."""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.base import Message
from peppershore.connection.messages.relay import CommittedEdit, LaggingNode
from peppershore.version.model import Edit, EditOutcome, Figure, Tree, Version


class SubmitEdit(Message, frozen=True, tag=90):
    """An operator's edit."""

    edit: Edit


class EditAnswered(Message, frozen=True, tag=91):
    """The outcome of a submitted edit."""

    outcome: EditOutcome


class NotLeader(Message, frozen=True, tag=92):
    """This replica can't answer; ``leader`` is an address or empty if unknown.

    ``undecided``: the edit was proposed and may still be accepted; the sender
    learns its outcome by sending it again with the same change id.
    """

    leader: str
    undecided: bool = False


class TreeQuery(Message, frozen=True, tag=93):
    """Ask for the tree at a version (0: the newest, confirmed by a quorum)."""

    version: Version = 0


class TreeAnswered(Message, frozen=True, tag=94):
    """The tree asked for."""

    tree: Tree


class HistoryQuery(Message, frozen=True, tag=95):
    """Ask for the accepted edits after a version, newest last."""

    after_version: Version
    limit: int


class HistoryAnswered(Message, frozen=True, tag=96):
    """Accepted edits; ``first_version`` is the oldest kept."""

    edits: tuple[CommittedEdit, ...]
    first_version: Version


class StatusQuery(Message, frozen=True, tag=97):
    """Ask for the state of the replicas, the relays and the rollout."""


class ReplicaStatus(msgspec.Struct, frozen=True, array_like=True):
    """One replica as the answering replica sees it."""

    replica: str
    address: str
    role: str
    term: int
    match_version: Version
    voter: bool


class RelayStatus(msgspec.Struct, frozen=True, array_like=True):
    """One relay as the control group sees it.

    ``settled``: as in ``ProgressReported``; while false, ``in_force`` does not rise.
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

    It is 0 while ``relays_awaited``, which other relays name, have not reported.
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
    """Ask for a ``StatusAnswered`` at every change of progress until in force."""

    version: Version


class MembershipChange(Message, frozen=True, tag=100):
    """Add (as a learner, then voter) or remove a replica."""

    action: str
    replica: str
    address: str


class MembershipAnswered(Message, frozen=True, tag=101):
    """Outcome of a membership change; ``problem`` is empty on success."""

    problem: str


class TenantUsageQuery(Message, frozen=True, tag=102):
    """Ask the leader how tenants use their limits."""


class TenantUsage(msgspec.Struct, frozen=True, array_like=True):
    """One tenant with a limit: ``rate_per_second`` calls, and ``burst`` on top.

    ``used_per_second``: calls granted in the last whole window.  ``admitted`` calls were
    granted since this leader began, ``refused`` ones refused by the limit, as far as nodes
    told by now.  ``is_binding``: the limit refused calls in the last seconds.
    """

    tenant: str
    rate_per_second: Figure
    burst: Figure
    used_per_second: Figure = 0.0
    admitted: int = 0
    refused: int = 0
    is_binding: bool = False


class TenantUsageAnswered(Message, frozen=True, tag=103):
    """The leader's counts of ``seconds``; not ``is_counted``: no limit is counted here."""

    replica: str
    is_counted: bool
    seconds: Figure
    tenants: tuple[TenantUsage, ...]
