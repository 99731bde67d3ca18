"""Each promise's judge: held when kept, broken when broken, else not judged."""

import msgspec
import pytest
from tests.lab.experiment_evidence import (
    ACCEPTED_AT,
    CHANGED_VERSION,
    FIRST_VERSION,
    LAYOUT,
    NEEDED,
    everything_held,
    evidence,
    held,
)

from peppershore_lab.experiments.edits import EditRecord
from peppershore_lab.experiments.marks import FaultMark
from peppershore_lab.experiments.measures import arrivals_of, measure_convergence
from peppershore_lab.experiments.promises import (
    CLOSED,
    FIRST_OUTCOME,
    IN_FORCE,
    LEAVING,
    NEVER_LOST,
    NO_STEP_BACK,
    ONE_WINS,
    PLANNED_STOP,
    WHOLE,
    judge_promises,
)
from peppershore_lab.journal import CallRecord, RunEnded, RunStarted

STOP = FaultMark(
    action="stop", targets=("node-kassa-1",), began=110.0, exited=114.0, ended=118.0
)
PROXY = NEEDED[0]


def verdicts(found):
    return {each.promise: each for each in judge_promises(found, arrivals_of(found))}


def state(promise, **changed):
    return verdicts(evidence(**changed))[promise].state


def run_at(began, ended, result="completed", run="r1"):
    started = RunStarted(run, "c1", "", "kassa", "backend-kassa-1", "GET", "/x", began)
    return (started, RunEnded(run, result, ended))


def edit(change_id, outcome, version=0, **fields):
    return EditRecord(
        change_id=change_id,
        operator="ann",
        path="/kassa/*/payout",
        sent_unix_seconds=109.0,
        answered_unix_seconds=110.0,
        outcome=outcome,
        version=version,
        **fields,
    )


def call(sent, ended, outcome):
    return CallRecord(
        request_id="c1",
        idempotency_key="",
        kind="kuitti/check",
        method="GET",
        path="/kuitti/check",
        repeatable=True,
        node=LAYOUT.edges[0].http_address,
        attempt=1,
        intended_unix_seconds=sent,
        sent_unix_seconds=sent,
        ended_unix_seconds=ended,
        outcome=outcome,
    )


def test_a_run_in_which_all_went_well_breaks_nothing_and_claims_nothing_more():
    found = verdicts(evidence())
    assert {each.state for each in found.values()} == {"held", "not judged"}
    assert {name for name, each in found.items() if each.state == "held"} == {
        NO_STEP_BACK,
        CLOSED,
        WHOLE,
        IN_FORCE,
    }


def test_a_step_back():
    again = held(PROXY, ACCEPTED_AT + 1, FIRST_VERSION)
    assert state(NO_STEP_BACK, held=(*everything_held(), again)) == "broken"


def test_a_content_that_is_not_the_versions_own():
    wrong = held(PROXY, ACCEPTED_AT + 0.1, CHANGED_VERSION, digest=1)
    assert state(WHOLE, held=(*everything_held(), wrong)) == "broken"


@pytest.mark.parametrize(("delay", "expected"), [(4.9, "held"), (5.1, "broken")])
def test_the_bound_of_convergence(delay, expected):
    assert state(IN_FORCE, held=everything_held(delay)) == expected


def test_a_proxy_that_never_holds_an_accepted_version():
    short = [each for each in everything_held() if each.proxy != PROXY]
    found = verdicts(evidence(held=(*short, held(PROXY, 90.0, FIRST_VERSION))))
    assert found[IN_FORCE].broken == 1


def test_the_bound_counts_from_when_the_proxy_can_be_reached_again():
    freeze = FaultMark(action="freeze", targets=(PROXY,), began=105.0, ended=120.0)
    late = [each for each in everything_held() if each.proxy != PROXY]
    late += [held(PROXY, 90.0, FIRST_VERSION), held(PROXY, 121.0, CHANGED_VERSION)]
    found = evidence(held=tuple(late), marks=(freeze,))
    assert verdicts(found)[IN_FORCE].state == "held"
    reached = measure_convergence(arrivals_of(found))
    assert reached.max_milliseconds == pytest.approx(11_000)
    assert reached.judged_max_milliseconds == pytest.approx(1_000)


@pytest.mark.parametrize(("began", "expected"), [(111.9, "held"), (112.5, "broken")])
def test_new_work_of_a_leaving_back_end(began, expected):
    assert state(LEAVING, marks=(STOP,), runs=run_at(began, began + 0.1)) == expected


def test_a_run_cut_by_a_planned_stop():
    whole = run_at(109.0, 111.0)
    assert state(PLANNED_STOP, marks=(STOP,), runs=whole) == "held"
    cancelled = run_at(109.0, 111.0, "cancelled")
    assert state(PLANNED_STOP, marks=(STOP,), runs=cancelled) == "broken"
    assert state(PLANNED_STOP, marks=(STOP,), runs=whole[:1]) == "broken"
    before = run_at(105.0, 106.0, "cancelled")
    assert state(PLANNED_STOP, marks=(STOP,), runs=before) == "not judged"


def test_a_call_cut_by_the_planned_stop_of_its_node():
    stop = msgspec.structs.replace(STOP, targets=(LAYOUT.edges[0].name,))
    in_flight = call(109.0, 111.0, "broken")
    assert state(PLANNED_STOP, marks=(stop,), calls=(in_flight,)) == "broken"
    later = call(110.5, 111.0, "broken")
    assert state(PLANNED_STOP, marks=(stop,), calls=(later,)) == "not judged"


def test_an_answered_edit_that_the_log_lacks_or_has_elsewhere():
    assert state(NEVER_LOST, edits=(edit("move", "accepted", CHANGED_VERSION),)) == "held"
    assert state(NEVER_LOST, edits=(edit("move", "accepted", 4),)) == "broken"
    assert state(NEVER_LOST, edits=(edit("lost", "accepted", 4),)) == "broken"


def test_a_resent_edit_with_another_outcome():
    first = edit("move", "accepted", CHANGED_VERSION)
    again = edit("move", "accepted", CHANGED_VERSION, resend=True)
    assert state(FIRST_OUTCOME, edits=(first, again)) == "held"
    other = edit("move", "conflict", resend=True)
    assert state(FIRST_OUTCOME, edits=(first, other)) == "broken"
    silent = edit("move", "unanswered", resend=True)
    assert state(FIRST_OUTCOME, edits=(first, silent)) == "not judged"


def test_a_race_that_both_win_or_both_lose():
    won = edit("a", "accepted", 6, race="a")
    lost = edit("b", "conflict", race="a")
    assert state(ONE_WINS, edits=(won, lost)) == "held"
    also_won = edit("b", "accepted", 7, race="a")
    assert state(ONE_WINS, edits=(won, also_won)) == "broken"
    assert state(ONE_WINS, edits=(edit("a", "conflict", race="a"), lost)) == "broken"
    unanswered = edit("b", "unanswered", race="a")
    assert state(ONE_WINS, edits=(won, unanswered)) == "not judged"
