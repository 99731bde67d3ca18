"""Typed messages on the links between the system's own processes.

One frame carries one message, encoded as a MessagePack array whose first item
is the integer tag.  Tags are never reused.  Ranges: 1-19 session, 20-39
configuration to nodes, 40-49 endpoints, 50-69 relay and replica, 70-89
consensus, 90-119 operators, 120-139 claims, 140-159 calls between nodes.
"""

from __future__ import annotations

import enum

import msgspec

from peppershore.version.hidden import describe
from peppershore.version.model import (
    Digest,
    Edit,
    EditOutcome,
    Scope,
    Tree,
    Version,
)


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base of every message."""

    def __repr__(self) -> str:
        """Show of bytes only how many there are."""
        return describe(self)


# --- session -----------------------------------------------------------------


class Refused(Message, frozen=True, tag=1):
    """The peer will not serve this link; ``reason`` is a stable word."""

    reason: str
    detail: str = ""


class RetryAfter(Message, frozen=True, tag=2):
    """Admission control: come back after so many milliseconds."""

    milliseconds: int


class Goodbye(Message, frozen=True, tag=3):
    """A planned end of this link; the peer should move to another process."""

    reason: str


# --- configuration to nodes --------------------------------------------------


class NodeHello(Message, frozen=True, tag=20):
    """A node's first message: who it is and what it holds.

    ``floor`` is the highest version it ever held, from its disk; ``digest`` 0
    means it holds nothing.
    """

    cluster: str
    node: str
    incarnation: int
    scope: Scope
    version: Version
    digest: Digest
    floor: Version


class Current(Message, frozen=True, tag=21):
    """What has this digest is right up to ``version``: nothing to send.

    It names the digest because it can cross an update from another relay.
    """

    version: Version
    confirmed_age_milliseconds: int
    digest: Digest


class UpdateOffered(Message, frozen=True, tag=22):
    """New state for the node's scope, packed by ``update_packing``.

    ``confirmed_age_milliseconds`` says how long ago a quorum confirmed the
    version, by the relay's clock.
    """

    packed_update: bytes
    confirmed_age_milliseconds: int


class UpdateApplied(Message, frozen=True, tag=23):
    """The node holds and uses ``version``."""

    version: Version
    digest: Digest


class UpdateRefused(Message, frozen=True, tag=24):
    """The node kept what it had; the relay answers with full state."""

    version: Version
    reason: str


class Freshness(Message, frozen=True, tag=25):
    """Heartbeat of a relay: highest version this node has, in effect, and its age.

    ``confirmed_age_milliseconds`` grows while the relay is cut off from the quorum.
    """

    version: Version
    confirmed_age_milliseconds: int


class NodeAlive(Message, frozen=True, tag=26):
    """Heartbeat of a node, in answer to ``Freshness``: the version in effect."""

    version: Version


class RelayListed(msgspec.Struct, frozen=True, array_like=True):
    """A relay that nodes may use; ``zone`` is empty while it is not known."""

    name: str
    zone: str
    address: str


class RelaysListed(Message, frozen=True, tag=27):
    """A relay tells its nodes which relays there are, itself included."""

    relays: tuple[RelayListed, ...]


# --- endpoints ---------------------------------------------------------------


class Endpoint(msgspec.Struct, frozen=True, array_like=True):
    """One back end, as its own node reports it.

    Ordered by (incarnation, sequence) of its owner: a higher pair replaces a
    lower one whatever link it came on.  ``state``: "warming", "ready",
    "leaving", "gone".  ``address`` is the back end ("IP:port");
    ``owner_address`` its node's internal listener.  ``warming_milliseconds`` is for
    how much longer it was slow when it began to be ready; 0 where it does not say.
    """

    node: str
    service: str
    zone: str
    incarnation: int
    sequence: int
    state: str
    address: str
    owner_address: str
    slots: int
    connections: int
    warming_milliseconds: int = 0


class EndpointAnnounced(Message, frozen=True, tag=40):
    """A node reports its back end's state to its relay."""

    endpoint: Endpoint


class EndpointsChanged(Message, frozen=True, tag=41):
    """Endpoints that changed, to nodes that may call them and between relays.

    ``complete``: the list replaces all that the receiver knew of ``services``
    (empty: of every service).
    """

    endpoints: tuple[Endpoint, ...]
    complete: bool = False
    services: tuple[str, ...] = ()


class EndpointsPacked(Message, frozen=True, tag=47):
    """``EndpointsChanged`` as nodes are told of it, packed by ``endpoint_packing``."""

    packed: bytes


class RelayHello(Message, frozen=True, tag=42):
    """First message between two relays, and its answer."""

    cluster: str
    relay: str
    incarnation: int
    zone: str = ""


class EndpointDigest(Message, frozen=True, tag=43):
    """Anti-entropy: digest of the endpoints the sender vouches for, by buckets.

    Nodes fall into buckets by name.  ``hears`` names the relays the sender has
    heard within the lease.  ``confirmed_age_milliseconds`` says how long ago a
    quorum confirmed the sender's version; the default stands for never.
    """

    buckets: tuple[int, ...]
    hears: tuple[str, ...] = ()
    confirmed_age_milliseconds: int = 2**31 - 1


class EndpointBucketsWanted(Message, frozen=True, tag=44):
    """Anti-entropy: send the endpoints in these buckets."""

    buckets: tuple[int, ...]


class LeaseRenewed(Message, frozen=True, tag=45):
    """A relay vouches for its live sessions' endpoints in ``buckets``.

    Nodes of those buckets that are not named are no longer vouched for.
    """

    relay: str
    nodes_alive: tuple[str, ...]
    buckets: tuple[int, ...] = ()


class EndpointsHeld(Message, frozen=True, tag=46):
    """A node's digest of the endpoints it holds; the relay sends them if it differs."""

    digest: int


# --- relay and replica -------------------------------------------------------


class FollowRequest(Message, frozen=True, tag=50):
    """A relay asks for all committed edits after ``after_version``."""

    cluster: str
    relay: str
    zone: str
    after_version: Version


class TreeState(Message, frozen=True, tag=51):
    """The whole tree, for a relay that is too far behind the log."""

    tree: Tree


class CommittedEdit(msgspec.Struct, frozen=True, array_like=True):
    """One accepted edit and its version."""

    version: Version
    edit: Edit


class EditsCommitted(Message, frozen=True, tag=52):
    """Accepted edits in log order, without gaps in effect."""

    edits: tuple[CommittedEdit, ...]


class ConfirmRequest(Message, frozen=True, tag=53):
    """Ask which version a quorum confirms now (a read index)."""

    nonce: int


class ConfirmReply(Message, frozen=True, tag=54):
    """A quorum confirmed ``version`` after the request with this nonce was received."""

    nonce: int
    version: Version


class LaggingNode(msgspec.Struct, frozen=True, array_like=True):
    """A node that does not yet hold all of its scope, and why."""

    node: str
    service: str
    zone: str
    version: Version
    reason: str


class ProgressReported(Message, frozen=True, tag=55):
    """A relay's progress: every session holds all changes up to ``in_force``.

    ``lagging`` is a bounded sample; ``control_bytes`` counts what the relay
    sent to nodes since it started; ``nodes_by_service`` is not included here.

    ``incarnation`` names this life of the relay, without order; ``number`` counts
    its reports.  ``settled``: every node that the relay had in a former life, or
    before a pause, came back somewhere or counts as gone.  ``relays`` are this one
    and those it hears.  ``silent`` are nodes that left without a word and lack a
    change, the furthest behind first: a bounded sample, for rotations of secrets.
    """

    relay: str
    zone: str
    version: Version
    in_force: Version
    nodes: int
    lagging: tuple[LaggingNode, ...]
    control_bytes: int
    incarnation: int = 0
    settled: bool = True
    relays: tuple[str, ...] = ()
    number: int = 0
    silent: tuple[LaggingNode, ...] = ()


# --- consensus ---------------------------------------------------------------


class EntryKind(enum.IntEnum):
    """What a log entry means to the consensus core itself."""

    EMPTY = 0
    COMMAND = 1
    MEMBERSHIP = 2


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log; only a COMMAND payload is for the state machine."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes

    def __repr__(self) -> str:
        """Show of bytes only how many there are."""
        return describe(self)


class ReplicaMember(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A member of a consensus group.

    ``identity`` is the random number its store was made with: a blank disk under
    the same name has another one and is another member.  A learner (``voter``
    false) receives the log and is counted in no quorum.
    """

    name: str
    address: str
    identity: int
    voter: bool = True


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """All members of a consensus group, sorted by name."""

    members: tuple[ReplicaMember, ...]


class ReplicaHello(Message, frozen=True, tag=70):
    """First message between two replicas, and its answer.

    ``group_id`` 0 means that the store of the sender is blank.  ``not_leading``: the
    sender did not lead its group at that moment.
    """

    cluster: str
    replica: str
    identity: int
    group_id: int
    not_leading: bool = False


class VoteRequest(Message, frozen=True, tag=71):
    """Ask for a vote in ``term``; a pre-vote changes nothing at the receiver.

    ``transfer``: the leader asked for this election, so its lease is given up.
    """

    term: int
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool = False


class VoteReply(Message, frozen=True, tag=72):
    """Answer to a ``VoteRequest``; a granted pre-vote repeats the asked term."""

    term: int
    granted: bool
    pre_vote: bool


class AppendRequest(Message, frozen=True, tag=73):
    """Entries that follow ``previous_index``; without entries a heartbeat."""

    term: int
    previous_index: int
    previous_term: int
    commit_index: int
    round: int
    entries: tuple[LogEntry, ...]


class AppendReply(Message, frozen=True, tag=74):
    """``last_index`` is durable and equal to the leader's log if ``accepted``,
    else the highest index at which the receiver may agree."""

    term: int
    accepted: bool
    last_index: int
    round: int


class SnapshotChunk(Message, frozen=True, tag=75):
    """A piece of the state at ``index``, for a replica that lacks compacted entries."""

    term: int
    index: int
    index_term: int
    membership: Membership
    offset: int
    total_bytes: int
    data: bytes
    round: int


class SnapshotReply(Message, frozen=True, tag=76):
    """The receiver holds the first ``received_bytes`` of the snapshot at ``index``."""

    term: int
    index: int
    received_bytes: int
    round: int


class ElectNow(Message, frozen=True, tag=77):
    """The leader of ``term`` hands over: campaign at once."""

    term: int


class ReadIndexRequest(Message, frozen=True, tag=78):
    """A follower asks the leader which index a read must have applied."""

    request: int


class ReadIndexReply(Message, frozen=True, tag=79):
    """A quorum confirmed ``index`` after the request came, or nobody did."""

    request: int
    index: int
    confirmed: bool


class ProgressShared(Message, frozen=True, tag=80):
    """A replica passes a relay's report on to the other replicas."""

    report: ProgressReported
    age_milliseconds: int


class GroupDescribed(Message, frozen=True, tag=81):
    """Answer to the hello of a replica that is no member: who the members are."""

    members: tuple[ReplicaMember, ...]


# --- operators ---------------------------------------------------------------


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


# --- claims ------------------------------------------------------------------


DEFAULT_HORIZON_SECONDS = 86_400


class ClaimRequest(Message, frozen=True, tag=120):
    """Ask to be the one attempt that may run the call named ``key``.

    ``attempt`` names the asking attempt; asking again with it gives the first
    answer again.
    """

    request: int
    key: str
    attempt: str


class ClaimGranted(Message, frozen=True, tag=121):
    """The attempt holds the claim; a quorum has it on disk.

    ``horizon_seconds`` is for how long the group keeps records at least.
    """

    request: int
    horizon_seconds: int = DEFAULT_HORIZON_SECONDS


class KeptAnswer(msgspec.Struct, frozen=True, array_like=True):
    """An answer kept for callers that send the same call again."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def __repr__(self) -> str:
        """Show of bytes only how many there are."""
        return describe(self)


class ClaimTaken(Message, frozen=True, tag=122):
    """Another attempt holds the claim.

    ``answer`` is its answer where that is kept; None means the outcome is not known.
    """

    request: int
    answer: KeptAnswer | None


class ClaimRefused(Message, frozen=True, tag=123):
    """No claim was recorded; ``reason``: "full", "no quorum", "not leader"."""

    request: int
    reason: str
    leader: str = ""


class ClaimCompleted(Message, frozen=True, tag=124):
    """Keep the answer of a finished attempt; ``answer`` None if it is too large."""

    request: int
    key: str
    attempt: str
    answer: KeptAnswer | None


class ClaimReleased(Message, frozen=True, tag=125):
    """The attempt provably did not run: the call may be claimed again."""

    request: int
    key: str
    attempt: str


class ClaimNoted(Message, frozen=True, tag=126):
    """A completion or release is on disk at a quorum."""

    request: int


# --- calls between nodes -----------------------------------------------------

HeaderFields = list[tuple[bytes, bytes]]
"""HTTP header fields: lower-case name, value; order kept."""


UNBOUNDED_PATIENCE = -1
"""Of ``CallStarted``: it may wait until its deadline."""


class OwnerLoad(msgspec.Struct, frozen=True, array_like=True):
    """Calls at a back end and waiting for it, and its slots, as its own node counts."""

    running: int
    waiting: int
    slots: int


class CallLinkHello(Message, frozen=True, tag=140):
    """First message of a node that will send calls to a back end's own node."""

    cluster: str
    node: str
    incarnation: int


class CallStarted(Message, frozen=True, tag=141):
    """A call for the receiver's back end; ``stream`` is never reused on a link.

    ``content_length`` -1 means a body of unknown length; ``data`` is its first
    piece.  ``deadline_milliseconds`` is what remains.  ``service`` is whose back end
    is meant ("" for any); ``priority`` 0 goes first.  Without ``may_wait`` the call is
    refused where no slot is free; else it waits for ``patience_milliseconds`` at most.
    ``is_client_retry``: it was refused before, and goes after those that were not.
    ``route`` is the name of its route, by which its work is estimated.
    """

    stream: int
    method: bytes
    target: bytes
    headers: HeaderFields
    content_length: int
    call_class: str
    repeatable: bool
    cancellable: bool
    deadline_milliseconds: int
    data: bytes
    ended: bool
    trailers: HeaderFields
    service: str = ""
    priority: int = 1
    may_wait: bool = True
    patience_milliseconds: int = UNBOUNDED_PATIENCE
    is_client_retry: bool = False
    route: str = ""


class CallBody(Message, frozen=True, tag=142):
    """More of a call's body."""

    stream: int
    data: bytes
    ended: bool
    trailers: HeaderFields


class CallCancelled(Message, frozen=True, tag=143):
    """The caller gave the call up; whatever comes of it is discarded."""

    stream: int


class CallCredit(Message, frozen=True, tag=144):
    """The sender of this can take so many more body bytes on the stream."""

    stream: int
    octets: int


class CallAnswered(Message, frozen=True, tag=145):
    """The head of the back end's answer and the first piece of its body."""

    stream: int
    status: int
    reason: bytes
    headers: HeaderFields
    content_length: int
    has_body: bool
    data: bytes
    ended: bool
    trailers: HeaderFields
    load: OwnerLoad | None = None


class CallAnswerBody(Message, frozen=True, tag=146):
    """More of an answer's body."""

    stream: int
    data: bytes
    ended: bool
    trailers: HeaderFields


class CallNotRun(Message, frozen=True, tag=147):
    """The call is not run: the back end never saw it, or refused it (``offered``)."""

    stream: int
    status: int
    reason: str
    retry_after_milliseconds: int
    retryable: bool
    offered: bool = False
    load: OwnerLoad | None = None


class CallUnknown(Message, frozen=True, tag=148):
    """The call was sent to the back end and no whole answer came."""

    stream: int
    status: int
    reason: str


class SlotsAsked(Message, frozen=True, tag=149):
    """A node asks to hold this many slots of the receiver's back end itself.

    ``number`` grows with every ask on a link.
    """

    number: int
    wanted: int


class SlotsLent(Message, frozen=True, tag=150):
    """The receiver may have ``slots`` calls at the back end by the direct way.

    Replaces the grant before.  ``number`` is that of the ask; the loan ends
    ``lease_milliseconds`` after that ask was sent, unless asked for again.
    """

    number: int
    slots: int
    lease_milliseconds: int


class SlotsReturned(Message, frozen=True, tag=151):
    """Under grant ``number`` the node keeps no more than ``kept`` slots."""

    number: int
    kept: int


class CallLinkProbe(Message, frozen=True, tag=152):
    """Asks the back end's own node whether it is there: it answers at once."""

    number: int


class CallLinkAlive(Message, frozen=True, tag=153):
    """The answer to a probe."""

    number: int
