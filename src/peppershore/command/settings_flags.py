"""Flags for the settings of a role, generated from the role's settings type.

A scalar setting ``data_folder`` becomes ``--data-folder``. A list of tables
becomes a repeatable flag, such as ``--replicas name=c1,address=127.0.0.1:7001``.
The settings loader validates a flag's value like a value from the settings file.
"""

from __future__ import annotations

import typing
from collections.abc import Callable
from typing import Any

import click
import msgspec
from msgspec.structs import FieldInfo

from peppershore.process.settings import SettingsValue, TlsFiles
from peppershore.process.settings_examples import meanings
from peppershore.process.settings_loader import KINDS

TLS_FIELD = "tls"
TLS_PREFIX = "tls_"
Command = Callable[..., None]


def settings_flags(role: str) -> Callable[[Command], Command]:
    """Return a decorator that adds a flag for each setting of ``role`` but nested ones."""
    shown = meanings(role)

    def decorate(command: Command) -> Command:
        for field in reversed(msgspec.structs.fields(KINDS[role])):
            for option in reversed(_options(field, shown.get(field.name, ""))):
                command = option(command)
        return command

    return decorate


def collect_flags(kind: type[SettingsValue], arguments: dict[str, Any]) -> dict[str, Any]:
    """Return the values of the given flags, structured like the settings file."""
    flags: dict[str, Any] = {}
    for field in msgspec.structs.fields(kind):
        if field.name == TLS_FIELD:
            flags |= _collect_tls(arguments)
            continue
        value = arguments.get(field.name)
        if value is None or value == ():
            continue
        if _is_text_list(field):
            flags[field.name] = list(value)
        elif _is_list(field):
            flags[field.name] = [_table(item) for item in value]
        else:
            flags[field.name] = value
    return flags


def _options(field: FieldInfo, meaning: str) -> list[Callable[[Command], Command]]:
    if field.name == TLS_FIELD:
        return [
            click.option(_flag(TLS_PREFIX + part.name), help=f"PEM file: {part.name}.")
            for part in msgspec.structs.fields(TlsFiles)
        ]
    flag = _flag(field.name)
    if _is_text_list(field):
        return [click.option(flag, multiple=True, help=meaning)]
    if _is_nested(field) or _is_table(field):
        return []
    if _is_list(field):
        form = _table_form(field)
        return [click.option(flag, multiple=True, metavar=form, help=meaning)]
    default = "" if field.required else f"  [default: {field.default!r}]"
    shown = f"{meaning}{default}"
    if field.type is bool:
        return [click.option(f"{flag}/--no-{flag[2:]}", default=None, help=shown)]
    return [click.option(flag, type=field.type, help=shown)]


def _collect_tls(arguments: dict[str, Any]) -> dict[str, Any]:
    names = [part.name for part in msgspec.structs.fields(TlsFiles)]
    given = {name: arguments[TLS_PREFIX + name] for name in names}
    values = {name: value for name, value in given.items() if value is not None}
    return {TLS_FIELD: values} if values else {}


def _table(text: str) -> dict[str, str] | str:
    """Parse ``name=a,address=b``; return text of any other form unchanged."""
    parts = [part.partition("=") for part in text.split(",")]
    if not all(separator for _, separator, _ in parts):
        return text
    return {key.strip(): value.strip() for key, _, value in parts}


def _table_form(field: FieldInfo) -> str:
    element = typing.get_args(field.type)[0]
    names = [part.name for part in msgspec.structs.fields(element)]
    return ",".join(f"{name}=..." for name in names)


def _is_list(field: FieldInfo) -> bool:
    return typing.get_origin(field.type) is tuple


def _is_text_list(field: FieldInfo) -> bool:
    return bool(field.type == tuple[str, ...])


def _is_table(field: FieldInfo) -> bool:
    """Return whether the field is an optional table, which only a file can hold."""
    kinds = [kind for kind in typing.get_args(field.type) if isinstance(kind, type)]
    return any(issubclass(kind, SettingsValue) for kind in kinds) and not _is_list(field)


def _is_nested(field: FieldInfo) -> bool:
    """Return whether the field is a list of tables that hold lists.

    Such a table can't be written on one line, so the field has no flag.
    """
    if not _is_list(field):
        return False
    element = typing.get_args(field.type)[0]
    return any(_is_list(part) for part in msgspec.structs.fields(element))


def _flag(name: str) -> str:
    return "--" + name.replace("_", "-")
