"""Client of the control group that finds the leader and retries on other replicas.

Every replica tried receives the same request bytes, so an edit keeps its change id
and has one outcome however often it is sent.
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
    """Addresses of the control replicas, and how long a command keeps trying them."""

    replicas: tuple[str, ...]
    timeout_seconds: float
    tls: ssl.SSLContext | None = None


class LinkLost(msgspec.Struct, frozen=True):
    """The link failed or closed, or brought no usable answer.

    ``sent`` is true if the replica may have received the request.
    """

    reason: str
    sent: bool


class Redirected(msgspec.Struct, frozen=True):
    """The replica is not the leader; ``leader`` is the leader's address, "" if unknown.

    ``undecided`` is true if the replica was the leader when it received the request and
    may have carried it out.
    """

    leader: str
    undecided: bool


class Refusal(msgspec.Struct, frozen=True):
    """The replica refuses the request permanently; another replica might answer it."""

    reason: str
    detail: str


OtherOutcome = Redirected | Refusal | LinkLost | RetryAfter
"""Outcomes of a request to one replica other than the expected answer."""


class OperatorLink:
    """One link to one replica, with received messages in a queue."""

    def __init__(self, link: Link) -> None:
        """Start the link and queue every message that it receives."""
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
        """Return the next message, or why there is none within the time-out."""
        try:
            async with asyncio.timeout(timeout_seconds):
                return await self._queue.get()
        except TimeoutError:
            return LinkLost(f"no answer within {timeout_seconds:.1f} s", sent=True)

    def close(self) -> None:
        """Close the link."""
        self._link.close()


class ReplicaSearch:
    """Choice of the next replica to try, until the group's time-out has passed."""

    def __init__(self, group: ControlGroup) -> None:
        """Start the time-out now; the first replica of the group is tried first."""
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
        """Seconds left for the request, over all replicas."""
        return self._deadline - self._loop.time()

    async def next_address(self) -> str | None:
        """Return the address of the next replica to try, or None to give up.

        Pauses after each round over all replicas. Gives up when the time-out has
        passed or when every configured replica has refused the request.
        """
        if self._refusals.keys() >= set(self.group.replicas):
            return None
        if not self._waiting:
            await asyncio.sleep(max(0.0, min(PAUSE_SECONDS, self.remaining_seconds)))
            self._waiting.extend(self.group.replicas)
            self._redirected.clear()
        return None if self.remaining_seconds <= 0 else self._waiting.popleft()

    def prefer(self, address: str) -> None:
        """Try ``address`` next, at most once in a round.

        Replicas that name each other as the leader would otherwise be tried in turn
        without a pause.
        """
        if address and address not in self._redirected:
            self._redirected.add(address)
            self._waiting.appendleft(address)

    def record_failure(self, address: str, lost: LinkLost) -> None:
        """Record why a replica did not answer and whether the request may have arrived."""
        self.reasons[address] = lost.reason
        self.maybe_sent = self.maybe_sent or lost.sent

    def record_refusal(self, address: str, refusal: Refusal) -> None:
        """Record that a replica refused the request."""
        self._refusals[address] = refusal
        self.reasons[address] = f"refused: {refusal.reason}"

    def failed(self) -> Failed:
        """Return the failure to show: the last refusal, else that none answered."""
        if self._refusals:
            last = tuple(self._refusals.values())[-1]
            return refused(last.reason, last.detail)
        reasons = (f"{address} ({reason})" for address, reason in self.reasons.items())
        return unreachable(tuple(reasons) or ("no time to try one",))


class NoAnswer(msgspec.Struct, frozen=True):
    """No replica answered.

    ``maybe_sent`` is true if a replica may have received the request.
    """

    failed: Failed
    maybe_sent: bool


async def ask(
    group: ControlGroup, question: Message, answer_type: type[Answer]
) -> Result[Answer, NoAnswer]:
    """Send a request to one replica after the other and return the first ``answer_type``.

    Fails when the group's time-out has passed or every replica has refused the request.
    """
    search = ReplicaSearch(group)
    payload = encode_message(question)
    while (address := await search.next_address()) is not None:
        message = await _query_replica(address, payload, search)
        if isinstance(message, answer_type):
            return Success(message)
        await _record_outcome(search, address, _other_outcome(message))
    return Failure(NoAnswer(search.failed(), search.maybe_sent))


async def stream(
    group: ControlGroup, question: Message, answer_type: type[Answer]
) -> AsyncGenerator[Result[Answer, NoAnswer], None]:
    """Request a stream of answers and yield each of them.

    When a link is lost or silent, the request is sent again to another replica. The last
    item is a failure, when the group's time-out has passed or every replica has refused;
    a caller that has what it needs closes the stream before.
    """
    search = ReplicaSearch(group)
    payload = encode_message(question)
    while (address := await search.next_address()) is not None:
        link = await open_link(address, group.tls)
        if isinstance(link, str):
            search.record_failure(address, LinkLost(link, sent=False))
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
        await _record_outcome(search, address, _other_outcome(message))
    yield Failure(NoAnswer(search.failed(), search.maybe_sent))


async def _query_replica(
    address: str, payload: bytes, search: ReplicaSearch
) -> Message | LinkLost:
    link = await open_link(address, search.group.tls)
    if isinstance(link, str):
        return LinkLost(link, sent=False)
    operator_link = OperatorLink(link)
    try:
        operator_link.send(payload)
        return await operator_link.receive(_answer_seconds(search))
    finally:
        operator_link.close()


def _answer_seconds(search: ReplicaSearch) -> float:
    """Return the time-out of the next answer in seconds, as a replica may hang silently."""
    return min(ANSWER_TIMEOUT_SECONDS, max(0.0, search.remaining_seconds))


def _other_outcome(message: Message | LinkLost) -> OtherOutcome:
    if isinstance(message, LinkLost | RetryAfter):
        return message
    if isinstance(message, NotLeader):
        return Redirected(message.leader, message.undecided)
    if isinstance(message, Refused):
        return Refusal(message.reason, message.detail)
    return LinkLost(f"unexpected {type(message).__name__}", sent=True)


async def _record_outcome(
    search: ReplicaSearch, address: str, outcome: OtherOutcome
) -> None:
    """Record an outcome other than an answer; wait if the replica asked for a delay."""
    if isinstance(outcome, Redirected):
        known = f"leader: {outcome.leader}" if outcome.leader else "knows no leader"
        reason = f"does not lead, {known}"
        search.record_failure(address, LinkLost(reason, sent=outcome.undecided))
        if outcome.leader != address:
            search.prefer(outcome.leader)
    elif isinstance(outcome, RetryAfter):
        search.record_failure(address, LinkLost("busy", sent=False))
        wait = outcome.milliseconds / MILLISECONDS_PER_SECOND
        await asyncio.sleep(max(0.0, min(wait, search.remaining_seconds)))
    elif isinstance(outcome, Refusal):
        search.record_refusal(address, outcome)
    elif isinstance(outcome, LinkLost):
        search.record_failure(address, outcome)
