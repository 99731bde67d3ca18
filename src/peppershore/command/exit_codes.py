"""Exit codes of the command line; each has one meaning in every command."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """What the caller of a command may rely on."""

    DONE = 0
    """The command did what was asked."""
    INTERNAL = 1
    """A broken invariant of the program itself."""
    USAGE = 2
    """The command line itself is wrong; nothing was sent."""
    INVALID = 3
    """The edit, tree or settings break a rule; nothing changed."""
    CONFLICT = 4
    """Another edit won the race; nothing changed."""
    UNREACHABLE = 5
    """No replica could answer; nothing was sent."""
    UNKNOWN = 6
    """An edit was sent and its answer lost; send it again with its change id."""
    EXPIRED = 7
    """The change id is older than the table of outcomes; it was not run again."""
    NOT_FOUND = 8
    """What the command names does not exist."""
    NOT_IN_FORCE = 9
    """The time given ran out before the version was in force everywhere."""
    NOT_PERMITTED = 10
    """The certificate does not allow what was asked."""
    NOT_STARTED = 11
    """A process could not use an address, file or folder of its settings."""
