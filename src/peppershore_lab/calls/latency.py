"""Latency histograms: HDR, in microseconds, counted from the intended send time."""

from __future__ import annotations

import msgspec
from hdrh.histogram import HdrHistogram

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 120_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS = 1_000_000


class LatencySummary(msgspec.Struct, frozen=True):
    """Percentiles in milliseconds, and the histogram itself (base64) to merge."""

    count: int
    p50_milliseconds: float
    p90_milliseconds: float
    p99_milliseconds: float
    p999_milliseconds: float
    max_milliseconds: float
    encoded: str


def new_histogram() -> HdrHistogram:
    """Give an empty histogram with the range that all of the lab uses."""
    return HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)


def record_seconds(histogram: HdrHistogram, seconds: float) -> None:
    """Count one latency; what is beyond the range counts as its end."""
    microseconds = max(LOWEST_MICROSECONDS, round(seconds * MICROSECONDS))
    histogram.record_value(min(microseconds, HIGHEST_MICROSECONDS))


def summarize(histogram: HdrHistogram) -> LatencySummary:
    """Give the percentiles of a histogram."""

    def percentile(percent: float) -> float:
        return float(histogram.get_value_at_percentile(percent)) / 1_000

    return LatencySummary(
        count=int(histogram.get_total_count()),
        p50_milliseconds=percentile(50),
        p90_milliseconds=percentile(90),
        p99_milliseconds=percentile(99),
        p999_milliseconds=percentile(99.9),
        max_milliseconds=float(histogram.get_max_value()) / 1_000,
        encoded=histogram.encode().decode("ascii"),
    )


def merged(summaries: list[LatencySummary]) -> LatencySummary:
    """Give one summary over several callers' calls."""
    total = new_histogram()
    for summary in summaries:
        if summary.count:
            total.decode_and_add(summary.encoded.encode("ascii"))
    return summarize(total)
