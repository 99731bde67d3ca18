"""Figures of a run, its JSON, its HTML page and the comparison of two."""

import msgspec
import pytest
from tests.lab.experiment_evidence import LAYOUT, evidence

from peppershore_lab.experiments.compare import compare, comparison_rows
from peppershore_lab.experiments.definition import Limits
from peppershore_lab.experiments.distribution_baselines import BaselineMeasure
from peppershore_lab.experiments.limits import judge_limits
from peppershore_lab.experiments.marks import FaultMark, Span
from peppershore_lab.experiments.measures import measure_calls
from peppershore_lab.experiments.outcome import RunFacts, conclude
from peppershore_lab.experiments.report import render_report
from peppershore_lab.experiments.result import read_result, write_result
from peppershore_lab.experiments.sampling import BytesSample, ControlByteSampler
from peppershore_lab.journal import CallRecord

RUN = Span(100.0, 104.0)
PUSH = BaselineMeasure(
    name="full-push",
    proxies=16,
    changes=1,
    missing=0,
    control_bytes=40_000,
    p50_milliseconds=1.0,
    p99_milliseconds=2.0,
    max_milliseconds=3.0,
)


def call(intended, seconds, outcome="answered", attempt=1, key="", **fields):
    return CallRecord(
        request_id="c1",
        idempotency_key=key,
        kind="kuitti/check",
        method="GET",
        path="/kuitti/check",
        repeatable=True,
        node="127.0.0.1:1",
        attempt=attempt,
        intended_unix_seconds=intended,
        sent_unix_seconds=intended,
        ended_unix_seconds=intended + seconds,
        outcome=outcome,
        status=200 if outcome == "answered" else 503,
        **fields,
    )


def result(control_bytes=2_000):
    freeze = FaultMark(action="freeze", targets=("relay-1",), began=110.0, ended=112.0)
    facts = RunFacts(
        evidence=evidence(calls=(call(101.0, 0.25),), marks=(freeze,)),
        processes=42,
        bring_up_seconds=4.0,
        samples=(BytesSample(100.0, 0), BytesSample(139.0, control_bytes)),
        baselines=(PUSH,),
        plain_calls=(call(101.0, 0.5),),
        plain_runs=(),
    )
    return conclude(facts)


def test_calls_are_counted_in_the_second_they_were_meant_for_and_answered_in():
    calls = [
        call(100.5, 0.25),
        call(100.9, 0.5),
        call(102.0, 1.5, "not-run"),
        call(103.0, 0.1, "unknown", attempt=2),
        call(103.0, 0.1, problem="another's answer"),
    ]
    measured = measure_calls(calls, RUN)
    assert (measured.offered, measured.sent, measured.answered) == (4, 5, 2)
    assert [each.answered for each in measured.seconds[:2]] == [1, 1]
    assert [each.offered for each in measured.seconds] == [2, 0, 1, 1, 0]
    assert [each.served for each in measured.seconds] == [2, 0, 0, 0, 0]
    assert measured.seconds[3].not_run == 1
    assert measured.seconds[3].unknown == 2
    assert measured.p99_milliseconds == pytest.approx(500, rel=0.01)


def test_a_call_that_a_resend_answers_is_served_in_its_own_second():
    calls = [
        call(100.5, 0.1, "unknown", key="k1"),
        call(102.0, 0.1, attempt=2, key="k1"),
        call(100.6, 0.1, "unknown", key="k2"),
    ]
    seconds = measure_calls(calls, RUN).seconds
    assert [(each.offered, each.served, each.answered) for each in seconds[:3]] == [
        (2, 1, 0),
        (0, 0, 0),
        (0, 0, 1),
    ]


def test_bytes_of_a_relay_that_began_again_are_added_to_what_it_sent_before():
    sampler = ControlByteSampler(LAYOUT.relays)
    for relay, counter in [("a", 100), ("b", 10), ("a", 150), ("a", 30), ("a", 40)]:
        sampler.count(relay, counter)
    sampler.count("b", 15)
    assert sampler.total == 50 + 30 + 10 + 5


def test_a_result_survives_its_file(tmp_path):
    path = tmp_path / "results" / "made-up.json"
    write_result(path, result())
    assert read_result(path).unwrap() == result()


@pytest.mark.parametrize("text", ["", "{}", "[]", '{"format": 99'])
def test_a_file_that_is_no_result_is_refused(tmp_path, text):
    path = tmp_path / "bad.json"
    path.write_text(text)
    assert read_result(path).failure().path == str(path)


def test_the_page_shows_every_verdict_and_escapes_what_it_shows():
    found = result()
    titled = msgspec.structs.replace(found.experiment, title="<script>")
    page = render_report(msgspec.structs.replace(found, experiment=titled))
    assert "<script>" not in page
    assert all(verdict.promise.split("'")[0] in page for verdict in found.verdicts)
    assert page.count("data:image/png;base64,") == 5
    assert "http://" not in page and "https://" not in page


def test_a_comparison_gives_ratios_and_both_verdicts():
    comparison = compare(result(2_000), result(1_000))
    ratios = {each.name: each.ratio for each in comparison.figures}
    assert ratios["control bytes"] == 0.5
    assert ratios["calls answered"] == 1.0
    assert all(each.a == each.b for each in comparison.verdicts)
    assert len(comparison_rows(comparison)) == len(comparison.figures) + len(
        comparison.verdicts
    )


def limits_of(calls, control_bytes=1_000, **limits):
    measured = measure_calls(calls, RUN)
    verdicts = judge_limits(Limits(**limits), measured, control_bytes, (PUSH,), 4.0)
    return [verdict.state for verdict in verdicts]


def test_limits_that_are_not_set_are_not_judged():
    assert limits_of([call(100.5, 0.1)]) == []


def test_each_limit_can_break():
    calls = [call(100.5, 0.1), call(100.6, 0.1, "not-run")]
    calls += [call(102.5, 0.1), call(102.6, 0.1)]
    window = {"goodput_seconds": (0.0, 1.0), "peak_seconds": (2.0, 3.0)}
    assert limits_of(calls, goodput_share=0.5, **window) == ["held"]
    assert limits_of(calls, goodput_share=0.6, **window) == ["broken"]
    assert limits_of(calls[:2], goodput_share=0.6, **window) == ["not judged"]
    calls = calls[:2]
    assert limits_of(calls, answered_share=0.5) == ["held"]
    assert limits_of(calls, answered_share=0.6) == ["broken"]
    assert limits_of(calls, recovered_share=0.5, recovered_seconds=4.0) == ["held"]
    assert limits_of(calls, recovered_share=0.6, recovered_seconds=4.0) == ["broken"]
    assert limits_of(calls, recovered_share=0.6, recovered_seconds=1.0) == ["broken"]
    assert limits_of(calls, bytes_below_full_push=40.0) == ["held"]
    assert limits_of(calls, bytes_below_full_push=41.0) == ["broken"]
