"""What an emulated link is and how each of its directions behaves."""

from __future__ import annotations

import fnmatch

import msgspec


class LinkValue(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of the values of an emulated link."""


class Direction(LinkValue, frozen=True, kw_only=True):
    """How one direction of a link carries data.

    ``cut`` holds everything in silence until it ends; what was held then comes
    late, as after a healed partition.  ``duplicate_share`` of the frames are
    delivered twice (only on links that carry frames).
    """

    delay_milliseconds: float = 0.0
    jitter_milliseconds: float = 0.0
    cut: bool = False
    duplicate_share: float = 0.0


class LinkSpec(LinkValue, frozen=True, kw_only=True):
    """A link: accepted at ``listen``, carried on to ``target`` ("IP:port").

    Named "SOURCE>TARGET" after the two processes.  Links with ``by_hello`` share
    their address with others to the same target: the members of a consensus
    group know each other by one address each.  Which link a connection is, the
    name in its first message tells.
    """

    name: str
    listen: str
    target: str
    frames: bool = True
    by_hello: bool = False
    to_target: Direction = Direction()
    to_source: Direction = Direction()


class EmulatorSettings(LinkValue, frozen=True, kw_only=True):
    """All links of one emulator process, and its control endpoint."""

    control: str
    links: tuple[LinkSpec, ...]
    seed: int = 1


class DirectionChange(LinkValue, frozen=True, kw_only=True):
    """New values for some fields of a direction."""

    delay_milliseconds: float | None = None
    jitter_milliseconds: float | None = None
    cut: bool | None = None
    duplicate_share: float | None = None


class LinksChange(LinkValue, frozen=True, kw_only=True):
    """Change every link whose name matches one of ``names`` (shell patterns).

    ``reset`` also breaks the open connections of those links.
    """

    names: tuple[str, ...]
    to_target: DirectionChange = DirectionChange()
    to_source: DirectionChange = DirectionChange()
    reset: bool = False


class LinksChanged(LinkValue, frozen=True, kw_only=True):
    """Names of the links that a change matched."""

    names: tuple[str, ...]


def link_name(source: str, target: str) -> str:
    """Give the name of the link that ``source`` opens to ``target``."""
    return f"{source}>{target}"


def changed_direction(direction: Direction, change: DirectionChange) -> Direction:
    """Give the direction with the named fields replaced."""
    given = {
        name: value
        for name in change.__struct_fields__
        if (value := getattr(change, name)) is not None
    }
    return msgspec.structs.replace(direction, **given)


def matches(name: str, patterns: tuple[str, ...]) -> bool:
    """Whether a link's name matches one of the shell patterns."""
    return any(fnmatch.fnmatchcase(name, pattern) for pattern in patterns)
