"""Notices about requests under which back ends crashed."""

from __future__ import annotations

from typing import ClassVar

from peppershore.connection.messages.crashes import CrashRecord
from peppershore.process.commands import Notice
from peppershore.request.quarantine import HOLD_CRASHES


class RequestQuarantined(Notice, frozen=True):
    """A request is held; ``lives`` are the back-end incarnations that crashed under it."""

    level: ClassVar[str] = "warning"
    fingerprint: str
    lives: tuple[str, ...]


class RequestCleared(Notice, frozen=True):
    """A request that was suspected or held may run again."""

    fingerprint: str


def notices_of(records: tuple[CrashRecord, ...]) -> tuple[Notice, ...]:
    """Return the notices to report for new or changed records."""
    found: list[Notice] = []
    for record in records:
        if len(record.lives) >= HOLD_CRASHES:
            found.append(RequestQuarantined(record.key.hex(), record.lives))
        elif record.generation and not record.lives:
            found.append(RequestCleared(record.key.hex()))
    return tuple(found)
