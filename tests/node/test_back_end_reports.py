"""The state that a node derives from late or reordered heartbeats of its back end."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from peppershore.process.events import Event
from peppershore.process.http_service import ServiceRequest
from peppershore.process.node.back_end_api import BackEndApi
from peppershore.process.node.back_end_reports import BackEndReport, BackEndReports
from peppershore.process.node.inputs import BackEndLeft, BackEndReported


def report(instance: str, sequence: int, is_leaving: bool = False) -> BackEndReport:
    return BackEndReport(instance, "kassa", "10.0.0.1:80", 18, is_leaving, sequence)


def reports() -> BackEndReports:
    return BackEndReports("kassa", 8.0)


def test_a_leaving_back_end_stays_leaving_whatever_comes_late() -> None:
    known = reports()
    assert known.apply(report("i1", 1), 0.0)
    assert known.apply(report("i1", 4, is_leaving=True), 1.0)
    assert not known.apply(report("i1", 3), 1.1)
    assert not known.apply(report("i1", 5), 1.2)
    assert known.view.state == "leaving"


def test_one_late_heartbeat_of_a_replaced_life_changes_nothing() -> None:
    known = reports()
    known.apply(report("i1", 9), 0.0)
    assert known.apply(report("i2", 1), 1.0)
    assert not known.apply(report("i1", 10), 1.1)
    assert (known.view.instance, known.view.state) == ("i2", "ready")


def test_one_that_left_is_not_brought_back_by_a_late_heartbeat() -> None:
    known = reports()
    known.apply(report("i1", 1), 0.0)
    assert known.mark_leaving("i1")
    assert not known.apply(report("i1", 2), 0.1)
    assert known.view.state == "leaving"


def test_one_that_does_not_answer_is_gone_until_it_says_something() -> None:
    known = reports()
    known.apply(report("i1", 1), 0.0)
    assert known.mark_unreachable("i1")
    assert known.view.state == "gone"
    assert known.apply(report("i1", 2), 1.0)
    assert known.view.state == "ready"


def test_a_silent_one_is_gone() -> None:
    known = reports()
    known.apply(report("i1", 1), 0.0)
    assert not known.tick(7.9)
    assert known.tick(8.0)
    assert known.view.state == "gone"


def test_a_back_end_of_another_service_is_none_of_this_node() -> None:
    known = reports()
    other = msgspec.structs.replace(report("i1", 1), service="kuitti")
    assert not known.apply(other, 0.0)


GOOD = {
    "service": "kassa",
    "address": "10.0.0.1:80",
    "slots": 18,
    "state": "draining",
    "sequence": 4,
    "warming_milliseconds": 0,
    "version": "v1",
}


def ask(path: str, body: bytes, method: str = "POST") -> tuple[int, list[Event]]:
    seen: list[Event] = []
    api = BackEndApi(seen.append)
    answer = asyncio.run(api.answer(ServiceRequest(method, path, "", body)))
    return answer.status, seen


def test_a_heartbeat_becomes_an_event() -> None:
    status, seen = ask("/back-ends/i1/heartbeat", msgspec.json.encode(GOOD))
    wanted = BackEndReport("i1", "kassa", "10.0.0.1:80", 18, True, 4, 0, 0, "v1")
    assert (status, seen) == (200, [BackEndReported(wanted)])
    assert ask("/back-ends/i1/gone", b"") == (200, [BackEndLeft("i1")])


@pytest.mark.parametrize("changes", [{"slots": 0}, {"slots": "x"}, {"sequence": None}])
def test_an_odd_heartbeat_is_refused_and_changes_nothing(
    changes: dict[str, object],
) -> None:
    body = msgspec.json.encode(GOOD | changes)
    assert ask("/back-ends/i1/heartbeat", body) == (400, [])


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b"\xff\xfe", b"[" * 3_000])
def test_garbage_is_refused(body: bytes) -> None:
    assert ask("/back-ends/i1/heartbeat", body) == (400, [])


@pytest.mark.parametrize("path", ["/", "/back-ends", "/back-ends/i1/x", "/a/b/c/d"])
def test_other_paths_are_not_found(path: str) -> None:
    assert ask(path, b"{}")[0] == 404
    assert ask("/back-ends/i1/gone", b"", "GET")[0] == 404
