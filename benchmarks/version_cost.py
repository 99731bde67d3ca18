"""Processor time that one changed route costs a hub and a node, by how many there are.

    python -m benchmarks.version_cost

One JSON line a size: milliseconds of this process, the least of some versions.  ``plan`` is
working out the edit of a whole configuration (at the hub that was given it), ``apply`` its
validation and index, ``catalog`` the relay's part, ``node`` taking the update in and
opening it for calls.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from functools import partial
from typing import TypeVar

from peppershore.version.catalog import ScopeCatalog
from peppershore.version.model import Scope, Snapshot, Tree
from peppershore.version.snapshot import apply_update, empty_snapshot, open_snapshot
from peppershore.version.tree import apply_edit, empty_tree
from peppershore.version.whole_configuration import (
    WholeConfiguration,
    decode_configuration,
    edit_of,
)

ROUTES = (300, 1_200, 2_700)
HOSTS = 60
VERSIONS = 8
SCOPE = Scope("desk", "north")
MILLISECONDS = 1_000

Made = TypeVar("Made")


def configuration(version: int, routes: int) -> WholeConfiguration:
    """Give many routes; the timeout of the first is another one in each version."""
    content = {
        "version": version,
        "base": version - 1,
        "routes": {
            f"r{number}": {
                "host": f"h{number % HOSTS}.example",
                "path_prefix": f"/p{number}/",
                "runs": "repeatable",
                "timeout_milliseconds": 1_000 + (version if number == 0 else 0),
                "target_latency_milliseconds": 300,
                "priority": 1,
                "service": "desk",
                "attempts": 2,
            }
            for number in range(routes)
        },
        "services": {
            "desk": {"health_path": "/up", "connections": 9, "protocol": "h1", "tls": False}
        },
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 1_000,
            "header_timeout_milliseconds": 3_000,
            "idle_timeout_milliseconds": 15_000,
        },
    }
    return decode_configuration(json.dumps(content).encode()).unwrap()


class Costs:
    """The least time of each step."""

    def __init__(self) -> None:
        """Begin without a measurement."""
        self.least: dict[str, float] = {}

    def timed(self, step: str, work: Callable[[], Made]) -> Made:
        """Do the work and note its processor time."""
        started = time.process_time()
        made = work()
        spent = (time.process_time() - started) * MILLISECONDS
        self.least[step] = min(spent, self.least.get(step, spent))
        return made


def taken_in(held: Snapshot, catalog: ScopeCatalog) -> Snapshot:
    """Give what a node holds after the update that it lacks."""
    update = catalog.update_since(SCOPE, held.version, held.digest)
    assert update is not None
    made = apply_update(held, update).unwrap()
    open_snapshot(made).match_route("/p1/x", "GET", host="h1.example")
    return made


def measure(routes: int) -> dict[str, float]:
    """Give the milliseconds of each step for one changed route."""
    costs = Costs()
    first = configuration(1, routes)
    tree: Tree = (
        apply_edit(empty_tree("mesh"), edit_of(empty_tree("mesh"), first), 1).unwrap().tree
    )
    catalog = ScopeCatalog()
    catalog.load(tree)
    held = taken_in(empty_snapshot(SCOPE), catalog)
    for version in range(2, VERSIONS + 2):
        wanted = configuration(version, routes)
        edit = costs.timed("plan", partial(edit_of, tree, wanted))
        applied = costs.timed("apply", partial(apply_edit, tree, edit, version)).unwrap()
        tree = applied.tree
        costs.timed("catalog", partial(catalog.advance, applied))
        held = costs.timed("node", partial(taken_in, held, catalog))
    return {step: round(spent, 2) for step, spent in costs.least.items()}


def main() -> None:
    """Measure every size."""
    for routes in ROUTES:
        print(json.dumps({"routes": routes} | measure(routes)))


if __name__ == "__main__":
    main()
