"""A request that ends every back end that runs it, and comes again at any node.

Seen: all back ends of a service ended one after the other, 15 under one request and 13
under another, each again seconds after it was back; nobody else of the service was served.
How: the request ran, its back end ended, its node sent it on to the next one, which ended
too; its caller was told 502 and came again, with another id, at another node.
Cause: what ended a back end was known to the node beside it alone, under the id of that
one try; every node decided on every try as on a new request.
Proof: the record's back ends end in waves of one request each, and this test, where one
request alone goes round five nodes: 29 ends in 18 s before the mend.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from peppershore_lab.soak.runner import SoakPlan, run_soak

pytestmark = pytest.mark.xdist_group("soak")


def test_a_request_that_ends_back_ends_is_soon_held(tmp_path: Path) -> None:
    plan = SoakPlan(seed=30, seconds=20.0, nodes=5, poison=1, strikes=False)
    result, _ = asyncio.run(run_soak(plan, tmp_path))
    assert result.poison >= 3
    assert result.answered > 0
    assert result.violations == ()
