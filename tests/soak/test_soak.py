"""Short soaks of fixed seeds: real hubs and nodes, load, faults, and every check."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from click.testing import CliRunner

from peppershore_lab.main import main
from peppershore_lab.soak.runner import SoakPlan, run_soak

SEEDS = (1, 2, 102)
SECONDS = 10.0

pytestmark = pytest.mark.xdist_group("soak")


@pytest.mark.parametrize("seed", SEEDS)
def test_every_promise_holds_under_faults(seed: int, tmp_path: Path) -> None:
    plan = SoakPlan(seed=seed, seconds=SECONDS, nodes=3, connections=3)
    result, _ = asyncio.run(run_soak(plan, tmp_path))
    assert result.violations == ()
    assert result.answered > 0
    assert result.acknowledged > 0
    assert result.kinds


@pytest.mark.parametrize(
    "arguments",
    [("--seconds", "0"), ("--nodes", "5000"), ("--hubs", "1"), ("--seeds", "x")],
)
def test_nonsense_is_refused_in_one_line(arguments: tuple[str, str]) -> None:
    result = CliRunner().invoke(main, ["soak", *arguments])
    assert result.exit_code == 2
    assert f"Invalid value for '{arguments[0]}'" in result.output
