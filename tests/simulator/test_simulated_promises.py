"""The real cores keep every promise in every profile."""

from __future__ import annotations

import pytest
from click.testing import CliRunner

from peppershore_lab.simulator.command import simulate
from peppershore_lab.simulator.profiles import PROFILES, PayoutProfile, Profile
from peppershore_lab.simulator.run import run_seed

SEEDS_A_PROFILE = 12
SEEDS_OF_LONG_PROFILES = {
    "catch-up": 5,
    "reports": 6,
    "silent-verifiers": 3,
    "suspended-leader": 3,
}
"""These take some seconds a seed; ``make simulate`` runs more of them."""


@pytest.mark.parametrize("profile", PROFILES, ids=lambda profile: profile.name)
def test_the_real_cores_keep_every_promise(profile: Profile | PayoutProfile) -> None:
    seeds = SEEDS_OF_LONG_PROFILES.get(profile.name, SEEDS_A_PROFILE)
    for seed in range(1, seeds + 1):
        result = run_seed(profile, seed)
        assert result.passed, f"{result.profile} {seed}: {result.promise}: {result.detail}"


def test_the_same_seed_gives_the_same_run() -> None:
    profile = PROFILES[0]
    assert run_seed(profile, 3) == run_seed(profile, 3)


def test_an_unknown_profile_is_refused_with_the_names() -> None:
    outcome = CliRunner().invoke(simulate, ["--profile", "nonsense"])
    assert outcome.exit_code == 2
    assert "mixed" in outcome.output
