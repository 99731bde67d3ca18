"""A back end that failed once gets calls again soon, however few calls there are.

Guards against a remainder of its failure that decides every choice among equal costs: it
was left unused for 198 s while calls came one at a time.
"""

from __future__ import annotations

import pytest

from peppershore.connection.messages.endpoints import Endpoint
from peppershore.process.randomness import Randomness
from peppershore.request.admission import Admission, Dispatch
from peppershore.request.endpoint_state import AttemptResult
from peppershore.request.waiting import Ticket
from peppershore.version.model import ServiceSettings

STEP_SECONDS = 0.5
WORK_SECONDS = 0.05
SOON_SECONDS = 30.0
"""Three times the time constant by which observations of a back end lose weight."""


class OneAtATime:
    """Two back ends of equal speed; each call ends before the next one begins."""

    def __init__(self, owner_address: str) -> None:
        self.now = 0.0
        self._admission = Admission(
            "kassa", ServiceSettings(slow_start_milliseconds=0), "a", Randomness(1)
        )
        endpoints = tuple(
            Endpoint(node, "kassa", "a", 1, 1, "ready", node, owner_address, 20, 130)
            for node in ("k1", "k2")
        )
        self._admission.use_endpoints(endpoints, 0.0)

    def call(self, failing: str = "") -> str:
        """Make one call, which fails at ``failing``; return the node that served it."""
        ticket = Ticket(1, "normal", self.now + 10.0)
        dispatch = self._admission.offer(ticket, self.now)
        assert isinstance(dispatch, Dispatch)
        node = dispatch.endpoint.node
        result: AttemptResult = "failed" if node == failing else "good"
        self._admission.finished(dispatch, WORK_SECONDS, result, self.now + WORK_SECONDS)
        self.now += STEP_SECONDS
        return node


@pytest.mark.parametrize("owner_address", ["", "10.0.0.9:1"])
def test_a_back_end_that_failed_once_is_soon_tried_again(owner_address: str) -> None:
    calls = OneAtATime(owner_address)
    for _ in range(40):
        calls.call()
    while calls.call(failing="k1") != "k1":
        pass
    failed_at = calls.now
    while calls.call() != "k1":
        assert calls.now - failed_at <= SOON_SECONDS
