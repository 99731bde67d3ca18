"""Why a store can't be opened or written: outcomes as values."""

from __future__ import annotations

import enum

import msgspec


class StoreRefusal(enum.Enum):
    """Why a file is not taken up."""

    DAMAGED = "damaged"
    NEWER_FORMAT = "newer-format"
    OTHER_OWNER = "other-owner"
    IN_USE = "in-use"
    UNREADABLE = "unreadable"


class StoreRefused(msgspec.Struct, frozen=True):
    """The file at ``path`` is not taken up; nothing in it was changed."""

    path: str
    refusal: StoreRefusal
    detail: str


class StoreFailed(msgspec.Struct, frozen=True):
    """A write was refused as a whole; ``final`` if this store takes no more."""

    reason: str
    final: bool
