"""Validation rules of settings, by the name of the field.

A rule returns None for a valid value, otherwise what is wrong and what is allowed.
"""

from __future__ import annotations

import ipaddress
import math
import re
from collections.abc import Callable

import msgspec

from peppershore.process.settings import LOG_LEVELS, LOG_TARGETS
from peppershore.request.next_attempt import MAX_WAITS
from peppershore.version.path import NAME_RULE, is_name

MAX_PORT = 65_535
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}")
NAME_ALLOWED = "1 to 64 letters, digits, '_', '.' or '-', the first a letter or digit"
FIELD_PATTERN = re.compile(r"[A-Za-z0-9-]{1,64}")
ADDRESS_ALLOWED = "an IP number and a port, such as 127.0.0.1:7001 or [::1]:7001"


class Fault(msgspec.Struct, frozen=True):
    """Why a value is rejected and which values are allowed."""

    reason: str
    allowed: str


Rule = Callable[[object], Fault | None]


def name_rule(value: object) -> Fault | None:
    """Accept the name of a cluster or process.

    It has 1 to 64 letters, digits, "_", "." or "-", the first a letter or digit.
    """
    if isinstance(value, str) and NAME_PATTERN.fullmatch(value):
        return None
    return Fault("is not a name", NAME_ALLOWED)


def tree_name_rule(value: object) -> Fault | None:
    """Accept the name of a service or zone, as used in the configuration tree."""
    if isinstance(value, str) and is_name(value):
        return None
    return Fault("is not a name of the tree", NAME_RULE)


def folder_rule(value: object) -> Fault | None:
    """Accept a non-empty path without a zero byte; it need not exist yet."""
    if isinstance(value, str) and value and "\0" not in value:
        return None
    return Fault("is not a path", "a path without a zero byte")


def level_rule(value: object) -> Fault | None:
    """Accept the name of a log level, one of ``LOG_LEVELS``."""
    if value in LOG_LEVELS:
        return None
    return Fault("is no log level", ", ".join(LOG_LEVELS))


def log_target_rule(value: object) -> Fault | None:
    """Accept the name of an output for log lines, one of ``LOG_TARGETS``."""
    if value in LOG_TARGETS:
        return None
    return Fault("is no place for log lines", ", ".join(LOG_TARGETS))


def address_rule(value: object, *, lowest_port: int) -> Fault | None:
    """Accept "IP:port" with a port of at least ``lowest_port``."""
    allowed = f"{ADDRESS_ALLOWED}, port {lowest_port} to {MAX_PORT}"
    if not isinstance(value, str):
        return Fault("is not an address", allowed)
    host, separator, port = value.rpartition(":")
    if not separator or not _is_port(port, lowest_port):
        return Fault("has no usable port", allowed)
    if not _is_ip_address(host):
        return Fault("has no IP number before the port", allowed)
    return None


def field_rule(value: object) -> Fault | None:
    """Accept the name of a header field: 1 to 64 letters, digits or "-"."""
    if isinstance(value, str) and FIELD_PATTERN.fullmatch(value):
        return None
    return Fault("is no name of a header field", "letters, digits and '-'")


def host_rule(value: object) -> Fault | None:
    """Accept an IP address without a port."""
    if isinstance(value, str) and _is_ip_address(value):
        return None
    return Fault("is no IP number", "an IP number, such as 10.1.0.7 or [::1]")


def listen_rule(value: object) -> Fault | None:
    """Accept an "IP:port" to listen on; port 0 binds a free port."""
    return address_rule(value, lowest_port=0)


def peer_rule(value: object) -> Fault | None:
    """Accept an "IP:port" to connect to, with a port of at least 1."""
    return address_rule(value, lowest_port=1)


def optional(rule: Rule) -> Rule:
    """Return ``rule`` extended to accept the empty string, which turns the feature off."""

    def accept(value: object) -> Fault | None:
        return None if value == "" else rule(value)

    return accept


class NumberRule(msgspec.Struct, frozen=True):
    """Accepts numbers from ``lowest`` to ``highest``, only integers if ``is_whole``."""

    lowest: float
    highest: float
    unit: str
    is_whole: bool

    def __call__(self, value: object) -> Fault | None:
        """Return the fault of a value, or None if it is valid."""
        kinds = int if self.is_whole else (int, float)
        if isinstance(value, kinds) and self.lowest <= value <= self.highest:
            return None
        allowed = f"{self.lowest:.12g} to {self.highest:.12g} {self.unit}"
        return Fault("is out of bounds", allowed.rstrip())

    def nearest(self, value: float) -> float:
        """Return the allowed number nearest to ``value``; the lowest one for NaN."""
        if isinstance(value, float) and math.isnan(value):
            return self.lowest
        clamped = min(max(value, self.lowest), self.highest)
        return round(clamped) if self.is_whole else float(clamped)


def between(lowest: int, highest: int, unit: str) -> Rule:
    """Return a rule for integers from ``lowest`` to ``highest``."""
    return NumberRule(lowest, highest, unit, is_whole=True)


def amount(lowest: float, highest: float, unit: str) -> Rule:
    """Return a rule for numbers from ``lowest`` to ``highest``, integer or not."""
    return NumberRule(lowest, highest, unit, is_whole=False)


FIELD_RULES: dict[str, Rule] = {
    "cluster": name_rule,
    "replica": name_rule,
    "relay": name_rule,
    "node": name_rule,
    "name": name_rule,
    "service": tree_name_rule,
    "zone": tree_name_rule,
    "listen": listen_rule,
    "admin_listen": optional(listen_rule),
    "internal_listen": optional(listen_rule),
    "backend": optional(peer_rule),
    "address": peer_rule,
    "replicas": peer_rule,
    "data_folder": optional(folder_rule),
    "certificate": folder_rule,
    "key": folder_rule,
    "authority": folder_rule,
    "log_level": level_rule,
    "log_to": log_target_rule,
    "log_answered_every": between(0, 1_000_000, "calls"),
    "waits_at_owners": between(1, MAX_WAITS, "owners"),
    "metrics_listen": optional(listen_rule),
    "back_end_listen": optional(listen_rule),
    "back_end_silent_milliseconds": between(100, 600_000, "milliseconds"),
    "back_end_leaving_milliseconds": between(0, 600_000, "milliseconds"),
    "request_id": field_rule,
    "deadline": field_rule,
    "outcome": field_rule,
    "reason": field_rule,
    "signature": optional(field_rule),
    "expected_instance": optional(field_rule),
    "not_run": optional(field_rule),
    "load": optional(field_rule),
    "rate_limit": optional(field_rule),
    "leaving": optional(field_rule),
    "caller": optional(field_rule),
    "tenant": optional(field_rule),
    "ratio": amount(0.0, 1.0, "of the calls"),
    "window_seconds": amount(0.1, 3_600.0, "seconds"),
    "slack": amount(0.0, 1_000_000.0, "calls"),
    "overshoot": amount(0.0, 1.0, "of a limit"),
    "revocation_milliseconds": amount(10.0, 600_000.0, "milliseconds"),
    "host": host_rule,
    "replica_port": between(1, MAX_PORT, "(a port)"),
    "relay_port": between(0, MAX_PORT, "(a port)"),
    "api_listen": listen_rule,
    "seeds": peer_rule,
    "tolerated_losses": between(0, 10, "replicas"),
    "apply_milliseconds": amount(10.0, 600_000.0, "milliseconds"),
    "drain_milliseconds": amount(0.0, 600_000.0, "milliseconds"),
    "rate_limit_apply_milliseconds": amount(0.0, 600_000.0, "milliseconds"),
    "rollout_exposure_share": amount(0.001, 1.0, "of a service's calls"),
    "wanted_voters": between(0, 21, "replicas"),
    "reconnect_milliseconds": between(100, 4_000, "milliseconds"),
    "rebalance_milliseconds": between(100, 3_600_000, "milliseconds"),
    "silence_milliseconds": between(50, 600_000, "milliseconds"),
    "stale_milliseconds": between(0, 600_000, "milliseconds"),
    "heartbeat_milliseconds": between(5, 60_000, "milliseconds"),
    "election_milliseconds": between(20, 600_000, "milliseconds"),
    "snapshot_entries": between(1, 10_000_000, "entries"),
    "change_id_horizon": between(1, 10_000_000, "changes"),
    "batching_milliseconds": between(0, 60_000, "milliseconds"),
    "freshness_milliseconds": between(20, 600_000, "milliseconds"),
    "stale_after_milliseconds": between(50, 3_600_000, "milliseconds"),
    "hellos_per_second": between(1, 1_000_000, "a second"),
    "hold_milliseconds": between(0, 600_000, "milliseconds"),
    "slots": between(1, 100_000, "slots"),
    "connections": between(1, 100_000, "connections"),
    "link_megabits": amount(0.0, 1_000_000.0, "megabits a second"),
    "link_report_milliseconds": between(0, 3_600_000, "milliseconds"),
    "stop_grace_seconds": amount(0.0, 3_600.0, "seconds"),
    "stop_bound_milliseconds": between(0, 3_600_000, "milliseconds"),
    "timeout_milliseconds": between(1, 86_400_000, "milliseconds"),
    "horizon_seconds": between(1, 31_536_000, "seconds"),
    "max_records": between(1, 50_000_000, "records"),
    "max_answer_megabytes": between(0, 65_536, "megabytes"),
}
"""Rule of each field name; a name has the same rule in all settings types."""


def _is_port(text: str, lowest: int) -> bool:
    if not (text.isascii() and text.isdigit()) or len(text) > len(str(MAX_PORT)):
        return False
    return lowest <= int(text) <= MAX_PORT


def _is_ip_address(host: str) -> bool:
    bare = host[1:-1] if host.startswith("[") and host.endswith("]") else host
    try:
        number = ipaddress.ip_address(bare)
    except ValueError:
        return False
    return number.version == 4 or bare != host
