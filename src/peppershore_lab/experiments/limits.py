"""Judges a run by the limits that its own file sets."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from peppershore_lab.experiments.definition import Limits
from peppershore_lab.experiments.distribution_baselines import BaselineMeasure
from peppershore_lab.experiments.measures import CallMeasure
from peppershore_lab.experiments.verdict import Verdict, judge

FULL_PUSH = "full-push"


def judge_limits(
    limits: Limits,
    calls: CallMeasure,
    control_bytes: int,
    baselines: Sequence[BaselineMeasure],
    load_seconds: float,
) -> list[Verdict]:
    """Give a verdict for each limit that is set."""
    found = [
        _answered(limits, calls),
        _goodput(limits, calls),
        _recovered(limits, calls, load_seconds),
        _bytes(limits, control_bytes, baselines),
    ]
    return [verdict for verdicts in found for verdict in verdicts]


def _answered(limits: Limits, calls: CallMeasure) -> Iterator[Verdict]:
    if not limits.answered_share:
        return
    share = calls.answered / calls.sent if calls.sent else 0.0
    problems = [f"{share:.4f}"] if share < limits.answered_share else []
    promise = f"at least {limits.answered_share:.1%} of the calls are answered"
    yield judge(promise, calls.sent, problems)


def _goodput(limits: Limits, calls: CallMeasure) -> Iterator[Verdict]:
    if not limits.goodput_share:
        return
    goodput = _answers_a_second(calls, limits.goodput_seconds)
    peak = _answers_a_second(calls, limits.peak_seconds)
    told = f"{goodput:.1f} answers a second of {peak:.1f} at the peak"
    problems = [told] if goodput < limits.goodput_share * peak else []
    promise = f"goodput in overload is at least {limits.goodput_share:.0%} of its peak"
    yield judge(promise, round(peak), problems)


def _answers_a_second(calls: CallMeasure, window: tuple[float, float]) -> float:
    began, ended = window
    answered = [each.answered for each in calls.seconds if began <= each.second < ended]
    return sum(answered) / len(answered) if answered else 0.0


def _recovered(
    limits: Limits, calls: CallMeasure, load_seconds: float
) -> Iterator[Verdict]:
    if not limits.recovered_share:
        return
    window = [
        each
        for each in calls.seconds
        if load_seconds - limits.recovered_seconds <= each.second < load_seconds
    ]
    offered = sum(each.offered for each in window)
    served = sum(each.served for each in window)
    share = served / offered if offered else 0.0
    problems = [f"{share:.4f}"] if share < limits.recovered_share else []
    promise = f"at the end at least {limits.recovered_share:.1%} are answered again"
    yield judge(promise, offered, problems)


def _bytes(
    limits: Limits, control_bytes: int, baselines: Sequence[BaselineMeasure]
) -> Iterator[Verdict]:
    if not limits.bytes_below_full_push:
        return
    pushed = [each.control_bytes for each in baselines if each.name == FULL_PUSH]
    ratio = pushed[0] / control_bytes if pushed and control_bytes else 0.0
    problems = [f"{ratio:.1f} times"] if ratio < limits.bytes_below_full_push else []
    promise = (
        f"control bytes are at least {limits.bytes_below_full_push:.0f} times below "
        "full push"
    )
    yield judge(promise, len(pushed), problems)
