"""What the data plane reports to logs and metrics."""

from __future__ import annotations

from typing import ClassVar

from peppershore.process.commands import Notice


class MalformedRequest(Notice, frozen=True):
    """A request that no two parsers surely read alike was refused."""

    reason: str
    status: int


class BackendEjected(Notice, frozen=True):
    """A back end kept failing and gets no calls of this node for a while."""

    level: ClassVar[str] = "warning"
    service: str
    endpoint: str
    seconds: float


class RetryBudgetSpent(Notice, frozen=True):
    """Calls of a service fail without a retry, as its budget is used up."""

    level: ClassVar[str] = "warning"
    is_call: ClassVar[bool] = True
    service: str


class BackendStateSeen(Notice, frozen=True):
    """This node's own back end changed as seen by probing and draining."""

    state: str


class BackEndEnded(Notice, frozen=True):
    """This node's own back end ended without a word; ``under`` names what ran there."""

    level: ClassVar[str] = "warning"
    service: str
    instance: str
    under: tuple[str, ...]


class DrainEnded(Notice, frozen=True):
    """The planned stop of calls is over; what was waited for, and what was left."""

    seconds: float
    calls_at_start: int
    calls_cut: int
    direct_slots_cut: int


class OverLimit(Notice, frozen=True):
    """A call was refused by its tenant's limit, or as nobody knew what is left of it.

    ``rate_per_second`` and ``burst`` are the limit as this node holds it, ``knowledge``
    what decided: "used-up" or "nobody-answered".  ``knowledge_age_milliseconds``: since
    the last answer for this tenant came here, -1 for never.  ``left_out``: refusals of
    this tenant since its last line here.
    """

    tenant: str
    reason: str
    rate_per_second: float
    burst: float
    knowledge: str
    knowledge_age_milliseconds: int
    retry_after_milliseconds: int
    left_out: int
