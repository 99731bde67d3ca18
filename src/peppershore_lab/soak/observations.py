"""What a soak saw, as values; times are monotonic seconds of the soak's own process."""

from __future__ import annotations

import msgspec

REFUSALS = frozenset({408, 421, 429, 503})
"""Statuses that say that a request has not run and never will."""

STATUS_OK = 200
STATUS_NOT_FOUND = 404


class RequestEnded(msgspec.Struct, frozen=True):
    """A request of a caller, over; ``status`` 0: the connection ended without an answer.

    ``once``: it may run at most once.  ``whole``: the answer is this request's own, to
    the last byte.  ``sent``: bytes of it left on a connection that was open.
    ``reason`` is the node's, for an answer of its own.  ``tenant`` holds the key that it
    came with, "" where nobody ever did; None on routes without key.  ``signature`` is the
    back end's in its answer, and the other two say which need it reported with it.
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


class RunBegan(msgspec.Struct, frozen=True):
    """A back end began to work on a request; ``tenant`` and ``has_key`` as it was told."""

    request: str
    node: str
    at: float
    tenant: str = ""
    has_key: bool = False


class PoisonRan(msgspec.Struct, frozen=True):
    """A back end began to work on a request that ends whoever runs it, and ended."""

    path: str
    node: str
    at: float


class LeavingAcknowledged(msgspec.Struct, frozen=True):
    """A node took its back end's word that it leaves; ``until`` is when it was back."""

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
    """A back end said in its answers that it leaves, from ``at`` until it was another."""

    node: str
    at: float
    until: float


class LifeSeen(msgspec.Struct, frozen=True):
    """One life of a back end, from when it listened until it ended or said it leaves."""

    node: str
    began_at: float
    ended_at: float


class WordAnswered(msgspec.Struct, frozen=True):
    """A node's answer to a word of its back end that can't be read."""

    node: str
    at: float
    status: int


class ChangeAnswered(msgspec.Struct, frozen=True):
    """An answer to a configuration that was sent; ``status`` 0: none came."""

    version: int
    base: int
    digest: str
    valid: bool
    at: float
    status: int


class ConfigurationRead(msgspec.Struct, frozen=True):
    """The newest configuration by the word of a hub, asked for at ``asked_at``."""

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
    """A fault, from its begin to when everything of it was over."""

    kind: str
    machine: str
    begun_at: float
    ended_at: float
    planned: bool


class ProcessEnded(msgspec.Struct, frozen=True):
    """A process ended that nobody had stopped or killed, or wrote of a broken invariant."""

    machine: str
    what: str
    at: float


class Violation(msgspec.Struct, frozen=True):
    """A promise that was broken: which, by what, and when (monotonic seconds)."""

    promise: str
    detail: str
    at: float


class Record(msgspec.Struct):
    """All that was seen in one soak; ``unready`` are machines not back at its end."""

    requests: list[RequestEnded] = []
    runs: list[RunBegan] = []
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
