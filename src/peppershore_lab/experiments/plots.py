"""The plots of a report, drawn from a result alone; each is a PNG image."""

from __future__ import annotations

import io
from collections.abc import Callable

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402 - the backend is chosen first
from matplotlib.axes import Axes  # noqa: E402

from peppershore_lab.experiments.measures import CallMeasure  # noqa: E402
from peppershore_lab.experiments.result import ExperimentResult  # noqa: E402

WIDTH_INCHES = 9.0
HEIGHT_INCHES = 3.2
DOTS_PER_INCH = 90
MARK_COLOUR = "tab:red"
MARK_ALPHA = 0.12
MINIMUM_MILLISECONDS = 0.1
Draw = Callable[[Axes, ExperimentResult], None]


def draw_all(result: ExperimentResult) -> dict[str, bytes]:
    """Give every plot by its title."""
    plots: dict[str, Draw] = {
        "Convergence: share of arrivals within a time": _convergence,
        "Control bytes sent to proxies": _control_bytes,
        "Versions held by proxies over time": _versions,
        "Calls a second: offered and answered": _goodput,
        "Latency of answered calls, by second": _latency,
    }
    return {title: _image(draw, result) for title, draw in plots.items()}


def _image(draw: Draw, result: ExperimentResult) -> bytes:
    figure, axes = pyplot.subplots(
        figsize=(WIDTH_INCHES, HEIGHT_INCHES), dpi=DOTS_PER_INCH, layout="constrained"
    )
    draw(axes, result)
    axes.grid(alpha=0.3)
    content = io.BytesIO()
    figure.savefig(content, format="png")
    pyplot.close(figure)
    return content.getvalue()


def _convergence(axes: Axes, result: ExperimentResult) -> None:
    waits = sorted(
        max(wait, MINIMUM_MILLISECONDS) for wait in result.convergence.per_version
    )
    if waits:
        shares = [(number + 1) / len(waits) for number in range(len(waits))]
        axes.step(waits, shares, where="post", label="slowest proxy of each version")
    for baseline in result.baselines:
        points = [
            baseline.p50_milliseconds,
            baseline.p99_milliseconds,
            baseline.max_milliseconds,
        ]
        held = [max(point, MINIMUM_MILLISECONDS) for point in points]
        axes.plot(held, [0.5, 0.99, 1.0], "o--", label=f"{baseline.name}, every proxy")
    axes.set_xscale("log")
    axes.set_xlabel("milliseconds from acceptance")
    axes.set_ylabel("share")
    _legend(axes)


def _control_bytes(axes: Axes, result: ExperimentResult) -> None:
    points = result.control_bytes.over_time
    axes.plot(
        [point.second for point in points],
        [point.control_bytes / 1_000 for point in points],
        label="peppershore",
    )
    for number, baseline in enumerate(result.baselines):
        label = f"{baseline.name}, whole run: {baseline.control_bytes / 1_000:.0f} kB"
        axes.plot([], [], "--", color=f"C{number + 1}", label=label)
    axes.set_ylabel("kB")
    _time_axis(axes, result)


def _versions(axes: Axes, result: ExperimentResult) -> None:
    for proxy in result.versions:
        axes.step(
            [second for second, _ in proxy.points],
            [version for _, version in proxy.points],
            where="post",
            linewidth=0.8,
        )
    axes.set_ylabel("version")
    _time_axis(axes, result)


def _goodput(axes: Axes, result: ExperimentResult) -> None:
    _one_goodput(axes, result.calls, "peppershore", "C0")
    if result.plain_calls is not None:
        _one_goodput(axes, result.plain_calls, "plain proxy", "C1")
    axes.set_ylabel("calls a second")
    _time_axis(axes, result)


def _one_goodput(axes: Axes, calls: CallMeasure, name: str, colour: str) -> None:
    seconds = [each.second for each in calls.seconds]
    offered = [each.offered for each in calls.seconds]
    answered = [each.answered for each in calls.seconds]
    axes.plot(seconds, offered, ":", color=colour, label=f"{name}: offered")
    axes.plot(seconds, answered, color=colour, label=f"{name}: answered")


def _latency(axes: Axes, result: ExperimentResult) -> None:
    _one_latency(axes, result.calls, "peppershore", "C0")
    if result.plain_calls is not None:
        _one_latency(axes, result.plain_calls, "plain proxy", "C1")
    axes.set_yscale("log")
    axes.set_ylabel("milliseconds")
    _time_axis(axes, result)


def _one_latency(axes: Axes, calls: CallMeasure, name: str, colour: str) -> None:
    shown = [each for each in calls.seconds if each.p99_milliseconds > 0]
    seconds = [each.second for each in shown]
    axes.plot(
        seconds,
        [each.p99_milliseconds for each in shown],
        color=colour,
        label=f"{name}: p99",
    )
    axes.plot(
        seconds,
        [each.p50_milliseconds for each in shown],
        "--",
        color=colour,
        label=f"{name}: p50",
    )


def _time_axis(axes: Axes, result: ExperimentResult) -> None:
    for mark in result.marks:
        ended = result.seconds if mark.ended is None else mark.ended
        axes.axvspan(mark.began, ended, color=MARK_COLOUR, alpha=MARK_ALPHA)
    axes.set_xlim(0, result.seconds)
    axes.set_xlabel("seconds of the run (shaded: a fault lasts)")
    _legend(axes)


def _legend(axes: Axes) -> None:
    if axes.get_legend_handles_labels()[1]:
        axes.legend(fontsize="small")
