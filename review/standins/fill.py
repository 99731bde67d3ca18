"""Fills a settings template as DEPLOY.md tells it: gaps, sections and their contents."""

from __future__ import annotations

import json
import re
from collections.abc import Sequence
from typing import Any

TAG = re.compile(r"\{\{([#^/]?)([^{}]*)\}\}")


def fill(template: str, fields: dict[str, Any]) -> str:
    """Return the text of a template with the platform's fields in its gaps."""
    text, rest = _block(template, [fields], None, "")
    assert not rest, "a section ends that never began"
    return text


def _block(text: str, scopes: list[Any], key: object, separator: str) -> tuple[str, str]:
    """Return the filled text up to the end of the section, and what follows it."""
    out: list[str] = []
    while True:
        found = TAG.search(text)
        if found is None:
            out.append(text)
            return "".join(out), ""
        out.append(text[: found.start()])
        kind, name = found.group(1), found.group(2).strip()
        text = text[found.end() :]
        if kind == "/":
            return "".join(out), text
        if kind in ("#", "^"):
            inner, text = _split(text, name)
            out.append(_section(kind, inner, _look(name, scopes), scopes))
        elif name == "@":
            out.append(str(key))
        elif name == ",":
            out.append(separator)
        else:
            out.append(_gap(name, scopes))


def _split(text: str, name: str) -> tuple[str, str]:
    """Return the inside of a section that has just begun, and what follows its end."""
    depth = 1
    for found in TAG.finditer(text):
        if found.group(2).strip() != name or not found.group(1):
            continue
        depth += -1 if found.group(1) == "/" else 1
        if depth == 0:
            return text[: found.start()], text[found.end() :]
    raise AssertionError(f"the section {name} has no end")


def _section(kind: str, inner: str, value: Any, scopes: list[Any]) -> str:
    is_given = value is not None and value is not False
    if kind == "^":
        return "" if is_given else _block(inner, scopes, "", "")[0]
    if not is_given:
        return ""
    if isinstance(value, dict):
        entries: Sequence[tuple[object, Any]] = list(value.items())
    elif isinstance(value, list):
        entries = list(enumerate(value))
    else:
        return _block(inner, [*scopes, value], "", "")[0]
    last = len(entries) - 1
    return "".join(
        _block(inner, [*scopes, entry], key, "," if place < last else "")[0]
        for place, (key, entry) in enumerate(entries)
    )


def _gap(name: str, scopes: list[Any]) -> str:
    name, _, form = name.partition("|")
    value = scopes[-1] if name == "." else _look(name, scopes)
    if form == "json":
        return json.dumps(value)
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(str(each) for each in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def _look(name: str, scopes: list[Any]) -> Any:
    for scope in reversed(scopes):
        value: Any = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None
