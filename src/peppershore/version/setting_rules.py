"""The allowed values of each setting, and the levels of the tree that may set it."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any

from peppershore.version.model import ANY_METHOD, Overrides, Problem, Value
from peppershore.version.path import NAME_RULE, Level, is_name
from peppershore.version.resolve import set_values
from peppershore.version.splits import SPLIT_RULE, are_splits
from peppershore.version.tenants import PRIORITIES, RATE_OR_BURST_RULE, is_rate_or_burst

MAXIMUM_PREFIX_CHARACTERS = 512
MAXIMUM_METHODS = 16
MAXIMUM_CALLS = 64
MAXIMUM_TIMEOUT_MILLISECONDS = 3_600_000
MAXIMUM_BODY_BYTES = 1 << 30

ANYWHERE = frozenset(Level)
BELOW_ROOT = frozenset({Level.SERVICE, Level.ZONE, Level.ROUTE})
ROUTES_ONLY = frozenset({Level.ROUTE})
ROOT_ONLY = frozenset({Level.ROOT})
SERVICES = frozenset({Level.ROOT, Level.SERVICE, Level.ZONE})
SERVICE_ONLY = frozenset({Level.SERVICE})
SERVICES_BELOW_ROOT = frozenset({Level.SERVICE, Level.ZONE})

_METHOD_PATTERN = re.compile(r"[A-Z]{1,20}")
_PREFIX_PATTERN = re.compile(r"/[A-Za-z0-9._~!$&'()*+,;=:@%/-]*")
_HOST_PATTERN = re.compile(r"[a-z0-9]([a-z0-9._-]{0,251}[a-z0-9])?")
_PROTOCOLS = ("h1",)
_CLASSES = ("critical", "normal", "bulk")
_AUDIENCES = ("public", "member", "internal")
_ROLLOUT_STATES = ("running", "completed", "rolled_back")
_SOFTWARE_VERSION_PATTERN = re.compile(r"[!-~]{1,64}")
SOFTWARE_VERSION_RULE = "1 to 64 visible characters"
_HOPS = ("direct", "owner")


class SettingRule(Value, frozen=True):
    """The levels on which a setting may be set, and the check of its value.

    ``allowed`` describes the allowed values to operators.
    """

    levels: frozenset[Level]
    is_allowed: Callable[[Any], bool]
    allowed: str


def check_overrides(path: str, level: Level, overrides: Overrides) -> list[Problem]:
    """Return the problems of the overrides of one node, regardless of other nodes."""
    problems = []
    for name, value in set_values(overrides).items():
        rule = SETTING_RULES[name]
        if level not in rule.levels:
            levels = ", ".join(each.value for each in Level if each in rule.levels)
            reason = f"{name} makes no sense on the {level.value} level"
            problems.append(Problem(path, reason, f"on these levels: {levels}"))
        if not rule.is_allowed(value):
            problems.append(Problem(path, f"{name} is {value!r}", rule.allowed))
    return problems


def _integer(low: int, high: int, levels: frozenset[Level]) -> SettingRule:
    def is_allowed(value: Any) -> bool:
        return type(value) is int and low <= value <= high

    return SettingRule(levels, is_allowed, f"{low} to {high}")


def _boolean(levels: frozenset[Level]) -> SettingRule:
    return SettingRule(levels, lambda value: type(value) is bool, "true or false")


def _one_of(choices: tuple[str, ...], levels: frozenset[Level]) -> SettingRule:
    return SettingRule(levels, lambda value: value in choices, " or ".join(choices))


def _name(levels: frozenset[Level]) -> SettingRule:
    return SettingRule(levels, is_name, NAME_RULE)


def _name_or_none(levels: frozenset[Level]) -> SettingRule:
    def is_allowed(value: Any) -> bool:
        return value == "" or is_name(value)

    return SettingRule(levels, is_allowed, f"empty for none, or {NAME_RULE}")


def _is_list(value: Any, low: int, high: int, is_member: Callable[[Any], bool]) -> bool:
    if not isinstance(value, tuple) or not low <= len(value) <= high:
        return False
    return len(set(value)) == len(value) and all(is_member(each) for each in value)


def _is_prefix(value: str) -> bool:
    if len(value) > MAXIMUM_PREFIX_CHARACTERS:
        return False
    return _PREFIX_PATTERN.fullmatch(value) is not None


def _is_software_version(value: Any) -> bool:
    return isinstance(value, str) and bool(_SOFTWARE_VERSION_PATTERN.fullmatch(value))


def _are_methods(value: Any) -> bool:
    return value == (ANY_METHOD,) or _is_list(
        value, 1, MAXIMUM_METHODS, lambda each: bool(_METHOD_PATTERN.fullmatch(each))
    )


def _is_host(value: Any) -> bool:
    return value == "" or _HOST_PATTERN.fullmatch(value) is not None


def _is_audience(value: Any) -> bool:
    return _is_list(value, 1, len(_AUDIENCES), lambda each: each in _AUDIENCES)


def _are_calls(value: Any) -> bool:
    return _is_list(value, 0, MAXIMUM_CALLS, is_name)


SETTING_RULES: dict[str, SettingRule] = {
    "path_prefix": SettingRule(
        ROUTES_ONLY,
        _is_prefix,
        f"a URL path beginning with /, at most {MAXIMUM_PREFIX_CHARACTERS} characters",
    ),
    "methods": SettingRule(
        ROUTES_ONLY,
        _are_methods,
        f"1 to {MAXIMUM_METHODS} different HTTP methods in capitals, or * for all",
    ),
    "target": _name(BELOW_ROOT),
    "timeout_milliseconds": _integer(1, MAXIMUM_TIMEOUT_MILLISECONDS, ANYWHERE),
    "call_class": _one_of(_CLASSES, ANYWHERE),
    "repeatable": _boolean(BELOW_ROOT),
    "audience": SettingRule(
        ANYWHERE, _is_audience, f"one or more of {', '.join(_AUDIENCES)}, each once"
    ),
    "hop": _one_of(_HOPS, ANYWHERE),
    "retry_budget_percent": _integer(0, 100, ANYWHERE),
    "retry_attempts": _integer(0, 10, ANYWHERE),
    "require_ready": _boolean(ANYWHERE),
    "caller_rate_per_second": _integer(0, 1_000_000, ANYWHERE),
    "verify_secret": _name_or_none(ANYWHERE),
    "max_body_bytes": _integer(0, MAXIMUM_BODY_BYTES, ANYWHERE),
    "calls": SettingRule(
        SERVICES_BELOW_ROOT,
        _are_calls,
        f"at most {MAXIMUM_CALLS} different names of services",
    ),
    "slots": _integer(1, 10_000, SERVICES),
    "connections": _integer(1, 100_000, SERVICES),
    "queue_limit": _integer(0, 100_000, SERVICES),
    "slow_start_milliseconds": _integer(0, 600_000, SERVICES),
    "ejection_failures": _integer(1, 1_000, SERVICES),
    "ejection_max_percent": _integer(0, 100, SERVICES),
    "sign_secret": _name_or_none(SERVICES),
    "spill_over": _boolean(SERVICES),
    "host": SettingRule(
        ROUTES_ONLY, _is_host, "a host name in lower case without port, empty for all"
    ),
    "splits": SettingRule(ROUTES_ONLY, are_splits, SPLIT_RULE),
    "priority": _integer(*PRIORITIES, ANYWHERE),
    "target_latency_milliseconds": _integer(0, MAXIMUM_TIMEOUT_MILLISECONDS, ANYWHERE),
    "retry_errors": _boolean(ANYWHERE),
    "streamed_bodies": _boolean(ANYWHERE),
    "large_answers": _boolean(ANYWHERE),
    "keyless": _boolean(ANYWHERE),
    "holds_every_service": _boolean(SERVICES),
    "health_path": SettingRule(
        SERVICES, lambda value: value == "" or _is_prefix(value), "a URL path, or empty"
    ),
    "backend_protocol": _one_of(_PROTOCOLS, SERVICES),
    "backend_tls": _boolean(SERVICES),
    "max_header_bytes": _integer(256, 1 << 20, SERVICES),
    "header_timeout_milliseconds": _integer(1, MAXIMUM_TIMEOUT_MILLISECONDS, SERVICES),
    "idle_timeout_milliseconds": _integer(1, MAXIMUM_TIMEOUT_MILLISECONDS, SERVICES),
    "tenant_rate_per_second": SettingRule(ROOT_ONLY, is_rate_or_burst, RATE_OR_BURST_RULE),
    "tenant_burst": SettingRule(ROOT_ONLY, is_rate_or_burst, RATE_OR_BURST_RULE),
    "tenant_priority": _integer(*PRIORITIES, ROOT_ONLY),
    "rollout_version": SettingRule(
        SERVICE_ONLY, _is_software_version, SOFTWARE_VERSION_RULE
    ),
    "rollout_state": _one_of(_ROLLOUT_STATES, SERVICE_ONLY),
    "rollout_share": _integer(0, 10_000, SERVICE_ONLY),
    "rollout_began_milliseconds": _integer(0, 2**62, SERVICE_ONLY),
    "rollout_milliseconds": _integer(0, 2**31, SERVICE_ONLY),
}
