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

from peppershore.command.failures import Failed, unreachable
from peppershore.connection.codec import encode_message
from peppershore.connection.link import Link, open_link
from peppershore.connection.messages import Message, NotLeader, Refused, RetryAfter

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
    """The replica named another one, or none."""

    leader: str


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
            return LinkLost(f"no answer within {timeout_seconds:g} s", sent=True)

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
        self._group = group
        self.reasons: dict[str, str] = {}
        self.maybe_sent = False

    @property
    def remaining_seconds(self) -> float:
        """Time left for the whole question."""
        return self._deadline - self._loop.time()

    async def next_address(self) -> str | None:
        """Give the next replica to try; pause after each round; None when over."""
        if not self._waiting:
            await asyncio.sleep(max(0.0, min(PAUSE_SECONDS, self.remaining_seconds)))
            self._waiting.extend(self._group.replicas)
        return None if self.remaining_seconds <= 0 else self._waiting.popleft()

    def prefer(self, address: str) -> None:
        """Try ``address`` next."""
        if address and address not in self._waiting:
            self._waiting.appendleft(address)

    def note(self, address: str, lost: LinkLost) -> None:
        """Remember why a replica did not answer."""
        self.reasons[address] = lost.reason
        self.maybe_sent = self.maybe_sent or lost.sent

    def failed(self) -> Failed:
        """Say that no replica answered."""
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
        outcome = await _ask_one(address, payload, answer_type, search)
        if isinstance(outcome, answer_type):
            return Success(outcome)
        await _learn(search, address, outcome)
    return Failure(NoAnswer(search.failed(), search.maybe_sent))


async def stream(
    group: ControlGroup, question: Message, answer_type: type[Answer]
) -> AsyncGenerator[Result[Answer, NoAnswer], None]:
    """Ask for a stream of answers; a lost link is opened again elsewhere.

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
                message = await operator_link.receive(max(0.0, search.remaining_seconds))
                if not isinstance(message, answer_type):
                    break
                yield Success(message)
        finally:
            operator_link.close()
        await _learn(search, address, _other_answer(message))
    yield Failure(NoAnswer(search.failed(), search.maybe_sent))


async def _ask_one(
    address: str, payload: bytes, answer_type: type[Answer], search: Search
) -> Answer | Redirected | LinkLost | RetryAfter:
    link = await open_link(address, search._group.tls)
    if isinstance(link, str):
        return LinkLost(link, sent=False)
    operator_link = OperatorLink(link)
    try:
        operator_link.send(payload)
        limit = min(ANSWER_TIMEOUT_SECONDS, max(0.0, search.remaining_seconds))
        message = await operator_link.receive(limit)
    finally:
        operator_link.close()
    return message if isinstance(message, answer_type) else _other_answer(message)


def _other_answer(message: Message | LinkLost) -> Redirected | LinkLost | RetryAfter:
    if isinstance(message, LinkLost | RetryAfter):
        return message
    if isinstance(message, NotLeader):
        return Redirected(message.leader)
    if isinstance(message, Refused):
        return LinkLost(f"refused: {message.reason} {message.detail}".strip(), sent=False)
    return LinkLost(f"unexpected {type(message).__name__}", sent=True)


async def _learn(
    search: Search, address: str, outcome: Message | Redirected | LinkLost
) -> None:
    """Take from an outcome that is no answer where and when to try next."""
    if isinstance(outcome, Redirected):
        search.note(address, LinkLost("does not lead", sent=False))
        if outcome.leader != address:
            search.prefer(outcome.leader)
    elif isinstance(outcome, RetryAfter):
        search.note(address, LinkLost("busy", sent=False))
        wait = outcome.milliseconds / MILLISECONDS_PER_SECOND
        await asyncio.sleep(max(0.0, min(wait, search.remaining_seconds)))
    elif isinstance(outcome, LinkLost):
        search.note(address, outcome)
