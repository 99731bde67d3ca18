"""The configurations that a soak's operators send, and their digests."""

from __future__ import annotations

from random import Random
from typing import Any

import msgspec
import xxhash

from peppershore_lab.soak.tenants import definitions

HOST = "soak.example"
SERVICES = ("kassa", "kuitti")
ONCE_PREFIX, READ_PREFIX, UPLOAD_PREFIX = "/once/", "/read/", "/upload/"
ROUTE_MILLISECONDS = 2_000
TARGET_MILLISECONDS = 500
ATTEMPTS = 3
OTHER_ROUTES = 200
"""Routes without calls, which give a version a realistic size."""

SHARED_KEY_SHARE = 0.2
"""Share of the invalid configurations in which two tenants share a key."""

Configuration = dict[str, Any]


def marker_prefix(version: int) -> str:
    """Return the prefix of the route that only this version has."""
    return f"/v{version}/"


def configuration(version: int, base: int, author: str) -> Configuration:
    """Return a valid configuration; ``author`` distinguishes those of equal number."""
    routes = {
        "once": _route(ONCE_PREFIX, "once"),
        "read": _route(READ_PREFIX, "repeatable"),
        "upload": _route(UPLOAD_PREFIX, "once-streamed"),
        f"marker-{version}": _public(_route(marker_prefix(version), "repeatable")),
        f"by-{author}": _route(f"/by-{author}/", "repeatable"),
    }
    for number in range(OTHER_ROUTES):
        routes[f"other-{number}"] = _route(f"/other-{number}/", "repeatable")
    services: dict[str, Any] = {service: {} for service in SERVICES}
    return {
        "version": version,
        "base": base,
        "routes": routes,
        "services": services,
        "tenants": definitions(version),
    }


def spoiled(whole: Configuration, random: Random) -> Configuration:
    """Return an invalid copy of a configuration, with a common mistake of operators."""
    if random.random() < SHARED_KEY_SHARE:
        return _with_a_shared_key(whole)
    route = dict(whole["routes"]["read"])
    route.update(
        random.choice(
            (
                {"service": "nobody"},
                {"timeout_milliseconds": 0},
                {"attempts": 0},
                {"host": ""},
            )
        )
    )
    return {**whole, "routes": {**whole["routes"], "read": route}}


def _with_a_shared_key(whole: Configuration) -> Configuration:
    tenants = dict(whole["tenants"])
    one, other, *_ = tenants
    tenants[other] = {**tenants[other], "keys": tenants[one]["keys"]}
    return {**whole, "tenants": tenants}


def content_digest(whole: Configuration) -> str:
    """Return a digest of a configuration's number and its route names."""
    routes = whole["routes"]
    content = msgspec.json.encode((whole["version"], sorted(routes)))
    return xxhash.xxh3_64_hexdigest(content)


def _public(route: dict[str, Any]) -> dict[str, Any]:
    """Return the route with access for callers without a key."""
    return {**route, "public": True}


def _route(prefix: str, runs: str) -> dict[str, Any]:
    return {
        "host": HOST,
        "path_prefix": prefix,
        "runs": runs,
        "timeout_milliseconds": ROUTE_MILLISECONDS,
        "attempts": ATTEMPTS,
        "target_latency_milliseconds": TARGET_MILLISECONDS,
        "service": SERVICES[0],
    }
