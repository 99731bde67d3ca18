"""Exit codes of the command line; each has one meaning in every command."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes that callers of a command can rely on."""

    DONE = 0
    """The command succeeded."""
    INTERNAL = 1
    """An invariant of the program itself is violated."""
    USAGE = 2
    """The command line is invalid; nothing was sent."""
    INVALID = 3
    """The edit, tree or settings are invalid; nothing changed."""
    CONFLICT = 4
    """A concurrent edit was accepted first; nothing changed."""
    UNREACHABLE = 5
    """No replica could answer; nothing was sent."""
    UNKNOWN = 6
    """An edit was sent and its answer was lost; retry it with the same change id."""
    EXPIRED = 7
    """The change id is older than all recorded outcomes; it was not applied again."""
    NOT_FOUND = 8
    """The object that the command names does not exist."""
    NOT_IN_FORCE = 9
    """The time-out passed before the version was in force everywhere."""
    NOT_PERMITTED = 10
    """The certificate does not permit the request."""
    NOT_STARTED = 11
    """A process could not start: an address, file or folder of its settings is unusable."""
