"""Reads settings from TOML and flags and reports everything that is wrong at once.

A flag goes before the file.  Each problem names the key, the reason and what
is allowed.  Nothing is raised for bad input.

Settings that a person wrote are taken as they are or refused.  Those that a platform
filled from figures of its own may be adjusted: a process that refuses them would end at
every start, on every machine.
"""

from __future__ import annotations

import math
import tomllib
import types
import typing
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Generic, TypeVar

import msgspec
from msgspec.structs import FieldInfo
from returns.result import Failure, Result, Success

from peppershore.process.settings import (
    ClaimsSettings,
    ControlSettings,
    HubSettings,
    NodeSettings,
    OperatorSettings,
    RelaySettings,
    SettingsValue,
)
from peppershore.process.settings_rules import FIELD_RULES, NumberRule

Kind = TypeVar("Kind", bound=SettingsValue)
KINDS: dict[str, type[SettingsValue]] = {
    "control": ControlSettings,
    "hub": HubSettings,
    "relay": RelaySettings,
    "node": NodeSettings,
    "claims": ClaimsSettings,
    "operator": OperatorSettings,
}
"""Settings of each role that ``serve`` starts, and of the command line."""

MIN_HEARTBEATS_PER_ELECTION = 3
MAX_FILE_BYTES = 4 * 1024 * 1024
SEED_KEYS = ("seeds", "relays")
WAITS_FOR_SEEDS = "nothing: the process waits until its settings name some"
MAX_SHOWN = 200
"""Characters of a value in a message: more tell nothing."""

WHOLE_FILE = "(file)"
_TYPE_WORDS: dict[Any, str] = {
    str: "text",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
    tuple[str, ...]: "a list of texts",
}


class SettingProblem(msgspec.Struct, frozen=True):
    """One thing wrong with the settings."""

    key: str
    reason: str
    allowed: str = ""


Problems = tuple[SettingProblem, ...]


class SettingAdjustment(msgspec.Struct, frozen=True):
    """A setting that could not be used as given, and what stands in its place."""

    key: str
    given: str
    used: str


class AdjustedSettings(msgspec.Struct, Generic[Kind], frozen=True):
    """Settings to start with, and where they differ from what was given."""

    settings: Kind
    adjustments: tuple[SettingAdjustment, ...]


def load_settings(
    kind: type[Kind], path: Path | None, flags: Mapping[str, Any]
) -> Result[Kind, Problems]:
    """Read the file, if any, put the flags over it, and check the whole."""
    return _read_text(path).bind(lambda text: parse_settings(kind, text, flags))


def load_adjusted_settings(
    kind: type[Kind], path: Path | None, flags: Mapping[str, Any]
) -> Result[AdjustedSettings[Kind], Problems]:
    """Like ``load_settings``, but use the nearest value where one can't be used."""
    return _read_text(path).bind(lambda text: adjust_settings(kind, text, flags))


def parse_settings(
    kind: type[Kind], text: str, flags: Mapping[str, Any]
) -> Result[Kind, Problems]:
    """Check settings given as TOML text, with flags over them."""
    read = _parse(kind, text, flags, _Reader(adjusts=False))
    return read.map(lambda found: found.settings)


def adjust_settings(
    kind: type[Kind], text: str, flags: Mapping[str, Any]
) -> Result[AdjustedSettings[Kind], Problems]:
    """Read settings given as TOML text; only what has no nearest value is a problem."""
    return _parse(kind, text, flags, _Reader(adjusts=True))


def _parse(
    kind: type[Kind], text: str, flags: Mapping[str, Any], reader: _Reader
) -> Result[AdjustedSettings[Kind], Problems]:
    try:
        table = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError, ValueError) as problem:
        return _failure(WHOLE_FILE, f"is not TOML: {problem}", "a TOML document")
    values = reader.read_struct(kind, _merge(table, flags), prefix="")
    if reader.problems:
        return Failure(tuple(reader.problems))
    settings = kind(**values)
    problems = [each for each in _cross_checks(settings) if not reader.takes(each)]
    if problems:
        return Failure(tuple(problems))
    return Success(AdjustedSettings(settings, tuple(reader.adjustments)))


def _read_text(path: Path | None) -> Result[str, Problems]:
    """Give the text of a settings file; the empty text where there is none."""
    if path is None:
        return Success("")
    try:
        content = path.read_bytes()
    except OSError as problem:
        reason = f"cannot be read: {problem.strerror or type(problem).__name__}"
        return _failure(WHOLE_FILE, reason, "a readable TOML file")
    if len(content) > MAX_FILE_BYTES:
        return _failure(WHOLE_FILE, "is too large", f"up to {MAX_FILE_BYTES} bytes")
    try:
        return Success(content.decode())
    except UnicodeDecodeError:
        return _failure(WHOLE_FILE, "is not text", "UTF-8")


class _Reader:
    """Walks a table along a settings type and collects every problem.

    One that ``adjusts`` takes the nearest value that can be used, or the default, and
    notes it as an adjustment.
    """

    def __init__(self, adjusts: bool) -> None:
        self.problems: list[SettingProblem] = []
        self.adjustments: list[SettingAdjustment] = []
        self._adjusts = adjusts

    def read_struct(
        self, kind: type[SettingsValue], table: Mapping[str, Any], prefix: str
    ) -> dict[str, Any]:
        """Give the checked values of one table."""
        fields = {field.name: field for field in msgspec.structs.fields(kind)}
        for key in sorted(table.keys() - fields.keys()):
            if self._adjusts:
                self._adjusted(prefix + key, table[key], "nothing: no setting here")
            else:
                self._add(prefix + key, "is no setting here", "one of " + ", ".join(fields))
        values: dict[str, Any] = {}
        for name, field in fields.items():
            if name in table:
                values[name] = self._read_or_adjust(field, table[name], prefix + name)
            elif field.required:
                self._add(prefix + name, "is missing", _type_words(field.type))
        return values

    def _read_or_adjust(self, field: FieldInfo, value: Any, key: str) -> Any:
        """Give the value of a field; the nearest one or the default if that is allowed."""
        if not self._adjusts:
            return self._read_field(field, value, key)
        used = _nearest_number(field, value)
        if used is not None:
            if used != value:
                self._adjusted(key, value, used)
            return used
        known = len(self.problems)
        read = self._read_field(field, value, key)
        if field.required or len(self.problems) == known:
            return read
        del self.problems[known:]
        self._adjusted(key, value, field.default)
        return field.default

    def takes(self, problem: SettingProblem) -> bool:
        """Whether to start all the same: changed settings may still name seeds."""
        if not self._adjusts or problem.key not in SEED_KEYS:
            return False
        self.adjustments.append(SettingAdjustment(problem.key, "nothing", WAITS_FOR_SEEDS))
        return True

    def _adjusted(self, key: str, given: Any, used: Any) -> None:
        self.adjustments.append(SettingAdjustment(key, _shown(given), _shown(used)))

    def _read_field(self, field: FieldInfo, value: Any, key: str) -> Any:
        nested = _nested_type(field.type)
        if nested is not None and typing.get_origin(field.type) is tuple:
            return self._read_tables(nested, value, key)
        if nested is not None:
            return self._read_table(nested, value, key)
        if field.type == tuple[str, ...]:
            return self._read_texts(field.name, value, key)
        if field.type is float and type(value) is int:
            value = _as_float(value)
        if type(value) is not field.type:
            self._add(key, f"is {_value_words(value)}", _type_words(field.type))
            return None
        self._check_rule(field.name, value, key)
        return value

    def _read_texts(self, name: str, value: Any, key: str) -> tuple[str, ...]:
        if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
            self._add(key, f"is {_value_words(value)}", "a list of texts")
            return ()
        for position, item in enumerate(value):
            self._check_rule(name, item, f"{key}[{position}]")
        return tuple(value)

    def _read_tables(self, kind: type[SettingsValue], value: Any, key: str) -> Any:
        if not isinstance(value, list):
            self._add(key, f"is {_value_words(value)}", f"tables [[{key}]]")
            return ()
        return tuple(
            self._read_table(kind, item, f"{key}[{position}]")
            for position, item in enumerate(value)
        )

    def _read_table(self, kind: type[SettingsValue], value: Any, key: str) -> Any:
        if not isinstance(value, dict):
            self._add(key, f"is {_value_words(value)}", "a table")
            return None
        before = len(self.problems)
        values = self.read_struct(kind, value, prefix=f"{key}.")
        return kind(**values) if len(self.problems) == before else None

    def _check_rule(self, name: str, value: Any, key: str) -> None:
        rule = FIELD_RULES.get(name)
        fault = rule(value) if rule is not None else None
        if fault is not None:
            self._add(key, f"{_shown(value)} {fault.reason}", fault.allowed)

    def _add(self, key: str, reason: str, allowed: str) -> None:
        self.problems.append(SettingProblem(key, reason, allowed))


def _cross_checks(settings: SettingsValue) -> Problems:
    """Check what concerns several settings together."""
    problems: list[SettingProblem] = []
    if isinstance(settings, ControlSettings | ClaimsSettings):
        problems += _check_group(settings)
    if isinstance(settings, HubSettings):
        problems += _check_hub(settings)
    if isinstance(settings, RelaySettings):
        problems += _check_relay(settings)
    if isinstance(settings, NodeSettings):
        problems += _check_node(settings)
    if isinstance(settings, OperatorSettings):
        problems += _check_names("replicas", list(settings.replicas))
    return tuple(problems)


def _check_group(settings: ControlSettings | ClaimsSettings) -> list[SettingProblem]:
    listed = [peer.name for peer in settings.replicas]
    problems = _check_names("replicas", listed, empty=settings.join)
    names = set(listed)
    if not settings.data_folder:
        problems.append(SettingProblem("data_folder", "is empty", "a folder on disk"))
    if not settings.join and settings.replica not in names:
        reason = f"does not list this replica ({settings.replica})"
        allowed = "the first members, this one included; or join = true"
        problems.append(SettingProblem("replicas", reason, allowed))
    lowest = settings.heartbeat_milliseconds * MIN_HEARTBEATS_PER_ELECTION
    if settings.election_milliseconds < lowest:
        reason = f"{settings.election_milliseconds} is too short for the heartbeat"
        allowed = f"at least {lowest} ({MIN_HEARTBEATS_PER_ELECTION} heartbeats)"
        problems.append(SettingProblem("election_milliseconds", reason, allowed))
    return problems


def _check_relay(settings: RelaySettings) -> list[SettingProblem]:
    problems = _check_names("replicas", [peer.name for peer in settings.replicas])
    problems += _check_names("relays", [peer.name for peer in settings.relays], empty=True)
    if settings.stale_after_milliseconds < settings.freshness_milliseconds:
        reason = "is shorter than freshness_milliseconds"
        allowed = f"at least {settings.freshness_milliseconds}"
        problems.append(SettingProblem("stale_after_milliseconds", reason, allowed))
    return problems


def _check_hub(settings: HubSettings) -> list[SettingProblem]:
    problems: list[SettingProblem] = []
    if (settings.tls is None) != (settings.relay_tls is None):
        reason = "is given without the other"
        problems.append(SettingProblem("relay_tls", reason, "tls and relay_tls, or none"))
    if settings.replica_port == settings.relay_port:
        reason = "is that of replicas"
        problems.append(SettingProblem("relay_port", reason, "a port of its own"))
    if not settings.seeds:
        problems.append(SettingProblem("seeds", "is empty", "at least one hub"))
    return problems


def _check_node(settings: NodeSettings) -> list[SettingProblem]:
    names = [peer.name for peer in settings.relays]
    problems = _check_names("relays", names, empty=bool(settings.seeds))
    if settings.seeds and not settings.relay_port:
        reason = "is missing, but there are seeds"
        problems.append(SettingProblem("relay_port", reason, "the port of relays"))
    problems += _check_claims(settings)
    if settings.backend and not settings.internal_listen:
        reason = "is empty, but there is a backend"
        allowed = "an address where other nodes reach this one"
        problems.append(SettingProblem("internal_listen", reason, allowed))
    return problems


def _check_claims(settings: NodeSettings) -> list[SettingProblem]:
    """Check one group under ``claims``, or several under ``claims_groups``."""
    problems = _check_names("claims", [peer.name for peer in settings.claims], empty=True)
    groups = (
        ("claims_groups", settings.claims_groups),
        ("previous_claims_groups", settings.previous_claims_groups),
    )
    for key, listed in groups:
        problems += _check_names(key, [group.name for group in listed], empty=True)
        for group in listed:
            names = [peer.name for peer in group.replicas]
            problems += _check_names(f"{key}.replicas", names)
    if settings.claims and settings.claims_groups:
        reason = "is given besides claims"
        problems.append(SettingProblem("claims_groups", reason, "one of the two"))
    if settings.previous_claims_groups and not settings.claims_groups:
        reason = "is given without claims_groups"
        allowed = "the groups that are left, besides those that are used"
        problems.append(SettingProblem("previous_claims_groups", reason, allowed))
    current = {group.name: group.replicas for group in settings.claims_groups}
    for group in settings.previous_claims_groups:
        if current.get(group.name, group.replicas) != group.replicas:
            reason = f"has other replicas for {group.name!r} than claims_groups"
            allowed = "the same replicas, or another name"
            problems.append(SettingProblem("previous_claims_groups", reason, allowed))
    return problems


def _check_names(key: str, names: list[str], empty: bool = False) -> list[SettingProblem]:
    problems: list[SettingProblem] = []
    if not names and not empty:
        problems.append(SettingProblem(key, "is empty", f"at least one [[{key}]]"))
    for name in sorted({name for name in names if names.count(name) > 1}):
        problems.append(SettingProblem(key, f"lists {name!r} twice", "each name once"))
    return problems


def _merge(table: Mapping[str, Any], flags: Mapping[str, Any]) -> dict[str, Any]:
    """Put flags over the file; tables are merged key by key, lists replaced."""
    merged = dict(table)
    for key, value in flags.items():
        below = merged.get(key)
        if isinstance(value, dict) and isinstance(below, dict):
            merged[key] = {**below, **value}
        else:
            merged[key] = value
    return merged


def _nearest_number(field: FieldInfo, value: Any) -> float | None:
    """Give the usable number next to a number; None where either is something else."""
    rule = FIELD_RULES.get(field.name)
    if field.type not in (int, float) or type(value) not in (int, float):
        return None
    return rule.nearest(value) if isinstance(rule, NumberRule) else None


def _as_float(value: int) -> float:
    """Give a whole number as a float; infinity beyond what a float holds."""
    try:
        return float(value)
    except OverflowError:
        return math.inf if value > 0 else -math.inf


def _shown(value: Any) -> str:
    """Give a value as text, cut where it is long."""
    text = repr(value)
    return text if len(text) <= MAX_SHOWN else text[:MAX_SHOWN] + "..."


def _nested_type(annotation: Any) -> type[SettingsValue] | None:
    """Give the settings type inside ``tuple[X, ...]`` or ``X | None``, if any."""
    candidates = typing.get_args(annotation) or (annotation,)
    for candidate in candidates:
        if isinstance(candidate, type) and issubclass(candidate, SettingsValue):
            return candidate
    return None


def _type_words(annotation: Any) -> str:
    nested = _nested_type(annotation)
    if nested is None:
        return _TYPE_WORDS[annotation]
    names = ", ".join(field.name for field in msgspec.structs.fields(nested))
    many = typing.get_origin(annotation) not in (types.UnionType, typing.Union)
    return f"{'tables' if many else 'a table'} with {names}"


def _value_words(value: Any) -> str:
    return _TYPE_WORDS.get(type(value), f"a {type(value).__name__}")


def _failure(key: str, reason: str, allowed: str) -> Failure[Problems]:
    return Failure((SettingProblem(key, reason, allowed),))
