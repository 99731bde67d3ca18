"""Reader of edit files: TOML files with operations that are sent as one atomic edit.

The file holds ``[[operations]]`` tables. Each has ``type`` ("set", "unset",
"remove", "set_zone", "remove_zone", "remove_secret", "set_tenant" or "remove_tenant")
and the fields of that operation. An edit file can't contain key material: a tenant
keeps the keys it has.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from peppershore.command.failures import Failed, invalid, usage
from peppershore.version.model import (
    Operation,
    Overrides,
    Problem,
    RemoveNode,
    RemoveSecret,
    RemoveTenant,
    RemoveZone,
    SetOverrides,
    SetTenant,
    SetZone,
    UnsetOverrides,
)

MAX_FILE_BYTES = 64 * 1024 * 1024
FILE_KEYS = ("operations", "comment")
FileOperation = (
    SetOverrides
    | UnsetOverrides
    | RemoveNode
    | SetZone
    | RemoveZone
    | RemoveSecret
    | SetTenant
    | RemoveTenant
)
TYPES = (
    "set, unset, remove, set_zone, remove_zone, remove_secret, set_tenant, remove_tenant"
)
MATERIAL_FIELDS = frozenset({"keys"})
"""Fields of operations that are refused in an edit file, as they hold key material."""

NEXT_STEP = "mend the file; `peppershore tree edit --help` shows its form"


class EditFile(msgspec.Struct, frozen=True):
    """The operations of one atomic edit, and the operator's comment on it."""

    operations: tuple[Operation, ...]
    comment: str = ""


def read_text(path: Path) -> Result[str, Failed]:
    """Return the text of a file; fail if it is unreadable, too large or not UTF-8."""
    try:
        content = path.read_bytes()
    except OSError as problem:
        reason = problem.strerror or type(problem).__name__
        return Failure(usage(f"{path} can't be read: {reason}", "give a readable file"))
    if len(content) > MAX_FILE_BYTES:
        message = f"{path} is larger than {MAX_FILE_BYTES} bytes"
        return Failure(usage(message, "split the file"))
    try:
        return Success(content.decode())
    except UnicodeDecodeError:
        return Failure(usage(f"{path} is not UTF-8 text", "give a TOML file"))


def parse_edit_file(text: str) -> Result[EditFile, Failed]:
    """Parse the text of an edit file; a failure lists all of its problems."""
    try:
        table = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError, ValueError) as problem:
        return Failure(invalid(f"the file is not TOML: {problem}", (), NEXT_STEP))
    problems = [
        Problem(key, "is no key of an edit file", ", ".join(FILE_KEYS))
        for key in sorted(table.keys() - set(FILE_KEYS))
    ]
    operations = _operations(table.get("operations"), problems)
    comment = table.get("comment", "")
    if not isinstance(comment, str):
        problems.append(Problem("comment", "is not text", "text"))
    if problems:
        failed = invalid("the edit file can't be used", tuple(problems), NEXT_STEP)
        return Failure(failed)
    return Success(EditFile(operations, comment))


def _operations(raw: Any, problems: list[Problem]) -> tuple[Operation, ...]:
    if not isinstance(raw, list) or not raw:
        problems.append(Problem("operations", "is missing", "[[operations]] tables"))
        return ()
    found: list[Operation] = []
    for position, item in enumerate(raw):
        try:
            operation = msgspec.convert(item, FileOperation)
        except msgspec.ValidationError as problem:
            key = f"operations[{position}]"
            problems.append(Problem(key, str(problem), f"type is one of {TYPES}"))
            continue
        _check_fields(item, operation, position, problems)
        found.append(operation)
    return tuple(found)


def _check_fields(
    item: dict[str, Any], operation: Operation, position: int, problems: list[Problem]
) -> None:
    """Add a problem for each unknown key, and for a ``set`` without any override."""
    fields = operation.__struct_fields__
    known = ("type", *(name for name in fields if name not in MATERIAL_FIELDS))
    for key in sorted(item.keys() - set(known)):
        subject = f"operations[{position}].{key}"
        problems.append(Problem(subject, "is no field here", ", ".join(known)))
    if isinstance(operation, SetOverrides) and operation.overrides == Overrides():
        subject = f"operations[{position}].overrides"
        problems.append(Problem(subject, "sets nothing", "a table of settings"))
