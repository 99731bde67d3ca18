"""A back end that restarts under the same name is a new incarnation.

These tests guard against a fault in which a node ignored a restarted back end. After 19
heartbeats the back end restarted and numbered its heartbeats from 1 again. Its reports
were ignored for 30 s, and after a termination report it remained leaving permanently.
The node identified reports by the instance name alone and required each sequence number
to exceed the previous one. The start time tells two incarnations of the same name apart:
the same reports under a new name were accepted immediately.
"""

from __future__ import annotations

import asyncio
import time

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.data_plane.scripted_backend import ScriptedBackend
from tests.data_plane.stage import Node, run

from peppershore.connection.messages.endpoints import Endpoint, EndpointsChanged
from peppershore.process import commands, events
from peppershore.process.http_service import ServiceRequest
from peppershore.process.node.back_end_api import (
    MAX_BODY_BYTES,
    BackEndApi,
    read_heartbeat,
    read_leaving,
)
from peppershore.process.node.back_end_reports import (
    BackEndReport,
    BackEndReports,
    BackEndView,
)
from peppershore.process.node.core import NodeCore, NodeMemory
from peppershore.process.node.inputs import (
    BackEndLeft,
    BackEndReported,
    BackEndReportRefused,
)
from peppershore.process.node.notices import BackEndReportNotUsed
from peppershore.process.settings import NodeSettings

FIRST, SECOND = 1_000_000, 2_000_000


def report(
    born: int, sequence: int, is_leaving: bool = False, name: str = "i1"
) -> BackEndReport:
    return BackEndReport(
        name, "kassa", "10.0.0.1:80", 3, is_leaving, sequence, born=born, version="v1"
    )


def reports() -> BackEndReports:
    return BackEndReports("kassa", 8.0)


def test_a_life_born_later_is_heard_from_its_first_word_on() -> None:
    known = reports()
    for sequence in range(1, 20):
        known.apply(report(FIRST, sequence), sequence)
    assert known.apply(report(SECOND, 1), 20.0)
    assert known.view.life.name == f"i1@{SECOND}"
    assert known.view.state == "ready"


def test_a_leaving_is_forgotten_with_its_life() -> None:
    known = reports()
    known.apply(report(FIRST, 1), 0.0)
    assert known.mark_leaving("i1")
    assert known.apply(report(SECOND, 1), 1.0)
    assert known.view.state == "ready"


@pytest.mark.parametrize("late", [report(FIRST, 30), report(FIRST, 31, is_leaving=True)])
def test_a_late_word_of_the_life_before_changes_nothing(late: BackEndReport) -> None:
    known = reports()
    known.apply(report(FIRST, 1), 0.0)
    known.apply(report(SECOND, 1), 1.0)
    assert not known.apply(late, 1.1)
    assert not known.mark_leaving("i1", FIRST)
    assert (known.view.born, known.view.state) == (SECOND, "ready")


def test_a_name_may_come_back_after_another_one() -> None:
    known = reports()
    known.apply(report(FIRST, 1), 0.0)
    known.apply(report(FIRST + 1, 1, name="i2"), 1.0)
    assert known.apply(report(SECOND, 1), 2.0)
    assert known.view.life.name == f"i1@{SECOND}"


def test_the_end_of_the_present_life_binds_with_and_without_its_birth() -> None:
    for born in (0, SECOND):
        known = reports()
        known.apply(report(SECOND, 1), 0.0)
        assert known.mark_leaving("i1", born)
        assert not known.apply(report(SECOND, 2), 0.1)
        assert known.view.state == "leaving"


def test_one_without_a_birth_goes_by_its_name_alone() -> None:
    known = reports()
    known.apply(report(0, 9), 0.0)
    assert not known.apply(report(0, 1), 1.0)
    assert known.apply(report(0, 1, name="i2"), 2.0)


def _core() -> NodeCore:
    settings = NodeSettings(
        cluster="c", node="n1", service="kassa", zone="a", listen="127.0.0.1:0",
        relays=(), backend="10.0.0.1:80", back_end_listen="127.0.0.1:0",
    )  # fmt: skip
    core = NodeCore(settings, NodeMemory(1), "10.0.0.1:7")
    core.step(events.Started(1), 0.0)
    return core


def test_a_node_that_started_anew_learns_from_others_which_life_is_the_latest() -> None:
    """The first heartbeat that it receives may be a late one of an earlier incarnation."""
    core = _core()
    core.step(BackEndReported(report(FIRST, 30)), 1.0)
    core._reports.overtaken(SECOND)  # noqa: SLF001
    assert core._reports.view.state == "gone"  # noqa: SLF001
    core.step(BackEndReported(report(FIRST, 31)), 2.0)
    assert core._reports.view.state == "gone"  # noqa: SLF001
    core.step(BackEndReported(report(SECOND, 1)), 3.0)
    assert core._reports.view.born == SECOND  # noqa: SLF001


def test_kept_connections_and_loans_end_with_the_life() -> None:
    async def scene() -> None:
        backend = ScriptedBackend()
        own = Node("k1", await backend.start(), back_end_listen="127.0.0.1:0")
        await own.start()
        plane = own.plane.calls.own
        assert plane is not None
        view = BackEndView("i1", "ready", 3, 0, FIRST)
        own.plane.use_back_end(view)
        assert plane.terms.life == f"i1@{FIRST}"
        own.plane.use_back_end(msgspec.structs.replace(view, born=SECOND))
        assert plane.terms.life == f"i1@{SECOND}"
        assert plane.terms.instance == b"i1"
        assert plane.crashes.life == f"i1@{SECOND}"
        seen: list[tuple[str, bool]] = []
        plane.on_absent = lambda life, is_replaced: seen.append((life, is_replaced))
        plane.report_absent(f"i1@{FIRST}")
        assert seen == []
        plane.report_absent(f"i1@{SECOND}", is_replaced=True)
        assert seen == [(f"i1@{SECOND}", True)]
        await own.plane.close()
        backend.stop()

    run(scene())


def test_others_are_told_of_a_life_by_its_birth_and_version() -> None:
    core = _core()
    core.step(BackEndReported(report(FIRST, 1)), 1.0)
    first = core._own.current  # noqa: SLF001
    core.step(BackEndReported(report(SECOND, 1)), 2.0)
    second = core._own.current  # noqa: SLF001
    assert (first.born, second.born, second.version) == (FIRST, SECOND, "v1")
    assert second.incarnation > first.incarnation


# --- invalid reports


def body(**changes: object) -> bytes:
    good: dict[str, object] = {
        "service": "kassa", "address": "10.0.0.1:80", "slots": 3, "state": "ready",
        "sequence": 4, "warming_milliseconds": 0, "version": "v1", "born": FIRST,
    }  # fmt: skip
    return msgspec.json.encode(good | changes)


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "asleep"},
        {"state": ""},
        {"state": 3},
        {"born": -1},
        {"born": "now"},
        {"born": 1.5},
        {"born": int((time.time() + 2 * 86_400) * 1_000)},
        {"sequence": -1},
        {"sequence": True},
        {"slots": 10**9},
        {"warming_milliseconds": 1e300},
        {"warming_milliseconds": -5},
        {"version": "v" * 65},
        {"version": "v\n1"},
        {"service": None},
    ],
)
def test_a_word_out_of_bounds_names_no_back_end_to_use(changes: dict[str, object]) -> None:
    assert isinstance(read_heartbeat("i1", body(**changes)).failure(), str)


@pytest.mark.parametrize(
    "text",
    [
        b'{"born": 99999999999999999999999999}',
        b'{"born": NaN}',
        b"[" * 30_000,
        b'{"a":' * 8_000,
        b"x" * MAX_BODY_BYTES,
        b"\xff\x00",
    ],
)
def test_bytes_that_cannot_be_read_end_nothing(text: bytes) -> None:
    assert isinstance(read_heartbeat("i1", text).failure(), str)
    assert isinstance(read_leaving("i1", text).failure(), str)


@pytest.mark.parametrize("name", ["", "a b", "ä", "x" * 129])
def test_a_name_that_fits_no_header_field_is_refused(name: str) -> None:
    assert isinstance(read_heartbeat(name, body()).failure(), str)
    assert isinstance(read_leaving(name, b"").failure(), str)


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.floats() | st.text(max_size=9) | st.integers(),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3)
    ),
    max_leaves=5,
)
FIELDS = st.sampled_from(
    ["service", "address", "slots", "state", "sequence", "warming_milliseconds", "version",
     "born", "zone"]
)  # fmt: skip


@given(FIELDS, JSON_VALUES)
def test_any_value_in_any_field_is_taken_or_refused_and_the_others_hold(
    field: str, value: object
) -> None:
    try:
        text = body(**{field: value})
    except (OverflowError, msgspec.MsgspecError, UnicodeEncodeError):
        return
    core = _core()
    core.step(BackEndReported(report(FIRST - 1, 1)), 1.0)
    seen: list[events.Event] = []
    path = "/back-ends/i1/heartbeat"
    answer = asyncio.run(
        BackEndApi(seen.append).answer(ServiceRequest("POST", path, "", text))
    )
    assert answer.status in (200, 400)
    for event in seen:
        core.step(event, 2.0)
    if answer.status == 400:
        assert core._reports.view.born == FIRST - 1  # noqa: SLF001
        assert core._reports.view.state == "ready"  # noqa: SLF001


def test_a_flood_of_unusable_words_has_few_lines() -> None:
    core = _core()
    logged = []
    for number in range(100):
        for command in core.step(BackEndReportRefused("x" * 1_000), 1.0 + number * 0.01):
            if isinstance(command, commands.Report):
                logged.append(command.notice)
    assert logged == [BackEndReportNotUsed("x" * 200, 1)]


def test_a_word_of_the_end_may_tell_the_birth() -> None:
    assert read_leaving("i1", b"").unwrap() == BackEndLeft("i1")
    assert read_leaving("i1", b'{"born": 5}').unwrap() == BackEndLeft("i1", 5)


def test_an_endpoint_without_birth_is_read_as_before() -> None:
    old = Endpoint("n1", "kassa", "a", 1, 1, "ready", "10.0.0.1:80", "10.0.0.1:7", 3, 130)
    assert EndpointsChanged((old,)).endpoints[0].born == 0
