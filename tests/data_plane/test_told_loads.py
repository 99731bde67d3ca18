"""The load that back ends report affects the choice of a back end, and their slots.

A report is a header "running,waiting,slots,pace" of an answer; the pace is in percent of
the usual service time, 100 as usual.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec
import pytest
from tests.data_plane.scripted_backend import Received, Script, ScriptedBackend, answer_ok
from tests.data_plane.stage import (
    PUBLIC_ROUTE,
    Answer,
    Node,
    call,
    endpoint,
    run,
    until,
)

from peppershore.connection.http_head import RequestHead
from peppershore.process.node.back_end_reports import STATE_READY, BackEndView
from peppershore.process.node.data.attempt import AttemptRequest
from peppershore.process.node.data.local_back_end import LocalBackEnd
from peppershore.process.node.data.notices import AnswerFieldsUnused
from peppershore.process.randomness import Randomness
from peppershore.process.settings import HeaderSettings
from peppershore.request.back_ends.local_report import COUNT_SECONDS
from peppershore.request.back_ends.pace import PACE_SECONDS
from peppershore.request.outcome import SLOW_NOW, NotRun
from peppershore.request.wire_names import WireNames
from peppershore.version.model import ServiceSettings

LOAD = "x-told-load"
NAMES = WireNames(load=LOAD.encode())
HEADERS = HeaderSettings(
    request_id="x-request-id", deadline="peppershore-deadline-milliseconds", load=LOAD
)
ROUTE = msgspec.structs.replace(PUBLIC_ROUTE, hop="owner")
SLOTS = 5


def reporting(figures: str) -> Script:
    """Return a script that answers 200 with these figures as the reported load."""

    async def script(request: Received, writer: asyncio.StreamWriter) -> None:
        await request.body()
        writer.write(
            f"HTTP/1.1 200 OK\r\n{LOAD}: {figures}\r\ncontent-length: 2\r\n\r\nok".encode()
        )

    return script


class Pair:
    """A caller's node, a back end, and the back end's local node."""

    def __init__(self, script: Script, **changes: object) -> None:
        self.backend = ScriptedBackend(script)
        self._changes = changes
        self.callers = ""

    async def __aenter__(self) -> Pair:
        address = await self.backend.start()
        self.owner = Node("k1", address, slots=SLOTS, headers=HEADERS)
        await self.owner.start(endpoint(address, "k1", "127.0.0.1:1", SLOTS))
        self.edge = Node("e1", headers=HEADERS, **self._changes)
        at_owner = self.owner.addresses.internal
        self.callers = await self.edge.start(
            endpoint(address, "k1", at_owner, SLOTS), route=ROUTE
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.edge.plane.close()
        await self.owner.plane.close()
        self.backend.stop()

    async def call(self) -> Answer:
        return await call(self.callers)

    @property
    def own(self) -> LocalBackEnd:
        own = self.owner.plane.calls.own
        assert own is not None
        return own


def test_the_reported_load_is_read_and_forwarded() -> None:
    async def scene() -> None:
        async with Pair(reporting("1,0,5,250")) as pair:
            _report(pair.own, b"1,0,5,100", times=3)
            answer = await pair.call()
            assert answer.headers[LOAD] == "1,0,5,250"
            assert pair.own.report.pace_percent == 250
            state = pair.edge.plane.calls.admissions.state_of("kassa", "k1")
            assert state is not None
            assert state.speed.pace_percent == 250

    run(scene())


@pytest.mark.parametrize("figures", ["", "x", "-1,0,5,250", "1,0", "1,0,0", "9999999,0,5"])
def test_calls_are_served_whatever_the_field_contains(figures: str) -> None:
    async def scene() -> None:
        async with Pair(reporting(figures)) as pair:
            for _ in range(5):
                assert (await pair.call()).status == 200
            assert pair.own.load("all").running == 0
            assert pair.own.load("all").pace_age_milliseconds == -1

    run(scene())


def test_work_of_others_is_reported_as_running() -> None:
    async def scene() -> None:
        async with Pair(reporting("3,0,5,100")) as pair:
            for _ in range(3):
                assert (await pair.call()).status == 200
            assert pair.own.load("all").running == 2

    run(scene())


def test_a_back_end_that_reports_too_much_load_still_gets_calls_one_by_one() -> None:
    async def scene() -> None:
        async with Pair(reporting("8,0,5,100")) as pair:
            answers = await asyncio.gather(*(pair.call() for _ in range(6)))
            assert {answer.status for answer in answers} == {200}

    run(scene())


def test_a_slow_machine_refuses_probes_for_a_free_slot_and_still_serves() -> None:
    """The only back end accepts the call once the call may wait."""

    async def scene() -> None:
        async with Pair(reporting("1,0,5,250"), seek_free_slots=True) as pair:
            _report(pair.own, b"1,0,5,100", times=3)
            assert (await pair.call()).status == 200
            pair.edge.plane.calls.admissions.state_of("kassa", "k1").passed_over_until = 0.0  # type: ignore[union-attr]
            assert (await pair.call()).status == 200
            assert pair.own.refused_while_slow == 1
            assert len(pair.backend.requests) == 2

    run(scene())


class SilentAttempt:
    """An attempt that ignores all events."""

    is_client_retry = False

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *_: None


def _own() -> LocalBackEnd:
    own = LocalBackEnd(
        endpoint("127.0.0.1:1", slots=SLOTS), ServiceSettings(), Randomness(1), NAMES
    )
    own.use_view(BackEndView("i-1", STATE_READY, SLOTS, 0))
    return own


def _request(*, may_wait: bool) -> AttemptRequest:
    return AttemptRequest(
        head=RequestHead(b"GET", b"/", [], 0),
        headers=[],
        call_class="normal",
        repeatable=True,
        cancellable=True,
        deadline=asyncio.get_running_loop().time() + 60.0,
        may_wait=may_wait,
    )


def _report(own: LocalBackEnd, figures: bytes, times: int = 2) -> None:
    for _ in range(times):
        own.load_reported(figures, own.life.name)


def test_calls_that_may_go_elsewhere_are_refused_while_the_machine_is_slow() -> None:
    async def scene() -> None:
        own = _own()
        _report(own, b"0,0,5,100", times=3)
        _report(own, b"0,0,5,250")
        refusal = own.admit(SilentAttempt(), _request(may_wait=False))
        assert isinstance(refusal, NotRun)
        assert (refusal.reason, refusal.retryable) == (SLOW_NOW, True)
        assert not isinstance(own.admit(SilentAttempt(), _request(may_wait=True)), NotRun)
        _report(own, b"1,0,5,100")
        assert not isinstance(own.admit(SilentAttempt(), _request(may_wait=False)), NotRun)
        own.close()

    run(scene())


def test_slots_used_by_others_are_withheld_until_the_report_expires() -> None:
    async def scene() -> None:
        own = _own()
        _report(own, b"3,0,5,100")
        asks = [own.admit(SilentAttempt(), _request(may_wait=False)) for _ in range(3)]
        assert [isinstance(ask, NotRun) for ask in asks] == [False, False, True]
        await asyncio.sleep(COUNT_SECONDS)
        again = [own.admit(SilentAttempt(), _request(may_wait=False)) for _ in range(4)]
        assert [isinstance(ask, NotRun) for ask in again] == [False, False, False, True]
        own.close()

    run(scene())


def test_a_new_incarnation_starts_without_reported_load() -> None:
    async def scene() -> None:
        own = _own()
        before = own.life.name
        _report(own, b"5,9,5,250")
        own.use_view(BackEndView("i-2", STATE_READY, SLOTS, 0))
        own.load_reported(b"5,9,5,250", before)
        assert own.load("all") == msgspec.structs.replace(
            own.load("all"), running=0, pace_percent=100, pace_age_milliseconds=-1
        )
        own.close()

    run(scene())


async def never_answers(request: Received, writer: asyncio.StreamWriter) -> None:
    """Never answer on this connection."""
    del writer
    await request.reader.read()


def test_a_call_at_a_back_end_that_never_answers_ends_at_its_deadline() -> None:
    async def scene() -> None:
        async with Pair(never_answers) as pair:
            answer = await call(
                pair.callers, headers={"peppershore-deadline-milliseconds": "300"}
            )
            assert (answer.status, answer.outcome) == (504, "unknown")
            await until(lambda: pair.own.in_flight == 0)
            pair.backend.script = answer_ok
            assert (await pair.call()).status == 200

    run(scene())


def test_a_reported_pace_expires() -> None:
    async def scene() -> None:
        own = _own()
        _report(own, b"0,0,5,100", times=3)
        _report(own, b"0,0,5,250")
        await asyncio.sleep(PACE_SECONDS)
        assert not isinstance(own.admit(SilentAttempt(), _request(may_wait=False)), NotRun)
        own.close()

    run(scene())


def test_an_answer_field_that_the_node_does_not_use_is_logged_once() -> None:
    async def scene() -> None:
        async with Pair(reporting("1,0,5\r\nx-rate: 13.2")) as pair:
            for _ in range(3):
                assert (await pair.call()).status == 200
            seen = [
                each for each in pair.owner.notices if isinstance(each, AnswerFieldsUnused)
            ]
            assert [each.fields for each in seen] == [("x-rate",)]

    run(scene())
