"""Results that report why a store could not be opened or written."""

from __future__ import annotations

import enum

import msgspec


class StoreRefusal(enum.Enum):
    """Reason why a store's file is not opened."""

    DAMAGED = "damaged"
    NEWER_FORMAT = "newer-format"
    OTHER_OWNER = "other-owner"
    IN_USE = "in-use"
    UNREADABLE = "unreadable"


class StoreRefused(msgspec.Struct, frozen=True):
    """The store's file at ``path`` is not opened; its content was not changed."""

    path: str
    refusal: StoreRefusal
    detail: str


class StoreFailed(msgspec.Struct, frozen=True):
    """A write to the store failed: none of its records counts as stored.

    ``final`` is true if the store accepts no more writes.
    """

    reason: str
    final: bool
