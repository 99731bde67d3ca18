"""Seeds that once failed, kept.  A unit test beside the cause guards each cause."""

from __future__ import annotations

import pytest

from peppershore_lab.simulator.profiles import profile_named
from peppershore_lab.simulator.run import run_seed

KEPT = (
    ("mixed", 5, "a restarted relay reported in force what its former nodes lacked"),
    ("distribution", 7, "the same"),
    ("control", 122, "edits taken in one step counted from the last one on"),
    ("losses", 1012, "the same, while a scope was held"),
    ("five", 1042, "the simulated disk took a later write after a refused one"),
    ("silent-verifiers", 5036, "a node ahead of its relay counted as current for good"),
    ("reports", 36, "the check passed over what a later version went back to"),
)


@pytest.mark.parametrize(
    ("profile_name", "seed"),
    [pytest.param(name, seed, id=f"{name} {seed}: {found}") for name, seed, found in KEPT],
)
def test_a_seed_that_once_failed_passes(profile_name: str, seed: int) -> None:
    profile = profile_named(profile_name)
    assert profile is not None
    result = run_seed(profile, seed)
    assert result.passed, f"{result.promise}: {result.detail}"
