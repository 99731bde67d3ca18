"""Paths of the tree: "/", "/service", "/service/zone", "/service/zone/route"."""

from __future__ import annotations

import re
from enum import Enum

from returns.result import Failure, Result, Success

from peppershore.version.model import ANY_ZONE, ROOT_PATH, Problem, Value

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
NAME_RULE = "1 to 63 of a-z, 0-9, '.', '_' and '-', beginning with a letter or a digit"
PATH_RULE = "/, /service, /service/zone or /service/zone/route; the zone may be *"
MAXIMUM_SEGMENTS = 3


class Level(Enum):
    """Level of a node in the tree; it determines which settings the node may have."""

    ROOT = "root"
    SERVICE = "service"
    ZONE = "zone"
    ROUTE = "route"


class TreePath(Value, frozen=True, order=True):
    """A parsed path; a segment that the path does not have is empty."""

    service: str = ""
    zone: str = ""
    route: str = ""

    @property
    def level(self) -> Level:
        """Level of the node at this path."""
        if self.route:
            return Level.ROUTE
        if self.zone:
            return Level.ZONE
        if self.service:
            return Level.SERVICE
        return Level.ROOT


def is_name(text: str) -> bool:
    """Report whether a text may be the name of a service, zone, route, secret or tenant."""
    return NAME_PATTERN.fullmatch(text) is not None


def parse_path(text: str) -> Result[TreePath, Problem]:
    """Return the parsed path, or the problem if the text is not a path."""
    if text == ROOT_PATH:
        return Success(TreePath())
    if not text.startswith(ROOT_PATH):
        return Failure(Problem(text, "a path begins with /", PATH_RULE))
    segments = text[len(ROOT_PATH) :].split("/")
    if len(segments) > MAXIMUM_SEGMENTS:
        return Failure(Problem(text, "the path has too many segments", PATH_RULE))
    for position, segment in enumerate(segments):
        is_any_zone = position == 1 and segment == ANY_ZONE
        if not is_any_zone and not is_name(segment):
            reason = f"{segment!r} is not a name"
            return Failure(Problem(text, reason, NAME_RULE))
    return Success(TreePath(*segments))


def format_path(path: TreePath) -> str:
    """Return the text of a parsed path."""
    segments = [segment for segment in (path.service, path.zone, path.route) if segment]
    return ROOT_PATH + "/".join(segments)


def service_path(service: str) -> str:
    """Return the path of a service."""
    return f"/{service}"


def zone_path(service: str, zone: str) -> str:
    """Return the path of a service in a zone."""
    return f"/{service}/{zone}"


def route_path(service: str, zone: str, route: str) -> str:
    """Return the path of a route of a service in a zone."""
    return f"/{service}/{zone}/{route}"
