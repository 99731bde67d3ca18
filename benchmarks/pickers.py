"""Compares ways to pick a back end, in virtual time, on the product's admission core.

    python benchmarks/pickers.py --out results/pickers.json

Each picker meets the same arrivals on back ends that are even, skewed (one four
times as slow), cold (one joins in mid-run and is ten times as slow at first),
failing (one answers errors at once) and lying (the slow one reports no load).
"""

from __future__ import annotations

import argparse
import itertools
import json
import statistics
from collections.abc import Callable, Sequence
from pathlib import Path

import msgspec

from benchmarks.call_model import Model, ModelBackend, Site, Traits
from peppershore.request.endpoint_state import EndpointState
from peppershore.request.picker import Choice, RandomSource, better_of_two
from peppershore.version.model import ServiceSettings

SECONDS = 12.0
WARM_SECONDS = 2.0
LOADS = (0.5, 0.7)
REPORT_SECONDS = 0.5
SEEDS = (1, 2, 3)
NO_EJECTION = ServiceSettings(slow_start_milliseconds=0, ejection_failures=0)
EJECTION = ServiceSettings(slow_start_milliseconds=0)
RAMPED = ServiceSettings(slow_start_milliseconds=2_000)

SITES = {
    "even": Site(),
    "skewed": Site(backends=(Traits(slowness=4.0), *(Traits(),) * 3)),
    "cold": Site(
        backends=(
            Traits(joins_at=4.0, cold_factor=10.0, warm_up_seconds=4.0),
            *(Traits(),) * 3,
        ),
        settings=RAMPED,
    ),
    "failing": Site(
        backends=(Traits(failure_share=1.0), *(Traits(),) * 3), settings=EJECTION
    ),
    "failing-not-ejected": Site(
        backends=(Traits(failure_share=1.0), *(Traits(),) * 3), settings=NO_EJECTION
    ),
    "lying": Site(backends=(Traits(slowness=4.0, reports_idle=True), *(Traits(),) * 3)),
}


def least_loaded(
    candidates: Sequence[EndpointState], random: RandomSource, now: float
) -> EndpointState:
    """Fewest calls of this node in flight; ties at random."""
    del now
    fewest = min(state.in_flight for state in candidates)
    least = [state for state in candidates if state.in_flight == fewest]
    return least[int(random.below(len(least)))]


def peak_ewma(
    candidates: Sequence[EndpointState], random: RandomSource, now: float
) -> EndpointState:
    """Lowest smoothed peak latency times calls in flight, over all."""
    del random, now
    return min(candidates, key=lambda s: (s.in_flight + 1) * s.latency_seconds)


def lowest_cost(
    candidates: Sequence[EndpointState], random: RandomSource, now: float
) -> EndpointState:
    """The product's cost (latency, in flight, failures, ramp), over all."""
    del random
    return min(candidates, key=lambda state: state.cost(now))


def two_least_loaded(
    candidates: Sequence[EndpointState], random: RandomSource, now: float
) -> EndpointState:
    """Of two at random, the one with fewer calls in flight."""
    del now
    one, other = (candidates[int(random.below(len(candidates)))] for _ in range(2))
    return one if one.in_flight <= other.in_flight else other


def round_robin() -> Choice:
    """In turn, whatever was seen."""
    turns = itertools.count()

    def choose(
        candidates: Sequence[EndpointState], random: RandomSource, now: float
    ) -> EndpointState:
        del random, now
        return candidates[next(turns) % len(candidates)]

    return choose


class ReportedLoad:
    """Trusts what back ends report every half second."""

    def __init__(self) -> None:
        """Start without reports."""
        self._reports: dict[str, float] = {}

    def watch(self, model: Model) -> None:
        """Take a report of every back end, and again later."""
        self._reports = {each.endpoint.node: _report(each) for each in model.backends}
        model.clock.after(REPORT_SECONDS, lambda: self.watch(model))

    def choose(
        self, candidates: Sequence[EndpointState], random: RandomSource, now: float
    ) -> EndpointState:
        """Give the one with the lowest report; ties at random."""
        del now
        lowest = min(self._reports.get(s.endpoint.node, 0.0) for s in candidates)
        least = [s for s in candidates if self._reports.get(s.endpoint.node, 0.0) == lowest]
        return least[int(random.below(len(least)))]


def _report(backend: ModelBackend) -> float:
    return backend.reported_load


def _plain(choice: Choice) -> Callable[[], tuple[Choice, None]]:
    return lambda: (choice, None)


def _reported() -> tuple[Choice, ReportedLoad]:
    reported = ReportedLoad()
    return reported.choose, reported


PICKERS: dict[str, Callable[[], tuple[Choice, ReportedLoad | None]]] = {
    "two-choices-cost": _plain(better_of_two),
    "lowest-cost": _plain(lowest_cost),
    "peak-ewma": _plain(peak_ewma),
    "least-loaded": _plain(least_loaded),
    "two-choices-least-loaded": _plain(two_least_loaded),
    "round-robin": lambda: (round_robin(), None),
    "reported-load": _reported,
}
"""``two-choices-cost`` is the product's."""


class Figures(msgspec.Struct, frozen=True):
    """Medians over the seeds."""

    p50_milliseconds: float
    p99_milliseconds: float
    not_good_percent: float
    bad_back_end_share_percent: float


def measure(picker: str, site: Site, load: float, seed: int) -> Figures:
    """Run one picker on one site, ``load`` times its capacity."""
    choose, reported = PICKERS[picker]()
    model = Model(site, seed, choose)
    if reported is not None:
        reported.watch(model)
    model.clock.run(0.0)
    model.arrive(site.capacity * load, SECONDS, ("normal",))
    model.clock.run(SECONDS + 2.0)
    ends = [each for each in model.ends if each.at >= WARM_SECONDS]
    good = sorted(each.seconds for each in ends if each.failure is None)
    runs = sum(each.runs for each in model.backends)
    return Figures(
        1_000 * good[len(good) // 2],
        1_000 * good[int(len(good) * 0.99)],
        100 * (1 - len(good) / len(ends)),
        100 * model.backends[0].runs / runs,
    )


def medians(measured: list[Figures]) -> Figures:
    """Give the median of each figure."""
    return Figures(
        *(
            round(statistics.median(getattr(each, name) for each in measured), 2)
            for name in Figures.__struct_fields__
        )
    )


def main() -> None:
    """Measure all pickers on the sites asked for; about two minutes a site."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", default="", help="Figures are merged into this file.")
    parser.add_argument("--sites", default=",".join(SITES))
    options = parser.parse_args()
    result: dict[str, dict[str, object]] = {}
    if options.out and Path(options.out).exists():
        result = json.loads(Path(options.out).read_text())
    for name in options.sites.split(","):
        site = SITES[name]
        for load in LOADS:
            row = result.setdefault(f"{name} at {load}", {})
            for picker in PICKERS:
                figures = medians([measure(picker, site, load, s) for s in SEEDS])
                row[picker] = msgspec.to_builtins(figures)
                print(f"{name:20} {load} {picker:26} {figures}", flush=True)
    if options.out:
        Path(options.out).write_text(json.dumps(result, indent=2) + "\n")


if __name__ == "__main__":
    main()
