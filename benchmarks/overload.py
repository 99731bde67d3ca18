"""Overload and retry storms in virtual time, on the product's admission core.

    python benchmarks/overload.py --out results/overload.json

Callers come at 0.8 and 1.0 times the capacity (the peak of goodput), then at three
times for a while, then at 0.8 again.  Goodput is what was answered well a second.
"""

from __future__ import annotations

import argparse
import json
import statistics
from collections import Counter
from pathlib import Path

import msgspec

from benchmarks.call_model import Model, Resends, Site, Traits
from peppershore.request.outcome import NotRun
from peppershore.version.model import CallClass, RouteSettings

SMALL_SITE = Site(backends=(Traits(slots=10),) * 2, nodes=2)
TIGHT_SITE = msgspec.structs.replace(
    SMALL_SITE, route=RouteSettings(timeout_milliseconds=200, repeatable=True)
)
USUAL_LOAD = 0.8
OVERLOAD = 3.0
SETTLE_SECONDS = 1.0
PHASE_SECONDS = 4.0
CALLERS = {
    "one try": Resends(),
    "patient": Resends(3),
    "impatient": Resends(3, patient=False),
}
CLASSES: tuple[CallClass, ...] = ("critical", "normal", "bulk")
SEEDS = (1, 2, 3)


class Overload(msgspec.Struct, frozen=True):
    """What one run showed; rates are calls a second.

    ``late_refusals_percent``: refused calls that had waited for over 0.9 of their
    time.  ``advised_percent``: refused for load with a time to come again.
    """

    peak: float
    overloaded: float
    after: float
    wanted_after: float
    late_refusals_percent: float
    advised_percent: float
    good_by_class: dict[str, int]


def run_overload(site: Site, seed: int, resends: Resends) -> Overload:
    """Run usual load, the most that fits, three times as much, and usual load."""
    model = Model(site, seed, resends=resends)
    model.clock.run(0.0)
    rates = [_phase(model, load) for load in (USUAL_LOAD, 1.0)]
    began = len(model.ends)
    overloaded = _phase(model, OVERLOAD)
    ends = model.ends[began:]
    _phase(model, USUAL_LOAD)
    after = _phase(model, USUAL_LOAD)
    refused = [each for each in ends if isinstance(each.failure, NotRun)]
    timeout = site.route.timeout_milliseconds / 1_000
    late = sum(1 for each in refused if each.seconds > 0.9 * timeout)
    advised = sum(
        1
        for each in refused
        if isinstance(each.failure, NotRun) and each.failure.retry_after_milliseconds > 0
    )
    count = max(1, len(refused))
    good = Counter(each.call_class for each in ends if each.failure is None)
    return Overload(
        peak=max(rates),
        overloaded=overloaded,
        after=after,
        wanted_after=USUAL_LOAD * site.capacity,
        late_refusals_percent=100 * late / count,
        advised_percent=100 * advised / count,
        good_by_class=dict(good),
    )


def _phase(model: Model, load: float) -> float:
    begin = model.clock.now
    end = begin + PHASE_SECONDS
    model.arrive(model.site.capacity * load, end, CLASSES)
    model.clock.run(end)
    measured = PHASE_SECONDS - SETTLE_SECONDS
    return model.good_between(begin + SETTLE_SECONDS, end) / measured


class Storm(msgspec.Struct, frozen=True):
    """Runs at back ends that all fail, against calls of callers; then recovery."""

    calls: int
    runs: int
    budgeted: float
    after: float
    wanted_after: float


def run_storm(site: Site, seed: int) -> Storm:
    """Let every back end fail for a phase, at usual load."""
    model = Model(site, seed)
    model.clock.run(0.0)
    _phase(model, USUAL_LOAD)
    healthy = [each.traits for each in model.backends]
    calls, runs = len(model.ends), _runs(model)
    for backend in model.backends:
        backend.traits = msgspec.structs.replace(backend.traits, failure_share=1.0)
    _phase(model, USUAL_LOAD)
    calls, runs = len(model.ends) - calls, _runs(model) - runs
    for backend, traits in zip(model.backends, healthy, strict=True):
        backend.traits = traits
    _phase(model, USUAL_LOAD)
    after = _phase(model, USUAL_LOAD)
    share = site.route.retry_budget_percent / 100
    return Storm(calls, runs, calls * share, after, USUAL_LOAD * site.capacity)


def _runs(model: Model) -> int:
    return sum(each.runs for each in model.backends)


def main() -> None:
    """Run all and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", default="")
    options = parser.parse_args()
    result: dict[str, object] = {}
    for site_name, site in (("1 s deadline", SMALL_SITE), ("200 ms deadline", TIGHT_SITE)):
        for callers, resends in CALLERS.items():
            runs = [run_overload(site, seed, resends) for seed in SEEDS]
            shares = [run.overloaded / run.peak for run in runs]
            result[f"{site_name}, callers: {callers}"] = {
                "goodput_at_3x_of_peak_percent": round(100 * statistics.median(shares), 1),
                "worst_seed_percent": round(100 * min(shares), 1),
                "after_of_wanted_percent": round(
                    100 * min(run.after / run.wanted_after for run in runs), 1
                ),
                "runs": msgspec.to_builtins(runs),
            }
    result["retry storm"] = msgspec.to_builtins([run_storm(SMALL_SITE, s) for s in SEEDS])
    text = json.dumps(result, indent=2)
    print(text)
    if options.out:
        Path(options.out).write_text(text + "\n")


if __name__ == "__main__":
    main()
