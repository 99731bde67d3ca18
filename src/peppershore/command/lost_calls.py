"""Why calls failed, worked out from the lines of all nodes of a time.

A caller's node writes a line for each call that it did not answer with success; the node
beside a back end writes how full it was when a call came.  Together they tell a refusal
at the limit of all back ends from one that another back end could have spared.
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
"""The age, in lines of calls, of a configuration that was never confirmed."""

FREE_WITHIN_SECONDS = 1
"""A slot counts as free elsewhere if an owner told of one in the same second."""

AT_CAPACITY = "refused at capacity"
FREE_ELSEWHERE = "refused with a slot free elsewhere"
NO_CONFIGURATION = "node without configuration"
NO_ROUTE = "no such route"
NO_KNOWN_KEY = "no key of a tenant"
LINK_WITHOUT_ROOM = "no room on a link"
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
    LINK_FULL: LINK_WITHOUT_ROOM,
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
    """Calls that failed alike; ``example`` is the request id of one of them.

    The nodes' versions when they did, and for how long one of them had heard no
    confirmation at worst (-1: never); 0, 0 and 0 where the lines do not tell.
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
    """Calls that a tenant's limit refused, and what decided by the lines of the nodes.

    ``rate_per_second``, ``burst`` and ``knowledge`` are those of the last line, the age is
    the highest; they are None where no line was read.
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
    """All failed calls: by cause and target, second, last node tried, tenant's limit."""

    calls: int
    by_cause: tuple[LostCalls, ...]
    by_second: tuple[tuple[int, str, int], ...]
    by_node: tuple[tuple[str, str, int], ...]
    by_limit: tuple[LimitRefusals, ...] = ()


def lost_calls(lines: Iterable[LogLine]) -> LostTables:
    """Work out the cause of each call that failed."""
    stories: list[LogLine] = []
    free: set[tuple[str, int]] = set()
    limits: list[LogLine] = []
    for line in lines:
        if line.event == CALL_EVENT and _is_failure(line):
            stories.append(line)
        elif line.event == SERVED_EVENT and _tells_free_slot(line):
            free.add((line.service, _second(line)))
        elif line.event == LIMIT_EVENT:
            limits.append(line)
    first = min((_second(story) for story in stories), default=0)
    by_cause: Counter[tuple[str, str, str]] = Counter()
    by_second: Counter[tuple[int, str]] = Counter()
    by_node: Counter[tuple[str, str]] = Counter()
    examples: dict[tuple[str, str, str], str] = {}
    decided_by: dict[tuple[str, str, str], _DecidedBy] = {}
    for story in stories:
        target = str(story.fields.get("target", ""))
        cause = _cause(story, target, free)
        kind = (cause, target, story.reason or f"status-{story.status}")
        count = calls_of(story)
        by_cause[kind] += count
        decided_by.setdefault(kind, _DecidedBy()).add(story)
        examples.setdefault(kind, story.request_id)
        by_second[_second(story) - first, cause] += count
        by_node[_last_node(story), cause] += count
    return LostTables(
        calls=by_cause.total(),
        by_cause=tuple(
            LostCalls(count, *kind, examples[kind], *decided_by[kind].shown())
            for kind, count in by_cause.most_common()
        ),
        by_second=tuple((*kind, by_second[kind]) for kind in sorted(by_second)),
        by_node=tuple((*kind, count) for kind, count in by_node.most_common()),
        by_limit=_by_limit(stories, limits),
    )


def calls_of(story: LogLine) -> int:
    """Give of how many calls a line tells: its own, and those that have none."""
    left_out = story.fields.get("lines_left_out")
    return 1 + (left_out if isinstance(left_out, int) else 0)


class _DecidedBy:
    """By which configurations calls that failed alike were judged."""

    def __init__(self) -> None:
        self._versions: list[int] = []
        self._ages: list[int] = []

    def add(self, story: LogLine) -> None:
        """Take in what a line tells."""
        version = story.fields.get("version")
        age = story.fields.get("configuration_age_milliseconds")
        if isinstance(version, int):
            self._versions.append(version)
        if isinstance(age, int):
            self._ages.append(age)

    def shown(self) -> tuple[int, int, int]:
        """Give the lowest and the highest version, and the worst age."""
        lowest = min(self._versions, default=0)
        highest = max(self._versions, default=0)
        is_never = NEVER_CONFIRMED in self._ages
        worst = NEVER_CONFIRMED if is_never else max(self._ages, default=0)
        return lowest, highest, worst


def _by_limit(stories: list[LogLine], lines: list[LogLine]) -> tuple[LimitRefusals, ...]:
    """Put refused calls of tenants beside what nodes wrote about such refusals."""
    counts: Counter[tuple[str, str]] = Counter()
    examples: dict[tuple[str, str], str] = {}
    for story in stories:
        if story.reason in LIMIT_REASONS:
            kind = (str(story.fields.get("tenant", "")), story.reason)
            counts[kind] += 1
            examples.setdefault(kind, story.request_id)
    found: list[LimitRefusals] = []
    for (tenant, reason), calls in counts.most_common():
        own = [
            limit
            for each in lines
            if each.reason == reason and (limit := _limit_line(each)).tenant == tenant
        ]
        last = own[-1] if own else _LimitLine()
        ages = [each.knowledge_age_milliseconds for each in own]
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
    """Read a node's line; one that is no such line belongs to no tenant."""
    try:
        return msgspec.convert(line.fields, _LimitLine)
    except msgspec.ValidationError:
        return _LimitLine()


def _is_failure(line: LogLine) -> bool:
    return line.outcome != "answered" or line.status >= FIRST_SERVER_ERROR


def _tells_free_slot(line: LogLine) -> bool:
    running, slots = line.fields.get("running"), line.fields.get("slots")
    return isinstance(running, int) and isinstance(slots, int) and running < slots


def _second(line: LogLine) -> int:
    return line.time // (MILLISECONDS * FREE_WITHIN_SECONDS)


def _cause(story: LogLine, target: str, free: set[tuple[str, int]]) -> str:
    if story.outcome == "answered":
        return BACK_END_FAILED
    if story.reason in LOAD_REASONS:
        is_free = (target, _second(story)) in free
        return FREE_ELSEWHERE if is_free else AT_CAPACITY
    if story.reason == "deadline-passed":
        return LATE_RUN if story.outcome == "unknown" else WAITED_TOO_LONG
    return _CAUSES.get(story.reason, OTHER)


def _last_node(story: LogLine) -> str:
    """Give the node that was tried last; "" where none was."""
    tried = [step.node for step in story.steps if step.node]
    return tried[-1] if tried else ""
