"""Memberships of a group: encoding, quorums, and their history along the log."""

from __future__ import annotations

import msgspec
import xxhash

from peppershore.connection.messages.consensus import (
    FIRST_STORE,
    Membership,
    ReplicaMember,
)

EMPTY_MEMBERSHIP = Membership(())

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Membership)


def encode_membership(membership: Membership) -> bytes:
    """Return the payload of a MEMBERSHIP entry."""
    return _ENCODER.encode(membership)


def decode_membership(payload: bytes) -> Membership:
    """Return the membership in a payload that ``encode_membership`` returned."""
    return _DECODER.decode(payload)


def first_membership(seeds: tuple[str, ...]) -> Membership:
    """Return the membership of the stores that these hubs made at the first start."""
    return Membership(
        tuple(ReplicaMember(seed, seed, FIRST_STORE) for seed in sorted(seeds))
    )


def is_store_of(member: ReplicaMember, identity: int, is_first: bool) -> bool:
    """Return whether the store with this identity is the member's.

    ``is_first``: the store was made to found the member's group, at the very first start.
    """
    return member.identity == identity or (is_first and member.identity == FIRST_STORE)


def group_id_of(founding: Membership) -> int:
    """Return the id of the group founded with this membership; never 0."""
    digest = xxhash.xxh3_64_intdigest(encode_membership(founding))
    return (digest >> 1) | 1


def find_member(membership: Membership, name: str) -> ReplicaMember | None:
    """Return the member of that name, or None."""
    for member in membership.members:
        if member.name == name:
            return member
    return None


def voters_of(membership: Membership) -> tuple[str, ...]:
    """Return the names of the voting members."""
    return tuple(member.name for member in membership.members if member.voter)


def quorum_size(membership: Membership) -> int:
    """Return how many voters make a majority."""
    return len(voters_of(membership)) // 2 + 1


def with_member(membership: Membership, member: ReplicaMember) -> Membership:
    """Return the membership with this member added, or replaced by name."""
    others = tuple(other for other in membership.members if other.name != member.name)
    return Membership(tuple(sorted((*others, member))))


def without_member(membership: Membership, name: str) -> Membership:
    """Return the membership without the member of that name."""
    kept = tuple(member for member in membership.members if member.name != name)
    return Membership(kept)


class MembershipPoint(msgspec.Struct, frozen=True):
    """A membership and the log index from which it is in effect."""

    index: int
    membership: Membership


class MembershipHistory:
    """Memberships along the log; a membership takes effect when it is appended."""

    def __init__(self, index: int, membership: Membership) -> None:
        """Start with the membership of the snapshot at ``index``."""
        self._points = [MembershipPoint(index, membership)]

    @property
    def current(self) -> Membership:
        """Newest membership in the log, committed or not."""
        return self._points[-1].membership

    @property
    def before_current(self) -> Membership:
        """Membership before the newest one; the newest if no earlier one is known."""
        return self._points[-2:][0].membership

    @property
    def current_index(self) -> int:
        """Index of the entry that holds the newest membership."""
        return self._points[-1].index

    def append(self, index: int, membership: Membership) -> None:
        """Add the membership of the entry at ``index``."""
        self._points.append(MembershipPoint(index, membership))

    def truncate_from(self, index: int) -> None:
        """Remove the memberships of the entries from ``index`` on."""
        self._points = [point for point in self._points if point.index < index]
        assert self._points

    def at(self, index: int) -> Membership:
        """Return the membership in effect at ``index``."""
        found = self._points[0].membership
        for point in self._points:
            if point.index <= index:
                found = point.membership
        return found
