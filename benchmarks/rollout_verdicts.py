"""How often a roll-out is judged wrongly, and what a bad version costs, in virtual time.

    python -m benchmarks.rollout_verdicts --out results/rollout_verdicts.json

The product's comparison and rules decide each tenth of a second on what 20 back ends of
each version would have told.  Machines differ in speed, new ones are cold for 3 s, some
fail or are slow for reasons of their own; callers come at random.  A seed decides a run.
"""

from __future__ import annotations

import argparse
import json
import random
from collections import Counter
from pathlib import Path

import msgspec

from peppershore.connection.messages.rollouts import BackEndEvidence, RouteEvidence
from peppershore.process.control.rollout_rules import (
    Complete,
    Move,
    RollBack,
    RolloutView,
    decide,
)
from peppershore.process.control.rollouts import first_share
from peppershore.process.control.version_comparison import compare
from peppershore.request.version_evidence import bucket_of
from peppershore.version.rollout import ALL_CALLS, Rollout

STEP_SECONDS = 0.1
TOLD_SECONDS = 0.5
"""Nodes tell their evidence so often."""

CALLS_PER_SECOND = 100.0
BACK_ENDS = 20
FEW = 6
ROUTES = (("read", 0.8, 0.22, 0.8), ("pay", 0.2, 0.29, 0.3))
"""Name, part of the calls, work in seconds and its spread."""

SPEEDS = (0.6, 1.0, 1.4)
COLD_SECONDS = 3.0
SECONDS = 15.0
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
SEEDS = 200


class Version(msgspec.Struct, frozen=True, kw_only=True):
    """What is wrong with a new version: from ``after`` seconds, on ``route`` or all."""

    failures: float = 0.0
    slower: float = 1.0
    after: float = 0.0
    above_half: bool = False
    route: str = ""


VERSIONS: dict[str, Version] = {
    "good": Version(),
    "fails 2 in 100": Version(failures=0.02),
    "fails 5 in 100": Version(failures=0.05),
    "fails 20 in 100": Version(failures=0.2),
    "fails 50 in 100": Version(failures=0.5),
    "1.3 times slower": Version(slower=1.3),
    "2 times slower": Version(slower=2.0),
    "5 times slower": Version(slower=5.0),
    "fails 50 in 100 after 5 s": Version(failures=0.5, after=5.0),
    "5 times slower after 5 s": Version(slower=5.0, after=5.0),
    "fails 50 in 100 from half of the calls on": Version(failures=0.5, above_half=True),
    "fails 50 in 100 on one route": Version(failures=0.5, route="pay"),
    "5 times slower on one route": Version(slower=5.0, route="pay"),
}


class Verdict(msgspec.Struct, frozen=True):
    """How one run ended; ``exposed`` calls went to the new version, of ``calls``."""

    end: str
    seconds: float
    exposed: int
    calls: int

    @property
    def keeps_bound(self) -> bool:
        """Whether a bad version got no more than it may."""
        return self.exposed <= EXPOSURE_SHARE * self.calls + EXPOSURE_SLACK


class _BackEnd:
    def __init__(self, source: random.Random, name: str, is_new: bool, grey: float) -> None:
        self.name = name
        self.is_new = is_new
        self.speed = source.choice(SPEEDS)
        self.grey = grey
        self.counts: Counter[tuple[str, str]] = Counter()
        self.times: dict[str, Counter[int]] = {route: Counter() for route, *_ in ROUTES}

    def evidence(self, number: int) -> BackEndEvidence:
        routes = tuple(
            RouteEvidence(
                route,
                self.counts[route, "calls"],
                self.counts[route, "failed"],
                tuple(n for pair in sorted(self.times[route].items()) for n in pair),
            )
            for route, *_ in ROUTES
        )
        version = "v2" if self.is_new else "v1"
        return BackEndEvidence(self.name, "s", version, 1, 1, number, routes)


def run_rollout(version: Version, seed: int, faults: bool = True) -> Verdict:
    """Run one roll-out up to its end, or to half as long again as it may take."""
    source = random.Random(f"{seed}/{version}")
    old = [_back_end(source, f"o{n}", False, faults) for n in range(BACK_ENDS)]
    new = [_back_end(source, f"n{n}", True, faults) for n in range(BACK_ENDS)]
    share = first_share(EXPOSURE_SHARE)
    now = step_at = told_at = 0.0
    exposed = calls = 0
    comparison = compare((), "v2")
    while now < 1.5 * SECONDS:
        now += STEP_SECONDS
        for _ in range(_arrivals(source, CALLS_PER_SECOND * STEP_SECONDS)):
            is_new = source.random() * ALL_CALLS < share
            few = new[:FEW] if share < ALL_CALLS // 2 else new
            back_end = source.choice(few if is_new else old)
            _call(source, back_end, version, now, share)
            exposed += is_new
            calls += 1
        if now - told_at >= TOLD_SECONDS:
            told_at = now
            told = [each.evidence(round(now * 10)) for each in (*old, *new)]
            comparison = compare(told, "v2")
        rollout = Rollout("s", "v2", "running", share, 1, round(SECONDS * 1_000))
        view = RolloutView(rollout, now, now - step_at, -1.0, comparison)
        decision = decide(view)
        if isinstance(decision, Move):
            share, step_at = decision.share, now
        elif isinstance(decision, Complete):
            return Verdict("completed", now, exposed, calls)
        elif isinstance(decision, RollBack):
            rest = round(max(0.0, SECONDS - now) * CALLS_PER_SECOND)
            return Verdict("rolled back", now, exposed, calls + rest)
    return Verdict("open", now, exposed, calls)


def _back_end(source: random.Random, name: str, is_new: bool, faults: bool) -> _BackEnd:
    """One in seven has a fault of its own, whichever version it runs."""
    grey = 0.35 if faults and source.random() < 0.14 else 0.0
    return _BackEnd(source, name, is_new, grey)


def _arrivals(source: random.Random, mean: float) -> int:
    count, total = 0, source.expovariate(1.0)
    while total < mean:
        count += 1
        total += source.expovariate(1.0)
    return count


def _call(
    source: random.Random, back_end: _BackEnd, version: Version, now: float, share: int
) -> None:
    names = [name for name, *_ in ROUTES]
    weights = [weight for _, weight, *_ in ROUTES]
    route = source.choices(names, weights)[0]
    _, _, work, spread = next(each for each in ROUTES if each[0] == route)
    is_bad = (
        back_end.is_new
        and now >= version.after
        and version.route in ("", route)
        and (not version.above_half or share >= ALL_CALLS // 2)
    )
    failures = max(back_end.grey, version.failures if is_bad else 0.0)
    seconds = work * back_end.speed * source.lognormvariate(-(spread**2) / 2, spread)
    seconds *= version.slower if is_bad else 1.0
    is_cold = back_end.is_new and now < COLD_SECONDS
    back_end.counts[route, "calls"] += 1
    back_end.counts[route, "failed"] += source.random() < failures
    if not is_cold:
        back_end.times[route][bucket_of(seconds)] += 1


def table(seeds: int) -> dict[str, dict[str, object]]:
    """Run every version with as many seeds."""
    found: dict[str, dict[str, object]] = {}
    for name, version in VERSIONS.items():
        runs = [run_rollout(version, seed) for seed in range(seeds)]
        exposed = sorted(run.exposed for run in runs if run.end == "rolled back")
        times = sorted(run.seconds for run in runs)
        found[name] = {
            "completed": sum(run.end == "completed" for run in runs),
            "rolled back": sum(run.end == "rolled back" for run in runs),
            "open": sum(run.end == "open" for run in runs),
            "in time": sum(run.seconds <= SECONDS for run in runs),
            "exposed p50": exposed[len(exposed) // 2] if exposed else None,
            "exposed most": exposed[-1] if exposed else None,
            "beyond the bound": sum(not run.keeps_bound for run in runs),
            "seconds p50": round(times[len(times) // 2], 1),
        }
    return found


def main() -> None:
    """Run all and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=SEEDS)
    parser.add_argument("--out", default="")
    options = parser.parse_args()
    text = json.dumps(table(options.seeds), indent=2)
    print(text)
    if options.out:
        Path(options.out).write_text(text + "\n")


if __name__ == "__main__":
    main()
