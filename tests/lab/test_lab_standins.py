"""Stand-in back ends: bounds, reports, deadlines and the journal of runs."""

import asyncio

import msgspec
import pytest

from peppershore_lab.calls.client import (
    CallBroken,
    ClientAnswer,
    ClientConnection,
    ClientRequest,
)
from peppershore_lab.journal import JournalReader, RunEnded, RunRecord, RunStarted
from peppershore_lab.standin.backend import (
    CONTROL_PATH,
    DEADLINE_HEADER,
    HEALTH_PATH,
    REQUEST_ID_HEADER,
    Backend,
    BackendIdentity,
)
from peppershore_lab.standin.behaviour import Behaviour, LoadReport, work_seconds
from peppershore_lab.standin.reports import ReportHistory
from peppershore_lab.standin.slots import Slots

FAST = Behaviour(connect_milliseconds=0, work_milliseconds=0)


class Stand:
    """A back end in this process, listening on a free port."""

    def __init__(self, tmp_path, behaviour):
        self.journal = tmp_path / "journal.jsonl"
        self.backend = Backend(BackendIdentity("kassa", "b1"), behaviour, self.journal, 1)

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.backend.accept, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_):
        self.server.close()

    async def call(self, path="/x", method="GET", headers=(), body=b""):
        connection = ClientConnection(self.address)
        try:
            return await connection.call(ClientRequest(method, path, headers, body))
        finally:
            connection.close()

    async def control(self, **fields):
        answer = await self.call(CONTROL_PATH, "POST", (), msgspec.json.encode(fields))
        assert isinstance(answer, ClientAnswer)
        return answer.status

    def records(self):
        return JournalReader(RunRecord).read(self.journal)


def test_a_run_is_journaled_and_answered_with_its_request_id(tmp_path):
    async def scenario():
        async with Stand(tmp_path, FAST) as stand:
            answer = await stand.call(headers=((REQUEST_ID_HEADER, "c1"),))
            return answer, stand.records()

    answer, (started, ended) = asyncio.run(scenario())
    assert msgspec.json.decode(answer.body)["request_id"] == "c1"
    assert isinstance(started, RunStarted) and started.request_id == "c1"
    assert ended == RunEnded(started.run, "completed", ended.unix_seconds)


def test_a_shedding_back_end_runs_nothing(tmp_path):
    async def scenario():
        async with Stand(tmp_path, FAST) as stand:
            assert await stand.control(shedding=True) == 200
            return await stand.call(), stand.records()

    answer, records = asyncio.run(scenario())
    assert answer.status == 503
    assert records == []


def test_a_deadline_ends_a_run_and_the_journal_says_so(tmp_path):
    async def scenario():
        slow = msgspec.structs.replace(FAST, work_milliseconds=60_000)
        async with Stand(tmp_path, slow) as stand:
            return await stand.call(headers=((DEADLINE_HEADER, "5"),)), stand.records()

    answer, records = asyncio.run(scenario())
    assert answer.status == 504
    assert records[-1].result == "deadline"


def test_a_client_that_goes_away_cancels_its_run(tmp_path):
    async def scenario():
        slow = msgspec.structs.replace(FAST, work_milliseconds=60_000)
        async with Stand(tmp_path, slow) as stand:
            call = asyncio.ensure_future(stand.call())
            while not stand.records():  # noqa: ASYNC110 - the journal is a file
                await asyncio.sleep(0)
            call.cancel()
            await stand.backend.drained()
            return stand.records()

    assert asyncio.run(scenario())[-1].result == "cancelled"


def test_a_cut_answer_is_never_taken_for_a_whole_one(tmp_path):
    async def scenario():
        cutting = msgspec.structs.replace(FAST, cut_answers=1.0, answer_bytes=10_000)
        async with Stand(tmp_path, cutting) as stand:
            return await stand.call()

    assert isinstance(asyncio.run(scenario()), CallBroken)


def test_bad_control_input_changes_nothing(tmp_path):
    async def scenario():
        async with Stand(tmp_path, FAST) as stand:
            assert await stand.control(no_such_field=1) == 400
            return await stand.call()

    assert asyncio.run(scenario()).status == 200


def test_a_draining_back_end_reports_unhealthy_and_a_lying_one_does_not(tmp_path):
    async def scenario():
        async with Stand(tmp_path, FAST) as stand:
            stand.backend.begin_drain()
            honest = await stand.call(HEALTH_PATH)
            await stand.control(report_mode="lying", false_health=True)
            return honest.status, (await stand.call(HEALTH_PATH)).status

    assert asyncio.run(scenario()) == (503, 200)


def test_a_lagging_report_shows_the_past():
    lagging = Behaviour(report_mode="lagging", report_lag_milliseconds=1_000)
    history = ReportHistory()
    old = LoadReport(1, 0, 20, 0.05, True)
    new = LoadReport(9, 0, 20, 0.45, True)
    history.note(10.0, old)
    history.note(10.9, new)
    assert history.shown(11.0, new, lagging) == old
    assert history.shown(12.0, new, lagging) == new


@pytest.mark.parametrize(
    ("age_seconds", "expected"), [(0.0, 0.040), (0.5, 0.025), (1.0, 0.010), (9.0, 0.010)]
)
def test_cold_start_falls_to_the_warm_time(age_seconds, expected):
    cold = Behaviour(work_milliseconds=10, cold_factor=4, warm_up_milliseconds=1_000)
    assert work_seconds(cold, age_seconds) == pytest.approx(expected)


def test_slots_are_granted_in_order_and_an_abandoned_wait_leaks_none():
    async def scenario():
        slots = Slots(slots=1, queue_limit=2)
        await slots.enter()
        first = asyncio.ensure_future(slots.enter())
        second = asyncio.ensure_future(slots.enter())
        await asyncio.sleep(0)
        assert not slots.may_enter
        first.cancel()
        await asyncio.sleep(0)
        slots.leave()
        await second
        assert (slots.running, slots.waiting) == (1, 0)
        slots.leave()
        await slots.idle()
        return slots.running

    assert asyncio.run(scenario()) == 0
