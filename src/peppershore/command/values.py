"""Parser and formatter of KEY=VALUE arguments for the overrides of a tree node."""

from __future__ import annotations

import typing
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from peppershore.version.model import Overrides, Problem
from peppershore.version.resolve import set_values
from peppershore.version.rollout import ROLLOUT_FIELDS, without_rollout

OVERRIDE_NAMES: tuple[str, ...] = tuple(
    name for name in Overrides.__struct_fields__ if name not in ROLLOUT_FIELDS
)
"""Settings that operators may set; only the control group sets those of roll-outs."""

LIST_SEPARATOR = ","
_TRUE_TEXTS = frozenset({"true", "yes", "on", "1"})
_FALSE_TEXTS = frozenset({"false", "no", "off", "0"})
_TYPE_HINTS = typing.get_type_hints(Overrides)


def read_assignments(
    assignments: tuple[str, ...],
) -> Result[Overrides, tuple[Problem, ...]]:
    """Parse KEY=VALUE arguments; a failure lists all problems, such as repeated keys."""
    values: dict[str, Any] = {}
    problems: list[Problem] = []
    for assignment in assignments:
        name, separator, text = assignment.partition("=")
        if not separator:
            problems.append(Problem(assignment, "is no assignment", "KEY=VALUE"))
        elif name not in OVERRIDE_NAMES:
            allowed = "one of " + ", ".join(OVERRIDE_NAMES)
            problems.append(Problem(name, "is no setting", allowed))
        elif name in values:
            problems.append(Problem(name, "is given twice", "each key once"))
        else:
            values[name] = _read_value(name, text, problems)
    if problems:
        return Failure(tuple(problems))
    return Success(Overrides(**values))


def format_assignments(overrides: Overrides) -> tuple[str, ...]:
    """Return overrides as the KEY=VALUE arguments that would set them."""
    values = set_values(without_rollout(overrides))
    return tuple(f"{name}={_format_value(value)}" for name, value in values.items())


def describe_type(name: str) -> str:
    """Return a text that describes the values that a setting accepts."""
    kind = _value_type(name)
    if kind is bool:
        return "true or false"
    if kind is int:
        return "a whole number"
    if typing.get_origin(kind) is tuple:
        element = typing.get_args(kind)[0]
        return f"a list with commas of {_type_text(element)}"
    return _type_text(kind)


def _format_value(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, tuple):
        return LIST_SEPARATOR.join(str(item) for item in value)
    return str(value)


def _read_value(name: str, text: str, problems: list[Problem]) -> Any:
    kind = _value_type(name)
    raw: Any = text
    if kind is bool:
        raw = _read_boolean(text)
    elif typing.get_origin(kind) is tuple:
        raw = [item.strip() for item in text.split(LIST_SEPARATOR) if item.strip()]
    try:
        return msgspec.convert(raw, kind, strict=False)
    except msgspec.ValidationError:
        problems.append(Problem(name, f"{text!r} does not fit", describe_type(name)))
        return None


def _read_boolean(text: str) -> bool | str:
    word = text.lower()
    if word in _TRUE_TEXTS:
        return True
    return False if word in _FALSE_TEXTS else text


def _value_type(name: str) -> Any:
    """Return the type of a setting without ``UnsetType``."""
    hint = _TYPE_HINTS[name]
    kinds = [kind for kind in typing.get_args(hint) if kind is not msgspec.UnsetType]
    return kinds[0] if len(kinds) == 1 else typing.Union[tuple(kinds)]  # noqa: UP007


def _type_text(kind: Any) -> str:
    if typing.get_origin(kind) is typing.Literal:
        return " | ".join(str(choice) for choice in typing.get_args(kind))
    return "text" if kind is str else "a whole number"
