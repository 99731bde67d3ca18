"""Notices of the data plane for logs and metrics."""

from __future__ import annotations

from typing import ClassVar

from peppershore.process.commands import Notice


class MalformedRequest(Notice, frozen=True):
    """A request was refused because two parsers might read it differently."""

    reason: str
    status: int


class BackendEjected(Notice, frozen=True):
    """A back end kept failing and gets no calls from this node for ``seconds``."""

    level: ClassVar[str] = "warning"
    service: str
    endpoint: str
    seconds: float


class RetryBudgetSpent(Notice, frozen=True):
    """Calls of a service fail without a retry, because its retry budget is used up."""

    level: ClassVar[str] = "warning"
    is_call: ClassVar[bool] = True
    service: str


class RepeatsArrived(Notice, frozen=True):
    """Sends that reached the local back end in the last ``milliseconds``, by kind.

    ``first``: no back end had seen the call. ``retry``: one may have. ``in_repeat``: a
    repeated run made the call. ``unpaid``: repeats not sent for want of retry budget.
    ``back_ends``: number of back ends among which the node divides the service's budget.
    """

    service: str
    milliseconds: int
    first: int
    retry: int
    in_repeat: int
    unpaid: int
    back_ends: int


class IrregularAnswersSeen(Notice, frozen=True):
    """What back ends sent this node besides one well-formed answer to each request.

    ``counts`` has the number by kind since the previous line, ``request_ids`` some of the
    requests whose answer was expected then.
    """

    level: ClassVar[str] = "warning"
    counts: dict[str, int]
    request_ids: tuple[str, ...]


class BackendStateSeen(Notice, frozen=True):
    """The state of this node's local back end changed, as seen by its probe or a drain."""

    state: str


class AnswerFieldsUnused(Notice, frozen=True):
    """Answers of the local back end have header fields that this node has no use for."""

    service: str
    instance: str
    fields: tuple[str, ...]


class RateLimitNamed(Notice, frozen=True):
    """The local back end takes so many calls a second, by its answers."""

    service: str
    instance: str
    calls_per_second: float


class RateLimitEnded(Notice, frozen=True):
    """The answers of the local back end name no rate limit any more."""

    service: str
    instance: str


class LeavingAnswered(Notice, frozen=True):
    """The answers of the local back end say that it is leaving."""

    service: str
    instance: str


class BackEndEnded(Notice, frozen=True):
    """This node's local back end ended without notice.

    ``under`` names the requests that ran there and may be the cause.
    """

    level: ClassVar[str] = "warning"
    service: str
    instance: str
    under: tuple[str, ...]


class DrainEnded(Notice, frozen=True):
    """A planned stop is over: the calls waited for at its start, and those cut off."""

    seconds: float
    calls_at_start: int
    calls_cut: int
    direct_slots_cut: int


class OverLimit(Notice, frozen=True):
    """A call was refused: its tenant's limit is used up, or what is left is not known.

    ``rate_per_second`` and ``burst`` are the limit as this node has it. ``knowledge`` is
    the cause: "used-up" or "nobody-answered". ``knowledge_age_milliseconds`` is the time
    since this node last received an answer for this tenant, -1 for never. ``left_out``
    is the number of this tenant's refusals that were not logged here since its last log
    line.
    """

    tenant: str
    reason: str
    rate_per_second: float
    burst: float
    knowledge: str
    knowledge_age_milliseconds: int
    retry_after_milliseconds: int
    left_out: int
