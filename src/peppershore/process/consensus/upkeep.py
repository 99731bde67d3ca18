"""How a group keeps its own membership: lost stores, newcomers, silent voters.

A decision is a list of rules over immutable values, tried in order; each gives one
single change of membership or none.  Only the leader carries it out, through the
log, so a leader that was cut off changes nothing.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from peppershore.connection.messages.consensus import Membership, ReplicaMember
from peppershore.process.consensus.membership import (
    find_member,
    quorum_size,
    voters_of,
    with_member,
    without_member,
)

SILENT_SECONDS = 2.0
"""A voter not heard for so long gives its vote to a replica that stands by."""

GONE_SECONDS = 60.0
"""A learner not heard for so long is removed; it is added again when it comes back."""

MAXIMUM_MEMBERS = 32


class PresentReplica(msgspec.Struct, frozen=True):
    """A replica that greeted this leader.

    ``heard_seconds`` is how long ago it was heard; ``caught_up`` whether its store
    holds durably all that the leader's log holds, or nearly.
    """

    name: str
    address: str
    identity: int
    heard_seconds: float
    caught_up: bool

    @property
    def is_heard(self) -> bool:
        """Whether it takes part now."""
        return self.heard_seconds < SILENT_SECONDS


class GroupView(msgspec.Struct, frozen=True):
    """What a leader knows when it decides.

    ``present`` holds the other replicas by name.  ``led_seconds`` is for how long it
    has led: whoever was not heard since counts as silent only after that time.
    ``wanted_voters`` is how many replicas should vote.
    """

    leader: str
    membership: Membership
    present: dict[str, PresentReplica]
    wanted_voters: int
    led_seconds: float


Rule = Callable[[GroupView], Membership | None]


def next_membership(view: GroupView) -> Membership | None:
    """Give the next membership, or None if the present one is as it should be."""
    for rule in RULES:
        changed = rule(view)
        if changed is not None and _can_commit(view, changed):
            return changed
    return None


def _replace_lost_store(view: GroupView) -> Membership | None:
    """Failure: a replica comes back under its name with an empty disk.

    What the lost store voted and held is gone, so the new one is a learner first.
    """
    for member in view.membership.members:
        present = view.present.get(member.name)
        if present is not None and present.identity != member.identity:
            learner = ReplicaMember(
                present.name, present.address, present.identity, voter=False
            )
            return with_member(view.membership, learner)
    return None


def _take_newcomer_in(view: GroupView) -> Membership | None:
    """Failure: a machine is gone for good, and another one stands elsewhere."""
    if len(view.membership.members) >= MAXIMUM_MEMBERS:
        return None
    for name in sorted(view.present):
        present = view.present[name]
        if present.is_heard and find_member(view.membership, name) is None:
            learner = ReplicaMember(name, present.address, present.identity, voter=False)
            return with_member(view.membership, learner)
    return None


def _fill_up_voters(view: GroupView) -> Membership | None:
    """Failure: fewer replicas vote than the losses to be borne ask for."""
    if len(voters_of(view.membership)) >= view.wanted_voters:
        return None
    return _promoted(view)


def _stand_in_for_silent_voter(view: GroupView) -> Membership | None:
    """Failure: a voter is silent while another replica stands by.

    The one that stands by votes first and the silent one leaves after that, so that
    never fewer stores hold what is accepted.
    """
    if len(voters_of(view.membership)) != view.wanted_voters:
        return None
    if not any(_is_silent(view, name) for name in voters_of(view.membership)):
        return None
    return _promoted(view)


def _retire_surplus_voter(view: GroupView) -> Membership | None:
    """More vote than should: a silent one becomes a learner, else the last by name."""
    voters = voters_of(view.membership)
    if len(voters) <= view.wanted_voters:
        return None
    others = sorted(name for name in voters if name != view.leader)
    silent = [name for name in others if _is_silent(view, name)]
    retired = find_member(view.membership, (silent or others)[-1])
    assert retired is not None
    return with_member(view.membership, msgspec.structs.replace(retired, voter=False))


def _forget_gone_learner(view: GroupView) -> Membership | None:
    """A learner was not heard for long: its machine is gone for good."""
    for member in view.membership.members:
        if not member.voter and _silent_seconds(view, member.name) >= GONE_SECONDS:
            return without_member(view.membership, member.name)
    return None


RULES: tuple[Rule, ...] = (
    _replace_lost_store,
    _take_newcomer_in,
    _fill_up_voters,
    _retire_surplus_voter,
    _stand_in_for_silent_voter,
    _forget_gone_learner,
)


def _promoted(view: GroupView) -> Membership | None:
    """Let the first learner vote that is heard and holds what the leader holds."""
    for member in view.membership.members:
        present = view.present.get(member.name)
        if member.voter or present is None or present.identity != member.identity:
            continue
        if present.is_heard and present.caught_up:
            voter = msgspec.structs.replace(member, voter=True)
            return with_member(view.membership, voter)
    return None


def _can_commit(view: GroupView, changed: Membership) -> bool:
    """Whether a majority of the changed membership's voters takes part now.

    A change that can't commit would block every other one.
    """
    taking_part = [
        name
        for name in voters_of(changed)
        if name == view.leader or _takes_part(view, changed, name)
    ]
    return len(taking_part) >= quorum_size(changed)


def _takes_part(view: GroupView, membership: Membership, name: str) -> bool:
    present = view.present.get(name)
    member = find_member(membership, name)
    if present is None or member is None:
        return False
    return present.is_heard and present.identity == member.identity


def _is_silent(view: GroupView, name: str) -> bool:
    return name != view.leader and _silent_seconds(view, name) >= SILENT_SECONDS


def _silent_seconds(view: GroupView, name: str) -> float:
    present = view.present.get(name)
    if present is None:
        return view.led_seconds
    return min(view.led_seconds, present.heard_seconds)
