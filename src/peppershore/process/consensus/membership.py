"""Who belongs to the group: encoding, quorums, and the history along the log."""

from __future__ import annotations

import msgspec
import xxhash

from peppershore.connection.messages.consensus import Membership, ReplicaMember

EMPTY_MEMBERSHIP = Membership(())

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Membership)


def encode_membership(membership: Membership) -> bytes:
    """Payload of a MEMBERSHIP entry."""
    return _ENCODER.encode(membership)


def decode_membership(payload: bytes) -> Membership:
    """Membership of a MEMBERSHIP entry that this program wrote."""
    return _DECODER.decode(payload)


def group_id_of(founding: Membership) -> int:
    """Name of the group that starts with this membership; never 0."""
    digest = xxhash.xxh3_64_intdigest(encode_membership(founding))
    return (digest >> 1) | 1


def find_member(membership: Membership, name: str) -> ReplicaMember | None:
    """The member of that name, or None."""
    for member in membership.members:
        if member.name == name:
            return member
    return None


def voters_of(membership: Membership) -> tuple[str, ...]:
    """Names of the members that count in quorums."""
    return tuple(member.name for member in membership.members if member.voter)


def quorum_size(membership: Membership) -> int:
    """How many voters make a majority."""
    return len(voters_of(membership)) // 2 + 1


def with_member(membership: Membership, member: ReplicaMember) -> Membership:
    """The membership with this member added or replaced."""
    others = tuple(other for other in membership.members if other.name != member.name)
    return Membership(tuple(sorted((*others, member))))


def without_member(membership: Membership, name: str) -> Membership:
    """The membership without the member of that name."""
    kept = tuple(member for member in membership.members if member.name != name)
    return Membership(kept)


class MembershipPoint(msgspec.Struct, frozen=True):
    """A membership and the log index from which on it counts."""

    index: int
    membership: Membership


class MembershipHistory:
    """Memberships along the log; the newest counts as soon as it is appended."""

    def __init__(self, index: int, membership: Membership) -> None:
        """Start with the membership of the snapshot at ``index``."""
        self._points = [MembershipPoint(index, membership)]

    @property
    def current(self) -> Membership:
        """The newest membership in the log, committed or not."""
        return self._points[-1].membership

    @property
    def before_current(self) -> Membership:
        """The membership before the newest; the newest if none is known."""
        return self._points[-2:][0].membership

    @property
    def current_index(self) -> int:
        """Index of the entry that holds the newest membership."""
        return self._points[-1].index

    def append(self, index: int, membership: Membership) -> None:
        """Note the membership of the entry at ``index``."""
        self._points.append(MembershipPoint(index, membership))

    def truncate_from(self, index: int) -> None:
        """Forget the memberships of entries from ``index`` on."""
        self._points = [point for point in self._points if point.index < index]
        assert self._points

    def at(self, index: int) -> Membership:
        """The membership that counts at ``index``."""
        found = self._points[0].membership
        for point in self._points:
            if point.index <= index:
                found = point.membership
        return found
