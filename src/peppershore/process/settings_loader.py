"""Reads settings from TOML and flags and reports all problems at once.

A flag overrides the file. Each problem names the key, the reason and what is allowed.
Bad input never raises an exception.

Settings written by a person are accepted unchanged or rejected. Settings that a platform
generated from its own values may be adjusted, because a process that rejects them would
exit at every start, on every machine.
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
"""Settings type by role: the roles that ``serve`` starts, and "operator" for commands."""

MIN_HEARTBEATS_PER_ELECTION = 3
MAX_FILE_BYTES = 4 * 1024 * 1024
SEED_KEYS = ("seeds", "relays")
WAITS_FOR_SEEDS = "nothing: the process waits until its settings name some"
MAX_SHOWN = 200
"""Maximum number of characters of a value in a message; more would not help the reader."""

WHOLE_FILE = "(file)"
_TYPE_DESCRIPTIONS: dict[Any, str] = {
    str: "text",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
    tuple[str, ...]: "a list of texts",
}


class SettingProblem(msgspec.Struct, frozen=True):
    """One problem in the settings: its key, the reason and what is allowed."""

    key: str
    reason: str
    allowed: str = ""


Problems = tuple[SettingProblem, ...]


class SettingAdjustment(msgspec.Struct, frozen=True):
    """A setting that could not be used as given, and the value used instead."""

    key: str
    given: str
    used: str


class AdjustedSettings(msgspec.Struct, Generic[Kind], frozen=True):
    """Usable settings, and the adjustments by which they differ from the given ones."""

    settings: Kind
    adjustments: tuple[SettingAdjustment, ...]


def load_settings(
    kind: type[Kind], path: Path | None, flags: Mapping[str, Any]
) -> Result[Kind, Problems]:
    """Read the file, if any, apply the flags over it and check the result."""
    return _read_text(path).bind(lambda text: parse_settings(kind, text, flags))


def load_adjusted_settings(
    kind: type[Kind], path: Path | None, flags: Mapping[str, Any]
) -> Result[AdjustedSettings[Kind], Problems]:
    """Like ``load_settings``, but adjust values that can't be used as given.

    See ``adjust_settings``.
    """
    return _read_text(path).bind(lambda text: adjust_settings(kind, text, flags))


def parse_settings(
    kind: type[Kind], text: str, flags: Mapping[str, Any]
) -> Result[Kind, Problems]:
    """Read and check settings from TOML text; flags override the text."""
    read = _parse(kind, text, flags, _Reader(adjusts=False))
    return read.map(lambda found: found.settings)


def adjust_settings(
    kind: type[Kind], text: str, flags: Mapping[str, Any]
) -> Result[AdjustedSettings[Kind], Problems]:
    """Read settings from TOML text and replace values that can't be used.

    A number becomes the nearest allowed one, another optional setting gets its default.
    Unknown keys are ignored. Every such change is recorded as an adjustment. Only what
    can't be replaced, such as a missing required setting, is a problem.
    """
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
    problems = [each for each in _cross_checks(settings) if not reader.tolerates(each)]
    if problems:
        return Failure(tuple(problems))
    return Success(AdjustedSettings(settings, tuple(reader.adjustments)))


def _read_text(path: Path | None) -> Result[str, Problems]:
    """Return the text of a settings file; the empty text if ``path`` is None."""
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
    """Reads a TOML table by the fields of a settings type and collects every problem.

    With ``adjusts``, the nearest usable value or the default replaces a value that can't
    be used, and the replacement is recorded as an adjustment.
    """

    def __init__(self, adjusts: bool) -> None:
        self.problems: list[SettingProblem] = []
        self.adjustments: list[SettingAdjustment] = []
        self._adjusts = adjusts

    def read_struct(
        self, kind: type[SettingsValue], table: Mapping[str, Any], prefix: str
    ) -> dict[str, Any]:
        """Return the checked values of one TOML table by field name.

        ``prefix`` precedes the keys of the table in reported problems.
        """
        fields = {field.name: field for field in msgspec.structs.fields(kind)}
        for key in sorted(table.keys() - fields.keys()):
            if self._adjusts:
                self._add_adjustment(prefix + key, table[key], "nothing: no setting here")
            else:
                self._add_problem(
                    prefix + key, "is no setting here", "one of " + ", ".join(fields)
                )
        values: dict[str, Any] = {}
        for name, field in fields.items():
            if name in table:
                values[name] = self._read_or_adjust(field, table[name], prefix + name)
            elif field.required:
                self._add_problem(
                    prefix + name, "is missing", _type_description(field.type)
                )
        return values

    def _read_or_adjust(self, field: FieldInfo, value: Any, key: str) -> Any:
        """Return the checked value of a field.

        When adjusting, a value that can't be used is replaced by a usable one.
        """
        if not self._adjusts:
            return self._read_field(field, value, key)
        used = _nearest_number(field, value)
        if used is not None:
            if used != value:
                self._add_adjustment(key, value, used)
            return used
        problems_before = len(self.problems)
        read = self._read_field(field, value, key)
        if field.required or len(self.problems) == problems_before:
            return read
        del self.problems[problems_before:]
        self._add_adjustment(key, value, field.default)
        return field.default

    def tolerates(self, problem: SettingProblem) -> bool:
        """Return whether the process may start despite this problem.

        When adjusting, a problem with the lists ``seeds`` or ``relays``, usually that they
        are empty, is tolerated and recorded as an adjustment, because later changes of the
        settings may name some.
        """
        if not self._adjusts or problem.key not in SEED_KEYS:
            return False
        self.adjustments.append(SettingAdjustment(problem.key, "nothing", WAITS_FOR_SEEDS))
        return True

    def _add_adjustment(self, key: str, given: Any, used: Any) -> None:
        self.adjustments.append(SettingAdjustment(key, _shortened(given), _shortened(used)))

    def _read_field(self, field: FieldInfo, value: Any, key: str) -> Any:
        nested = _nested_type(field.type)
        if nested is not None and typing.get_origin(field.type) is tuple:
            return self._read_tables(nested, value, key)
        if nested is not None:
            return self._read_table(nested, value, key)
        if field.type == tuple[str, ...]:
            return self._read_strings(field.name, value, key)
        if field.type is float and type(value) is int:
            value = _as_float(value)
        if type(value) is not field.type:
            self._add_problem(
                key, f"is {_value_description(value)}", _type_description(field.type)
            )
            return None
        self._check_rule(field.name, value, key)
        return value

    def _read_strings(self, name: str, value: Any, key: str) -> tuple[str, ...]:
        if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
            self._add_problem(key, f"is {_value_description(value)}", "a list of texts")
            return ()
        for position, item in enumerate(value):
            self._check_rule(name, item, f"{key}[{position}]")
        return tuple(value)

    def _read_tables(self, kind: type[SettingsValue], value: Any, key: str) -> Any:
        if not isinstance(value, list):
            self._add_problem(key, f"is {_value_description(value)}", f"tables [[{key}]]")
            return ()
        return tuple(
            self._read_table(kind, item, f"{key}[{position}]")
            for position, item in enumerate(value)
        )

    def _read_table(self, kind: type[SettingsValue], value: Any, key: str) -> Any:
        if not isinstance(value, dict):
            self._add_problem(key, f"is {_value_description(value)}", "a table")
            return None
        before = len(self.problems)
        values = self.read_struct(kind, value, prefix=f"{key}.")
        return kind(**values) if len(self.problems) == before else None

    def _check_rule(self, name: str, value: Any, key: str) -> None:
        rule = FIELD_RULES.get(name)
        fault = rule(value) if rule is not None else None
        if fault is not None:
            self._add_problem(key, f"{_shortened(value)} {fault.reason}", fault.allowed)

    def _add_problem(self, key: str, reason: str, allowed: str) -> None:
        self.problems.append(SettingProblem(key, reason, allowed))


def _cross_checks(settings: SettingsValue) -> Problems:
    """Return the problems that concern a combination of settings."""
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
    problems = _check_names("replicas", listed, may_be_empty=settings.join)
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
    problems += _check_names(
        "relays", [peer.name for peer in settings.relays], may_be_empty=True
    )
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
    problems = _check_names("relays", names, may_be_empty=bool(settings.seeds))
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
    """Check the claims groups: one in ``claims`` or several in ``claims_groups``."""
    problems = _check_names(
        "claims", [peer.name for peer in settings.claims], may_be_empty=True
    )
    groups = (
        ("claims_groups", settings.claims_groups),
        ("previous_claims_groups", settings.previous_claims_groups),
    )
    for key, listed in groups:
        problems += _check_names(key, [group.name for group in listed], may_be_empty=True)
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


def _check_names(
    key: str, names: list[str], may_be_empty: bool = False
) -> list[SettingProblem]:
    problems: list[SettingProblem] = []
    if not names and not may_be_empty:
        problems.append(SettingProblem(key, "is empty", f"at least one [[{key}]]"))
    for name in sorted({name for name in names if names.count(name) > 1}):
        problems.append(SettingProblem(key, f"lists {name!r} twice", "each name once"))
    return problems


def _merge(table: Mapping[str, Any], flags: Mapping[str, Any]) -> dict[str, Any]:
    """Return the file's table overridden by flags.

    Nested tables are merged key by key; lists are replaced.
    """
    merged = dict(table)
    for key, value in flags.items():
        from_file = merged.get(key)
        if isinstance(value, dict) and isinstance(from_file, dict):
            merged[key] = {**from_file, **value}
        else:
            merged[key] = value
    return merged


def _nearest_number(field: FieldInfo, value: Any) -> float | None:
    """Return the allowed number nearest to ``value``.

    Return None if the field or the value is not a number, or if the field has no range.
    """
    rule = FIELD_RULES.get(field.name)
    if field.type not in (int, float) or type(value) not in (int, float):
        return None
    return rule.nearest(value) if isinstance(rule, NumberRule) else None


def _as_float(value: int) -> float:
    """Return an integer as a float; infinity (signed) if it exceeds the range of floats."""
    try:
        return float(value)
    except OverflowError:
        return math.inf if value > 0 else -math.inf


def _shortened(value: Any) -> str:
    """Return the ``repr`` of a value, cut to ``MAX_SHOWN`` characters plus "..."."""
    text = repr(value)
    return text if len(text) <= MAX_SHOWN else text[:MAX_SHOWN] + "..."


def _nested_type(annotation: Any) -> type[SettingsValue] | None:
    """Return the settings type X of ``X``, ``tuple[X, ...]`` or ``X | None``, else None."""
    candidates = typing.get_args(annotation) or (annotation,)
    for candidate in candidates:
        if isinstance(candidate, type) and issubclass(candidate, SettingsValue):
            return candidate
    return None


def _type_description(annotation: Any) -> str:
    nested = _nested_type(annotation)
    if nested is None:
        return _TYPE_DESCRIPTIONS[annotation]
    names = ", ".join(field.name for field in msgspec.structs.fields(nested))
    has_many_tables = typing.get_origin(annotation) not in (types.UnionType, typing.Union)
    return f"{'tables' if has_many_tables else 'a table'} with {names}"


def _value_description(value: Any) -> str:
    return _TYPE_DESCRIPTIONS.get(type(value), f"a {type(value).__name__}")


def _failure(key: str, reason: str, allowed: str) -> Failure[Problems]:
    return Failure((SettingProblem(key, reason, allowed),))
