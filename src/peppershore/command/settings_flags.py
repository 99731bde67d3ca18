"""Flags for every setting of a role, made from the role's settings type.

A scalar setting ``data_folder`` becomes ``--data-folder``.  A list of tables
becomes a repeatable flag, such as ``--replicas name=c1,address=127.0.0.1:7001``.
The flag's value goes to the settings loader, which judges it like a file's.
"""

from __future__ import annotations

import typing
from collections.abc import Callable
from typing import Any

import click
import msgspec
from msgspec.structs import FieldInfo

from peppershore.process.settings import SettingsValue, TlsFiles

TLS_FIELD = "tls"
TLS_PREFIX = "tls_"
Command = Callable[..., None]


def settings_flags(kind: type[SettingsValue]) -> Callable[[Command], Command]:
    """Give a decorator that adds a flag for every setting of ``kind``."""

    def decorate(command: Command) -> Command:
        for field in reversed(msgspec.structs.fields(kind)):
            for option in reversed(_options(field)):
                command = option(command)
        return command

    return decorate


def collect_flags(kind: type[SettingsValue], arguments: dict[str, Any]) -> dict[str, Any]:
    """Give the flags that were set, in the shape of the settings file."""
    flags: dict[str, Any] = {}
    for field in msgspec.structs.fields(kind):
        if field.name == TLS_FIELD:
            flags |= _collect_tls(arguments)
            continue
        value = arguments[field.name]
        if value is None or value == ():
            continue
        flags[field.name] = [_table(item) for item in value] if _is_list(field) else value
    return flags


def _options(field: FieldInfo) -> list[Callable[[Command], Command]]:
    if field.name == TLS_FIELD:
        return [
            click.option(_flag(TLS_PREFIX + part.name), help=f"PEM file: {part.name}.")
            for part in msgspec.structs.fields(TlsFiles)
        ]
    flag = _flag(field.name)
    if _is_list(field):
        return [click.option(flag, multiple=True, metavar=_table_form(field))]
    if field.type is bool:
        return [click.option(f"{flag}/--no-{flag[2:]}", default=None)]
    shown = None if field.required else f"[default: {field.default!r}]"
    return [click.option(flag, type=field.type, help=shown)]


def _collect_tls(arguments: dict[str, Any]) -> dict[str, Any]:
    names = [part.name for part in msgspec.structs.fields(TlsFiles)]
    given = {name: arguments[TLS_PREFIX + name] for name in names}
    values = {name: value for name, value in given.items() if value is not None}
    return {TLS_FIELD: values} if values else {}


def _table(text: str) -> dict[str, str] | str:
    """Read ``name=a,address=b``; text of another form goes on as it is."""
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


def _flag(name: str) -> str:
    return "--" + name.replace("_", "-")
