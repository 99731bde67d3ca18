"""Causes of failed calls, derived from the log lines of all nodes over a period.

The caller's node logs each call that failed. The node co-located with a back end logs how
many slots were in use when a call arrived. Together they distinguish a refusal when all
back ends were saturated from one while another back end had a free slot.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import msgspec

from peppershore.command.log_files import LogLine
from peppershore.request.outcome import FIRST_SERVER_ERROR, LINK_FULL, LOAD_REASONS

CALL_EVENT = "call_story"
SERVED_EVENT = "served_story"
LIMIT_EVENT = "over_limit"
LIMIT_REASONS = frozenset({"over-limit", "limit-not-known"})
MILLISECONDS = 1_000
NEVER_CONFIRMED = -1
"""Configuration age in call log lines when the configuration was never confirmed."""

FREE_WITHIN_SECONDS = 1
"""A refusal counts as avoidable if an owner reported a free slot in the same second."""

AT_CAPACITY = "refused at capacity"
FREE_ELSEWHERE = "refused with a slot free elsewhere"
NO_CONFIGURATION = "node without configuration"
NO_ROUTE = "no such route"
NO_KNOWN_KEY = "no key of a tenant"
LINK_SATURATED = "no room on a link"
OVER_TENANTS_LIMIT = "tenant over its limit"
LIMIT_NOT_KNOWN = "nobody grants calls"
NODE_STOPPING = "node stopping"
NOBODY_READY = "no back end known"
BACK_END_FAILED = "back end failed"
CONNECTION_LOST = "node or connection lost"
WAITED_TOO_LONG = "waited too long"
LATE_RUN = "late by a long run"
CALLER_LEFT = "caller left"
OTHER = "other"

_CAUSES: dict[str, str] = {
    "no-configuration": NO_CONFIGURATION,
    "service-not-held": NO_CONFIGURATION,
    "configuration-not-confirmed": NO_CONFIGURATION,
    "keys-not-confirmed": NO_CONFIGURATION,
    "no-route": NO_ROUTE,
    "no-key": NO_KNOWN_KEY,
    "unknown-key": NO_KNOWN_KEY,
    "key-changed-hands": NO_KNOWN_KEY,
    LINK_FULL: LINK_SATURATED,
    "over-limit": OVER_TENANTS_LIMIT,
    "limit-not-known": LIMIT_NOT_KNOWN,
    "node-stopping": NODE_STOPPING,
    "back-end-leaving": NODE_STOPPING,
    "nobody-ready": NOBODY_READY,
    "no-back-end": NOBODY_READY,
    "back-end-failed": BACK_END_FAILED,
    "back-end-broke-off": BACK_END_FAILED,
    "back-end-shed": BACK_END_FAILED,
    "back-end-refused": BACK_END_FAILED,
    "malformed-answer": BACK_END_FAILED,
    "owner-link-lost": CONNECTION_LOST,
    "owner-unreachable": CONNECTION_LOST,
    "back-end-unreachable": CONNECTION_LOST,
    "other-back-end": CONNECTION_LOST,
    "parent-not-known": CONNECTION_LOST,
    "caller-left": CALLER_LEFT,
}


class LostCalls(msgspec.Struct, frozen=True):
    """Failed calls with the same cause, target and reason.

    ``example`` is the request id of one of them. ``lowest_version`` and
    ``highest_version`` bound the configuration versions of the nodes at the failures.
    ``unconfirmed_milliseconds`` is the longest time for which one of these nodes had
    received no confirmation of its version (-1: never received). All three are 0 if the
    lines do not state them.
    """

    calls: int
    cause: str
    target: str
    reason: str
    example: str
    lowest_version: int = 0
    highest_version: int = 0
    unconfirmed_milliseconds: int = 0


class LimitRefusals(msgspec.Struct, frozen=True):
    """Calls refused by a tenant's limit, and the limit that the nodes applied.

    ``rate_per_second``, ``burst`` and ``knowledge`` are from the last log line;
    ``oldest_knowledge_milliseconds`` is the highest age of all lines. They are None if no
    line was read.
    """

    calls: int
    tenant: str
    reason: str
    rate_per_second: float | None
    burst: float | None
    knowledge: str | None
    oldest_knowledge_milliseconds: int | None
    example: str


class _LimitLine(msgspec.Struct, frozen=True):
    tenant: str | None = None
    rate_per_second: float | None = None
    burst: float | None = None
    knowledge: str | None = None
    knowledge_age_milliseconds: int = -1


class LostTables(msgspec.Struct, frozen=True):
    """Counts of failed calls by cause and target, second, last node tried, and limit."""

    calls: int
    by_cause: tuple[LostCalls, ...]
    by_second: tuple[tuple[int, str, int], ...]
    by_node: tuple[tuple[str, str, int], ...]
    by_limit: tuple[LimitRefusals, ...] = ()


def lost_calls(lines: Iterable[LogLine]) -> LostTables:
    """Count the failed calls in the log lines by cause."""
    records: list[LogLine] = []
    free: set[tuple[str, int]] = set()
    limits: list[LogLine] = []
    for line in lines:
        if line.event == CALL_EVENT and _is_failure(line):
            records.append(line)
        elif line.event == SERVED_EVENT and _reports_free_slot(line):
            free.add((line.service, _second(line)))
        elif line.event == LIMIT_EVENT:
            limits.append(line)
    first = min((_second(record) for record in records), default=0)
    by_cause: Counter[tuple[str, str, str]] = Counter()
    by_second: Counter[tuple[int, str]] = Counter()
    by_node: Counter[tuple[str, str]] = Counter()
    examples: dict[tuple[str, str, str], str] = {}
    configurations: dict[tuple[str, str, str], _DecidingConfigurations] = {}
    for record in records:
        target = str(record.fields.get("target", ""))
        cause = _cause(record, target, free)
        kind = (cause, target, record.reason or f"status-{record.status}")
        count = calls_of(record)
        by_cause[kind] += count
        configurations.setdefault(kind, _DecidingConfigurations()).add(record)
        examples.setdefault(kind, record.request_id)
        by_second[_second(record) - first, cause] += count
        by_node[_last_node(record), cause] += count
    return LostTables(
        calls=by_cause.total(),
        by_cause=tuple(
            LostCalls(count, *kind, examples[kind], *configurations[kind].extremes())
            for kind, count in by_cause.most_common()
        ),
        by_second=tuple((*kind, by_second[kind]) for kind in sorted(by_second)),
        by_node=tuple((*kind, count) for kind, count in by_node.most_common()),
        by_limit=_by_limit(records, limits),
    )


def calls_of(record: LogLine) -> int:
    """Return the number of calls a line stands for: its own and those left out."""
    left_out = record.fields.get("lines_left_out")
    return 1 + (left_out if isinstance(left_out, int) else 0)


class _DecidingConfigurations:
    """Versions and ages of the configurations under which a group of calls failed."""

    def __init__(self) -> None:
        self._versions: list[int] = []
        self._ages: list[int] = []

    def add(self, record: LogLine) -> None:
        """Add the version and age that a call's log line states."""
        version = record.fields.get("version")
        age = record.fields.get("configuration_age_milliseconds")
        if isinstance(version, int):
            self._versions.append(version)
        if isinstance(age, int):
            self._ages.append(age)

    def extremes(self) -> tuple[int, int, int]:
        """Return lowest version, highest version, and highest age (-1: never confirmed)."""
        lowest = min(self._versions, default=0)
        highest = max(self._versions, default=0)
        is_never = NEVER_CONFIRMED in self._ages
        worst = NEVER_CONFIRMED if is_never else max(self._ages, default=0)
        return lowest, highest, worst


def _by_limit(records: list[LogLine], lines: list[LogLine]) -> tuple[LimitRefusals, ...]:
    """Match refused calls of tenants with the nodes' log lines about such refusals."""
    counts: Counter[tuple[str, str]] = Counter()
    examples: dict[tuple[str, str], str] = {}
    for record in records:
        if record.reason in LIMIT_REASONS:
            kind = (str(record.fields.get("tenant", "")), record.reason)
            counts[kind] += 1
            examples.setdefault(kind, record.request_id)
    found: list[LimitRefusals] = []
    for (tenant, reason), calls in counts.most_common():
        limits_of_tenant = [
            limit
            for each in lines
            if each.reason == reason and (limit := _limit_line(each)).tenant == tenant
        ]
        last = limits_of_tenant[-1] if limits_of_tenant else _LimitLine()
        ages = [each.knowledge_age_milliseconds for each in limits_of_tenant]
        found.append(
            LimitRefusals(
                calls,
                tenant,
                reason,
                last.rate_per_second,
                last.burst,
                last.knowledge,
                max(ages, default=None),
                examples[tenant, reason],
            )
        )
    return tuple(found)


def _limit_line(line: LogLine) -> _LimitLine:
    """Read the limit in a log line; a line without valid fields belongs to no tenant."""
    try:
        return msgspec.convert(line.fields, _LimitLine)
    except msgspec.ValidationError:
        return _LimitLine()


def _is_failure(line: LogLine) -> bool:
    return line.outcome != "answered" or line.status >= FIRST_SERVER_ERROR


def _reports_free_slot(line: LogLine) -> bool:
    running, slots = line.fields.get("running"), line.fields.get("slots")
    return isinstance(running, int) and isinstance(slots, int) and running < slots


def _second(line: LogLine) -> int:
    return line.time // (MILLISECONDS * FREE_WITHIN_SECONDS)


def _cause(record: LogLine, target: str, free: set[tuple[str, int]]) -> str:
    if record.outcome == "answered":
        return BACK_END_FAILED
    if record.reason in LOAD_REASONS:
        is_free = (target, _second(record)) in free
        return FREE_ELSEWHERE if is_free else AT_CAPACITY
    if record.reason == "deadline-passed":
        return LATE_RUN if record.outcome == "unknown" else WAITED_TOO_LONG
    return _CAUSES.get(record.reason, OTHER)


def _last_node(record: LogLine) -> str:
    """Return the name of the node that was tried last, "" if none was."""
    tried = [step.node for step in record.steps if step.node]
    return tried[-1] if tried else ""
