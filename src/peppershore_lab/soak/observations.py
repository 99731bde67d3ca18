"""Observations of a soak; times are in monotonic seconds of the soak's process."""

from __future__ import annotations

from typing import Literal

import msgspec
import xxhash

REFUSALS = frozenset({408, 421, 429, 503})
"""Statuses that promise that a request has not run and never will."""

STATUS_OK = 200
STATUS_NOT_FOUND = 404


class RequestEnded(msgspec.Struct, frozen=True):
    """A caller's request that has ended; ``status`` 0: closed without an answer.

    ``once``: it may run at most once.  ``whole``: the answer is this request's own, to
    the last byte.  ``sent``: bytes of it left on a connection that was open.
    ``reason`` is the node's, for an answer of its own.  ``tenant`` holds the key that it
    came with, "" where nobody ever did; None on routes without key.  ``signature`` is the
    back end's in its answer, and the other two say which need it reported with it.
    ``body`` is the digest of the answer's body.
    """

    request: str
    node: str
    once: bool
    sent_at: float
    ended_at: float
    status: int
    whole: bool
    sent: bool
    reason: str = ""
    tenant: str | None = None
    signature: str = ""
    says_limit: bool = False
    says_leaving: bool = False
    body: str = ""


class RunBegan(msgspec.Struct, frozen=True):
    """A back end began to work on a request; ``tenant`` and ``has_key`` as it was told."""

    request: str
    node: str
    at: float
    tenant: str = ""
    has_key: bool = False


class RequestArrived(msgspec.Struct, frozen=True):
    """A request reached a back end, which ran or refused it."""

    request: str
    node: str
    at: float


class AnswerGiven(msgspec.Struct, frozen=True):
    """A back end's answer to a request; ``body`` is the digest of its body.

    ``unframed``: it declared no length.
    """

    request: str
    node: str
    at: float
    status: int
    body: str
    unframed: bool = False


SecondPlace = Literal["behind", "idle", "before-next", "before-close"]
"""Where a second answer was sent: with the answer before it; later, whether or not the next
one was due; just before the next one; behind an answer without a length."""


class SecondAnswerSent(msgspec.Struct, frozen=True):
    """A back end sent a second copy of its answer to ``request``, or a part of it.

    ``after``: the request whose answer was the last one on that connection.
    """

    request: str
    after: str
    node: str
    at: float
    place: SecondPlace
    whole: bool


class PoisonRan(msgspec.Struct, frozen=True):
    """A back end began a request that crashes it, and crashed."""

    path: str
    node: str
    at: float


class LeavingAcknowledged(msgspec.Struct, frozen=True):
    """A node acknowledged a leaving heartbeat; ``until``: when the back end was back."""

    node: str
    at: float
    until: float


class LimitNamed(msgspec.Struct, frozen=True):
    """A back end named a rate limit in its answers, from ``at`` to ``until``."""

    node: str
    calls_per_second: float
    at: float
    until: float


class LeavingAnswered(msgspec.Struct, frozen=True):
    """Answers of a back end said from ``at`` to ``until`` that it is leaving."""

    node: str
    at: float
    until: float


class LifeSeen(msgspec.Struct, frozen=True):
    """One incarnation of a back end, until it crashed or reported that it is leaving."""

    node: str
    began_at: float
    ended_at: float


class WordAnswered(msgspec.Struct, frozen=True):
    """A node's answer to a malformed heartbeat."""

    node: str
    at: float
    status: int


class ChangeAnswered(msgspec.Struct, frozen=True):
    """The answer to a configuration that was sent; ``status`` 0 without one."""

    version: int
    base: int
    digest: str
    valid: bool
    at: float
    status: int


class ConfigurationRead(msgspec.Struct, frozen=True):
    """The newest configuration as read from a hub at ``asked_at``."""

    version: int
    digest: str
    asked_at: float


class MarkerProbed(msgspec.Struct, frozen=True):
    """A request on the route that only this version has; ``life`` counts starts."""

    node: str
    life: int
    version: int
    sent_at: float
    ended_at: float
    status: int


class Disturbance(msgspec.Struct, frozen=True):
    """A fault, from its beginning to the end of all its effects."""

    kind: str
    machine: str
    begun_at: float
    ended_at: float
    planned: bool


class ProcessEnded(msgspec.Struct, frozen=True):
    """A process exited by itself, or logged an unhandled error."""

    machine: str
    what: str
    at: float


class Violation(msgspec.Struct, frozen=True):
    """A broken promise: its name, a detail, and when (monotonic seconds)."""

    promise: str
    detail: str
    at: float


class Record(msgspec.Struct):
    """All observations of one soak; ``unready``: machines not back at its end."""

    requests: list[RequestEnded] = []
    runs: list[RunBegan] = []
    arrivals: list[RequestArrived] = []
    answers: list[AnswerGiven] = []
    second_answers: list[SecondAnswerSent] = []
    poison: list[PoisonRan] = []
    leavings: list[LeavingAcknowledged] = []
    limits: list[LimitNamed] = []
    answered_leavings: list[LeavingAnswered] = []
    lives: list[LifeSeen] = []
    words: list[WordAnswered] = []
    changes: list[ChangeAnswered] = []
    reads: list[ConfigurationRead] = []
    probes: list[MarkerProbed] = []
    disturbances: list[Disturbance] = []
    ends: list[ProcessEnded] = []
    unready: list[str] = []


def body_digest(body: bytes) -> str:
    """Return the digest by which the record holds the body of an answer."""
    return xxhash.xxh3_64_hexdigest(body)
