"""Plots of the slopes, as SVG files whose bytes depend on the results only."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import matplotlib as mpl
from matplotlib.figure import Figure

from benchmarks.capacity import sizes
from benchmarks.capacity.measured import Measured
from benchmarks.measuring import Line

IMAGES = Path(__file__).parents[2] / "docs" / "images"
WIDTH_INCHES = 9.0
HEIGHT_INCHES = 3.2

mpl.rcParams["svg.hashsalt"] = "peppershore"
mpl.rcParams["svg.fonttype"] = "none"


def draw_all(measured: Measured, folder: Path = IMAGES) -> None:
    """Draw every plot into a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    _save(relay_plot(measured), folder / "capacity-relay.svg")
    _save(claims_plot(measured), folder / "capacity-claims.svg")
    _save(batching_plot(measured), folder / "capacity-batching.svg")


def relay_plot(measured: Measured) -> Figure:
    """Memory and idle processor time of a relay over its nodes."""
    figure = Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES), layout="constrained")
    memory, processor = figure.subplots(1, 2)
    relay = measured.relay
    nodes = [float(size.nodes) for size in relay.sizes]
    _with_line(
        memory,
        nodes,
        [size.resident_bytes / 1e6 for size in relay.sizes],
        relay.memory_bytes,
        1e-6,
    )
    memory.set_ylabel("memory, MB")
    _with_line(
        processor,
        nodes,
        [s.idle.processor_seconds / s.idle.seconds * 100 for s in relay.sizes],
        relay.idle_core_share,
        100.0,
    )
    processor.set_ylabel("idle, % of a core")
    for axes in (memory, processor):
        axes.set_xlabel("nodes at one relay")
        axes.set_ylim(bottom=0)
        axes.axvline(sizes.NODES_PER_RELAY, color="grey", linestyle=":")
    return figure


def claims_plot(measured: Measured) -> Figure:
    """Calls a second and latency of a claims group over the calls under way."""
    figure = Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES), layout="constrained")
    rate, latency = figure.subplots(1, 2)
    loads = measured.claims.loads
    under_way = [load.concurrency for load in loads]
    rate.plot(under_way, [load.calls_per_second for load in loads], marker="o")
    rate.set_ylabel("calls a second")
    p50 = [load.milliseconds.p50 for load in loads]
    p99 = [load.milliseconds.p99 for load in loads]
    latency.plot(under_way, p50, marker="o", label="p50")
    latency.plot(under_way, p99, marker="s", label="p99")
    latency.set_ylabel("claim, ms")
    latency.set_yscale("log")
    latency.legend()
    for axes in (rate, latency):
        axes.set_xlabel("calls under way")
        axes.set_xscale("log")
    return figure


def batching_plot(measured: Measured) -> Figure:
    """Convergence against update bytes, one point for each batching window."""
    figure = Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES), layout="constrained")
    axes = figure.subplots()
    windows = measured.batching.windows
    kilobytes = [each.update_bytes_per_change / 1e3 for each in windows]
    for name in ("p50", "p99"):
        times = [getattr(each.per_change, name) for each in windows]
        axes.plot(kilobytes, times, marker="o", label=name)
    for each, place in zip(windows, kilobytes, strict=True):
        label = f"{each.window_milliseconds} ms"
        axes.annotate(label, (place, each.per_change.p99), fontsize=8)
    axes.set_xlabel("update bytes a change, kB")
    axes.set_ylabel("in force after, ms")
    axes.set_yscale("log")
    axes.legend()
    return figure


def _with_line(  # type: ignore[no-untyped-def]
    axes, places: Sequence[float], values: Sequence[float], line: Line, scale: float
) -> None:
    axes.plot(places, values, "o")
    ends = [0.0, max(places)]
    axes.plot(ends, [line.at(end) * scale for end in ends], "-")


def _save(figure: Figure, path: Path) -> None:
    figure.savefig(path, format="svg", metadata={"Date": None, "Creator": None})
