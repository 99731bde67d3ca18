"""Asks the control group: finds the leader, retries elsewhere, keeps the message.

A question is sent as the same bytes to every replica tried, so that an edit
keeps its change id and has one outcome however often it is sent.
"""

from __future__ import annotations

import asyncio
import ssl
from collections import deque
from collections.abc import AsyncGenerator
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from peppershore.command.failures import Failed, refused, unreachable
from peppershore.connection.codec import encode_message
from peppershore.connection.link import Link, open_link
from peppershore.connection.messages.base import Message
from peppershore.connection.messages.operators import NotLeader
from peppershore.connection.messages.session import Refused, RetryAfter

Answer = TypeVar("Answer", bound=Message)

ANSWER_TIMEOUT_SECONDS = 5.0
PAUSE_SECONDS = 0.1
MILLISECONDS_PER_SECOND = 1_000


class ControlGroup(msgspec.Struct, frozen=True):
    """Where the control replicas are and how long a command keeps trying."""

    replicas: tuple[str, ...]
    timeout_seconds: float
    tls: ssl.SSLContext | None = None


class LinkLost(msgspec.Struct, frozen=True):
    """The link ended or gave no usable answer; ``sent``: the question may have arrived."""

    reason: str
    sent: bool


class Redirected(msgspec.Struct, frozen=True):
    """The replica does not lead; it names the leader if it knows one.

    ``undecided``: it led when the question came and may have carried it out.
    """

    leader: str
    undecided: bool


class Refusal(msgspec.Struct, frozen=True):
    """The replica will never answer this; another replica might."""

    reason: str
    detail: str


OtherAnswer = Redirected | Refusal | LinkLost | RetryAfter
"""What may come instead of the answer asked for."""


class OperatorLink:
    """One link to one replica, with received messages in a queue."""

    def __init__(self, link: Link) -> None:
        """Begin to collect what comes."""
        self._link = link
        self._queue: asyncio.Queue[Message | LinkLost] = asyncio.Queue()
        link.start(
            on_message=lambda message, _size: self._queue.put_nowait(message),
            on_closed=lambda reason: self._queue.put_nowait(LinkLost(reason, sent=True)),
        )

    def send(self, payload: bytes) -> None:
        """Send one encoded message."""
        self._link.send(payload)

    async def receive(self, timeout_seconds: float) -> Message | LinkLost:
        """Give the next message, or why none came."""
        try:
            async with asyncio.timeout(timeout_seconds):
                return await self._queue.get()
        except TimeoutError:
            return LinkLost(f"no answer within {timeout_seconds:.1f} s", sent=True)

    def close(self) -> None:
        """End the link."""
        self._link.close()


class Search:
    """Which replica to try next, until the time is over."""

    def __init__(self, group: ControlGroup) -> None:
        """Start with the first replica given."""
        self._loop = asyncio.get_running_loop()
        self._deadline = self._loop.time() + group.timeout_seconds
        self._waiting = deque(group.replicas)
        self.group = group
        self._refusals: dict[str, Refusal] = {}
        self._redirected: set[str] = set()
        self.reasons: dict[str, str] = {}
        self.maybe_sent = False

    @property
    def remaining_seconds(self) -> float:
        """Time left for the whole question."""
        return self._deadline - self._loop.time()

    async def next_address(self) -> str | None:
        """Give the next replica to try; pause after each round; None when over.

        It is over when the time is, or when every replica given has refused.
        """
        if self._refusals.keys() >= set(self.group.replicas):
            return None
        if not self._waiting:
            await asyncio.sleep(max(0.0, min(PAUSE_SECONDS, self.remaining_seconds)))
            self._waiting.extend(self.group.replicas)
            self._redirected.clear()
        return None if self.remaining_seconds <= 0 else self._waiting.popleft()

    def prefer(self, address: str) -> None:
        """Try ``address`` next, but once in a round: replicas may disagree."""
        if address and address not in self._redirected:
            self._redirected.add(address)
            self._waiting.appendleft(address)

    def note(self, address: str, lost: LinkLost) -> None:
        """Remember why a replica did not answer."""
        self.reasons[address] = lost.reason
        self.maybe_sent = self.maybe_sent or lost.sent

    def refuse(self, address: str, refusal: Refusal) -> None:
        """Remember that a replica refused the question."""
        self._refusals[address] = refusal
        self.reasons[address] = f"refused: {refusal.reason}"

    def failed(self) -> Failed:
        """Say that no replica answered, or why all refused."""
        if self._refusals:
            last = tuple(self._refusals.values())[-1]
            return refused(last.reason, last.detail)
        reasons = (f"{address} ({reason})" for address, reason in self.reasons.items())
        return unreachable(tuple(reasons) or ("no time to try one",))


class NoAnswer(msgspec.Struct, frozen=True):
    """No replica answered; ``maybe_sent``: one may have received the question."""

    failed: Failed
    maybe_sent: bool


async def ask(
    group: ControlGroup, question: Message, answer_type: type[Answer]
) -> Result[Answer, NoAnswer]:
    """Ask until a replica gives an ``answer_type`` or the group's time is over."""
    search = Search(group)
    payload = encode_message(question)
    while (address := await search.next_address()) is not None:
        message = await _ask_one(address, payload, search)
        if isinstance(message, answer_type):
            return Success(message)
        await _learn(search, address, _other_answer(message))
    return Failure(NoAnswer(search.failed(), search.maybe_sent))


async def stream(
    group: ControlGroup, question: Message, answer_type: type[Answer]
) -> AsyncGenerator[Result[Answer, NoAnswer], None]:
    """Ask for a stream of answers; a lost or silent link is opened again elsewhere.

    Ends with a failure when the group's time is over; the caller stops before.
    """
    search = Search(group)
    payload = encode_message(question)
    while (address := await search.next_address()) is not None:
        link = await open_link(address, group.tls)
        if isinstance(link, str):
            search.note(address, LinkLost(link, sent=False))
            continue
        operator_link = OperatorLink(link)
        try:
            operator_link.send(payload)
            while True:
                message = await operator_link.receive(_answer_seconds(search))
                if not isinstance(message, answer_type):
                    break
                yield Success(message)
        finally:
            operator_link.close()
        await _learn(search, address, _other_answer(message))
    yield Failure(NoAnswer(search.failed(), search.maybe_sent))


async def _ask_one(address: str, payload: bytes, search: Search) -> Message | LinkLost:
    link = await open_link(address, search.group.tls)
    if isinstance(link, str):
        return LinkLost(link, sent=False)
    operator_link = OperatorLink(link)
    try:
        operator_link.send(payload)
        return await operator_link.receive(_answer_seconds(search))
    finally:
        operator_link.close()


def _answer_seconds(search: Search) -> float:
    """Give how long to wait for the next answer: a replica may hang in silence."""
    return min(ANSWER_TIMEOUT_SECONDS, max(0.0, search.remaining_seconds))


def _other_answer(message: Message | LinkLost) -> OtherAnswer:
    if isinstance(message, LinkLost | RetryAfter):
        return message
    if isinstance(message, NotLeader):
        return Redirected(message.leader, message.undecided)
    if isinstance(message, Refused):
        return Refusal(message.reason, message.detail)
    return LinkLost(f"unexpected {type(message).__name__}", sent=True)


async def _learn(search: Search, address: str, outcome: OtherAnswer) -> None:
    """Take from an outcome that is no answer where and when to try next."""
    if isinstance(outcome, Redirected):
        known = f"leader: {outcome.leader}" if outcome.leader else "knows no leader"
        reason = f"does not lead, {known}"
        search.note(address, LinkLost(reason, sent=outcome.undecided))
        if outcome.leader != address:
            search.prefer(outcome.leader)
    elif isinstance(outcome, RetryAfter):
        search.note(address, LinkLost("busy", sent=False))
        wait = outcome.milliseconds / MILLISECONDS_PER_SECOND
        await asyncio.sleep(max(0.0, min(wait, search.remaining_seconds)))
    elif isinstance(outcome, Refusal):
        search.refuse(address, outcome)
    elif isinstance(outcome, LinkLost):
        search.note(address, outcome)
