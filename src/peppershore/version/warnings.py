"""What a valid tree says that its operator can hardly mean."""

from __future__ import annotations

from peppershore.version.model import ANY_ZONE, Problem, RouteSettings, Tree
from peppershore.version.path import route_path
from peppershore.version.resolve import resolve_route, routes_of, services_of

MAXIMUM_WARNINGS = 100
PUBLIC = "public"


def warn_of(tree: Tree) -> tuple[Problem, ...]:
    """Give the warnings of a valid tree, at most MAXIMUM_WARNINGS, sorted.

    A route is named in all zones ("*") if it is so in each of them.
    """
    zones = sorted(tree.zones) or [ANY_ZONE]
    found: list[Problem] = []
    for service in services_of(tree):
        names = sorted({name for zone in zones for name in routes_of(tree, service, zone)})
        for name in names:
            held = [zone for zone in zones if name in routes_of(tree, service, zone)]
            unserved = [
                zone
                for zone in held
                if _serves_nobody(resolve_route(tree, service, zone, name).settings)
            ]
            shown = [ANY_ZONE] if unserved == held else unserved
            found += [_serves_nobody_warning(service, zone, name) for zone in shown]
    return tuple(found[:MAXIMUM_WARNINGS])


def _serves_nobody(settings: RouteSettings) -> bool:
    return PUBLIC not in settings.audience and not settings.verify_secret


def _serves_nobody_warning(service: str, zone: str, route: str) -> Problem:
    return Problem(
        route_path(service, zone, route),
        "serves nobody: its audience shows tokens, and no secret verifies them",
        "a verify_secret, or an audience with public",
    )
