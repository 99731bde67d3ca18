"""The role of a replica within its group."""

from __future__ import annotations

import enum


class Role(enum.Enum):
    """Raft role of a replica."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
