"""Warnings about settings of a valid tree that are probably a mistake."""

from __future__ import annotations

from peppershore.version.model import ANY_ZONE, Problem, RouteSettings, Tree
from peppershore.version.path import route_path
from peppershore.version.resolve import resolve_route, routes_of, services_of

MAXIMUM_WARNINGS = 100
PUBLIC = "public"


def warn_of(tree: Tree) -> tuple[Problem, ...]:
    """Return the warnings about a valid tree, sorted, at most MAXIMUM_WARNINGS.

    A warning that applies to a route in each of its zones is reported once, for the
    zone "*".
    """
    zones = sorted(tree.zones) or [ANY_ZONE]
    found: list[Problem] = []
    for service in services_of(tree):
        names = sorted({name for zone in zones for name in routes_of(tree, service, zone)})
        for name in names:
            held = [zone for zone in zones if name in routes_of(tree, service, zone)]
            rejecting = [
                zone
                for zone in held
                if _rejects_all_callers(resolve_route(tree, service, zone, name).settings)
            ]
            shown = [ANY_ZONE] if rejecting == held else rejecting
            found += [_rejects_all_callers_warning(service, zone, name) for zone in shown]
    return tuple(found[:MAXIMUM_WARNINGS])


def _rejects_all_callers(settings: RouteSettings) -> bool:
    return PUBLIC not in settings.audience and not settings.verify_secret


def _rejects_all_callers_warning(service: str, zone: str, route: str) -> Problem:
    return Problem(
        route_path(service, zone, route),
        "serves nobody: its audience shows tokens, and no secret verifies them",
        "a verify_secret, or an audience with public",
    )
