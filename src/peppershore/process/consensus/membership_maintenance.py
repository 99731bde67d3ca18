"""Automatic membership changes: lost stores, joining replicas, silent voters.

The rules are pure functions, tried in order; each returns one single membership change
or none. Only the leader proposes the change, through the log, so a leader that is
partitioned from the majority changes nothing.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from peppershore.connection.messages.consensus import (
    FIRST_STORE,
    Membership,
    ReplicaMember,
)
from peppershore.process.consensus.membership import (
    find_member,
    is_store_of,
    quorum_size,
    voters_of,
    with_member,
    without_member,
)

SILENT_SECONDS = 2.0
"""Time without a message after which a voter may be replaced by a learner."""

LEARNER_REMOVAL_SECONDS = 60.0
"""Time without a message after which a learner is removed.

It is added again when it comes back.
"""

MAXIMUM_MEMBERS = 32


class ConnectedReplica(msgspec.Struct, frozen=True):
    """A replica that sent its hello to this leader.

    ``seconds_since_contact`` is the time since its last message. ``caught_up`` is whether
    its store durably holds all, or nearly all, entries of the leader's log. ``is_first``
    is whether the store was made to found this group, at the very first start.
    """

    name: str
    address: str
    identity: int
    seconds_since_contact: float
    caught_up: bool
    is_first: bool = False

    @property
    def is_responsive(self) -> bool:
        """Whether this replica's last message is less than ``SILENT_SECONDS`` old."""
        return self.seconds_since_contact < SILENT_SECONDS

    def is_store_of(self, member: ReplicaMember) -> bool:
        """Return whether its store is that of this member."""
        return is_store_of(member, self.identity, self.is_first)


class GroupView(msgspec.Struct, frozen=True):
    """The leader's view of the group.

    From it, the rules of this module decide which replica to add, promote, demote or
    remove.

    ``present`` holds the other connected replicas by name. ``leadership_seconds`` is the
    time since this replica became leader; no replica counts as silent for longer than
    that. ``wanted_voters`` is the target number of voters. ``leader_identity`` is that of
    the leader's store.
    """

    leader: str
    membership: Membership
    present: dict[str, ConnectedReplica]
    wanted_voters: int
    leadership_seconds: float
    leader_identity: int = FIRST_STORE


Rule = Callable[[GroupView], Membership | None]


def next_membership(view: GroupView) -> Membership | None:
    """Return the next membership to propose, or None if no change is due."""
    for rule in RULES:
        changed = rule(view)
        if changed is not None and _can_commit(view, changed):
            return changed
    return None


def _replace_lost_store(view: GroupView) -> Membership | None:
    """Make a learner of a member that came back under its name with a new store.

    The votes and entries of the lost store are gone, so it may not vote yet.
    """
    for member in view.membership.members:
        present = view.present.get(member.name)
        if present is not None and not present.is_store_of(member):
            learner = ReplicaMember(
                present.name, present.address, present.identity, voter=False
            )
            return with_member(view.membership, learner)
    return None


def _bind_first_store(view: GroupView) -> Membership | None:
    """Set the identity of a member whose store, made at the first start, is known now.

    From then on no other store counts as the member's, whatever its settings say.
    """
    for member in view.membership.members:
        present = view.present.get(member.name)
        identity = FIRST_STORE if present is None else present.identity
        if member.name == view.leader:
            identity = view.leader_identity
        if member.identity == FIRST_STORE != identity:
            bound = msgspec.structs.replace(member, identity=identity)
            return with_member(view.membership, bound)
    return None


def _add_joining_replica(view: GroupView) -> Membership | None:
    """Add a non-member as a learner, e.g. the replacement of a lost machine."""
    if len(view.membership.members) >= MAXIMUM_MEMBERS:
        return None
    for name in sorted(view.present):
        present = view.present[name]
        if present.is_responsive and find_member(view.membership, name) is None:
            learner = ReplicaMember(name, present.address, present.identity, voter=False)
            return with_member(view.membership, learner)
    return None


def _promote_missing_voter(view: GroupView) -> Membership | None:
    """Promote a learner if there are fewer voters than fault tolerance requires."""
    if len(voters_of(view.membership)) >= view.wanted_voters:
        return None
    return _with_promoted_learner(view)


def _replace_silent_voter(view: GroupView) -> Membership | None:
    """Promote a learner if a voter is silent; a later change demotes the voter.

    The learner becomes a voter first, so that accepted entries are never held by fewer
    stores.
    """
    if len(voters_of(view.membership)) != view.wanted_voters:
        return None
    if not any(_is_silent(view, name) for name in voters_of(view.membership)):
        return None
    return _with_promoted_learner(view)


def _demote_surplus_voter(view: GroupView) -> Membership | None:
    """Make a surplus voter other than the leader a learner.

    It is the last silent one by name, or the last one if none is silent.
    """
    voters = voters_of(view.membership)
    if len(voters) <= view.wanted_voters:
        return None
    others = sorted(name for name in voters if name != view.leader)
    silent = [name for name in others if _is_silent(view, name)]
    retired = find_member(view.membership, (silent or others)[-1])
    assert retired is not None
    return with_member(view.membership, msgspec.structs.replace(retired, voter=False))


def _remove_silent_learner(view: GroupView) -> Membership | None:
    """Remove a learner silent for long: its machine counts as permanently lost."""
    for member in view.membership.members:
        if (
            not member.voter
            and _silent_seconds(view, member.name) >= LEARNER_REMOVAL_SECONDS
        ):
            return without_member(view.membership, member.name)
    return None


RULES: tuple[Rule, ...] = (
    _replace_lost_store,
    _bind_first_store,
    _add_joining_replica,
    _promote_missing_voter,
    _demote_surplus_voter,
    _replace_silent_voter,
    _remove_silent_learner,
)


def _with_promoted_learner(view: GroupView) -> Membership | None:
    """Return the membership with the first responsive, caught-up learner as voter."""
    for member in view.membership.members:
        present = view.present.get(member.name)
        if member.voter or present is None or not present.is_store_of(member):
            continue
        if present.is_responsive and present.caught_up:
            voter = msgspec.structs.replace(member, voter=True)
            return with_member(view.membership, voter)
    return None


def _can_commit(view: GroupView, changed: Membership) -> bool:
    """Return whether a majority of the changed membership's voters is responsive.

    A change that can't be committed would block every later one.
    """
    responsive = [
        name
        for name in voters_of(changed)
        if name == view.leader or _is_responsive_member(view, changed, name)
    ]
    return len(responsive) >= quorum_size(changed)


def _is_responsive_member(view: GroupView, membership: Membership, name: str) -> bool:
    present = view.present.get(name)
    member = find_member(membership, name)
    if present is None or member is None:
        return False
    return present.is_responsive and present.is_store_of(member)


def _is_silent(view: GroupView, name: str) -> bool:
    return name != view.leader and _silent_seconds(view, name) >= SILENT_SECONDS


def _silent_seconds(view: GroupView, name: str) -> float:
    present = view.present.get(name)
    if present is None:
        return view.leadership_seconds
    return min(view.leadership_seconds, present.seconds_since_contact)
