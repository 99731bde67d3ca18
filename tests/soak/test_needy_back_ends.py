"""A short soak in which back ends name rate limits and leave by their answers alone.

Guards against more calls than a back end in need takes, over restarts of the nodes.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from peppershore_lab.soak.runner import SoakPlan, run_soak

SECONDS = 12.0

pytestmark = pytest.mark.xdist_group("soak")


@pytest.mark.parametrize(("seed", "strikes"), [(9001, False), (9002, True)])
def test_back_ends_in_need_get_what_they_take(
    seed: int, strikes: bool, tmp_path: Path
) -> None:
    plan = SoakPlan(seed=seed, seconds=SECONDS, nodes=4, needs=2, strikes=strikes)
    result, _ = asyncio.run(run_soak(plan, tmp_path))
    assert result.violations == ()
    assert result.limits + result.answered_leavings > 0
