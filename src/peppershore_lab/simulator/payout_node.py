"""A node that carries calls which may run once: the real claims client at work.

The data plane is asyncio code and stays outside; what it does around a claim is
written here as a step function: claim, look at the deadline again, send once,
then keep the answer, release, or say that the outcome is not known.
"""

from __future__ import annotations

import itertools

import msgspec

from peppershore.connection.messages.claims import KeptAnswer
from peppershore.process import events
from peppershore.process.claims.client_core import ClaimClientCore
from peppershore.process.claims.wants import (
    ClaimWanted,
    CompletionWanted,
    FinishWant,
    ReleaseWanted,
    WantGranted,
    WantOutcome,
    WantTaken,
)
from peppershore.process.commands import Command
from peppershore_lab.simulator.payout_calls import (
    BackEndSilent,
    CallArrived,
    RunEnded,
    SendToBackEnd,
    TellCaller,
    Told,
)

STATUS_OK = 200


class _Call(msgspec.Struct):
    call: int
    key: str
    attempt: str
    deadline: float


class PayoutNodeCore:
    """Carries calls under claims, as a step function."""

    def __init__(self, name: str, incarnation: int, replicas: tuple[str, ...]) -> None:
        """Ask the claims replicas at these addresses."""
        self._prefix = f"{name}-{incarnation}"
        self._client = ClaimClientCore(replicas, incarnation)
        self._requests = itertools.count(1)
        self._wanted: dict[int, _Call] = {}
        self._sent: dict[int, _Call] = {}

    def step(self, event: events.Event, now: float) -> list[Command]:
        """Take one event."""
        match event:
            case CallArrived():
                return self._arrived(event, now)
            case RunEnded():
                return self._ended(event, now)
            case BackEndSilent():
                return self._silent(event)
            case _:
                return self._claims(event, now)

    def _claims(self, event: events.Event, now: float) -> list[Command]:
        """Step the claims client; take what it finished, pass on the rest."""
        out: list[Command] = []
        for command in self._client.step(event, now):
            if isinstance(command, FinishWant):
                out += self._finished(command.request, command.outcome, now)
            else:
                out.append(command)
        return out

    def _arrived(self, arrived: CallArrived, now: float) -> list[Command]:
        request = next(self._requests)
        attempt = f"{self._prefix}-{request}"
        deadline = now + arrived.deadline_seconds
        self._wanted[request] = _Call(arrived.call, arrived.key, attempt, deadline)
        return self._claims(ClaimWanted(request, arrived.key, attempt, deadline), now)

    def _finished(self, request: int, outcome: WantOutcome, now: float) -> list[Command]:
        call = self._wanted.pop(request)
        if isinstance(outcome, WantTaken):
            if outcome.answer is None:
                return [TellCaller(call.call, call.key, Told.UNKNOWN)]
            body = outcome.answer.body
            return [TellCaller(call.call, call.key, Told.ANSWERED, body)]
        if not isinstance(outcome, WantGranted):
            return [TellCaller(call.call, call.key, Told.NOT_RUN)]
        if now >= call.deadline:
            return self._not_run(call, now)
        self._sent[call.call] = call
        return [SendToBackEnd(call.call, call.key)]

    def _ended(self, ended: RunEnded, now: float) -> list[Command]:
        call = self._sent.pop(ended.call, None)
        if call is None:
            return []
        if ended.body is None:
            return self._not_run(call, now)
        answer = KeptAnswer(STATUS_OK, (), ended.body)
        kept = CompletionWanted(next(self._requests), call.key, call.attempt, answer)
        told = TellCaller(call.call, call.key, Told.ANSWERED, ended.body)
        return [told, *self._claims(kept, now)]

    def _silent(self, silent: BackEndSilent) -> list[Command]:
        call = self._sent.pop(silent.call, None)
        if call is None:
            return []
        return [TellCaller(call.call, call.key, Told.UNKNOWN)]

    def _not_run(self, call: _Call, now: float) -> list[Command]:
        release = ReleaseWanted(next(self._requests), call.key, call.attempt)
        told = TellCaller(call.call, call.key, Told.NOT_RUN)
        return [told, *self._claims(release, now)]
