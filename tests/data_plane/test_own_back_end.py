"""The local back end by its reports: its incarnations and slots, and its link."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest
from tests.data_plane.stage import endpoint, run

from peppershore.connection.http_head import RequestHead
from peppershore.connection.messages.endpoints import WARMING_NOT_TOLD
from peppershore.process.node.back_end_reports import STATE_READY, BackEndView
from peppershore.process.node.data.attempt import AttemptRequest
from peppershore.process.node.data.local_attempt import LocalAttempt
from peppershore.process.node.data.local_back_end import LocalBackEnd
from peppershore.process.randomness import Randomness
from peppershore.request.body_transfers import BodyTransfers
from peppershore.version.model import ServiceSettings

SLOTS = 10


@pytest.mark.parametrize("warming", [WARMING_NOT_TOLD, 0, 60_000])
def test_all_slots_of_a_back_end_that_reports_itself_are_offered_at_once(
    warming: int,
) -> None:
    """The node may just have started, and no other back end may be warmed up either."""

    async def scene() -> None:
        known = endpoint("127.0.0.1:1", slots=SLOTS)
        own = LocalBackEnd(known, ServiceSettings(), Randomness(1))
        own.use_view(BackEndView("i-1", STATE_READY, SLOTS, warming))
        own.use_settings(ServiceSettings())
        state = own.admission.state(known.node)
        assert state is not None
        assert state.slots(now()) == SLOTS
        own.close()

    run(scene())


def test_a_new_incarnation_keeps_running_calls_and_resets_failures() -> None:
    async def scene() -> None:
        known = endpoint("127.0.0.1:1", slots=SLOTS)
        own = LocalBackEnd(known, ServiceSettings(), Randomness(1))
        own.use_view(BackEndView("i-1", STATE_READY, SLOTS, 0))
        before = own.admission.state(known.node)
        assert before is not None
        before.in_flight = 3
        before.consecutive_failures = 2
        own.use_view(BackEndView("i-2", STATE_READY, SLOTS, 60_000))
        after = own.admission.state(known.node)
        assert after is not None
        assert (after.in_flight, after.consecutive_failures) == (3, 0)
        own.use_view(BackEndView("i-2", STATE_READY, SLOTS, 50_000))
        assert own.admission.state(known.node) is after
        own.close()

    run(scene())


class SilentSink:
    """An attempt's sink that ignores all events."""

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *_: None


def _upload(own: LocalBackEnd, *, is_client_retry: bool) -> LocalAttempt:
    """Start an attempt with a large body."""
    request = AttemptRequest(
        head=RequestHead(b"POST", b"/", [], 10),
        headers=[],
        call_class="bulk",
        repeatable=False,
        cancellable=True,
        deadline=now() + 60.0,
        is_client_retry=is_client_retry,
        body_on_credit=True,
    )
    attempt = LocalAttempt(own, request, SilentSink())
    attempt.start()
    return attempt


def test_room_on_the_link_goes_to_the_newest_first_call_then_to_retries() -> None:
    async def scene() -> None:
        known = endpoint("127.0.0.1:1", slots=SLOTS)
        transfers = BodyTransfers(link_megabits=1.0)
        own = LocalBackEnd(known, ServiceSettings(), Randomness(1), transfers=transfers)
        begun: list[LocalAttempt] = []
        under_way = [_upload(own, is_client_retry=False) for _ in range(2)]
        older = _upload(own, is_client_retry=False)
        retry = _upload(own, is_client_retry=True)
        newer = _upload(own, is_client_retry=False)
        for expected in (newer, older, retry):
            before = set(own.awaiting_transfer)
            under_way.pop(0).send_end([])
            begun += before - set(own.awaiting_transfer)
            assert begun[-1] is expected
            under_way.append(expected)
        own.close()

    run(scene())


def now() -> float:
    return asyncio.get_running_loop().time()
