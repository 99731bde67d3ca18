"""Fills the adapter's templates as the platform does, for the forms that ours use."""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[2]
SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}")
INVERTED = re.compile(r"\{\{\^([\w.]+)\}\}(.*?)\{\{/\1\}\}")
VALUE = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")


def fill(template: str, values: Mapping[str, Any]) -> str:
    """Fill one template."""

    def section(match: re.Match[str]) -> str:
        each, found = fill_sections(match[2]), look_up(values, match[1])
        if found is None or found is False:
            return ""
        if not isinstance(found, list):
            return each
        last = len(found) - 1
        return "".join(
            each.replace("{{.}}", item).replace("{{,}}", ", " if place < last else "")
            for place, item in enumerate(found)
        )

    def otherwise(match: re.Match[str]) -> str:
        found = look_up(values, match[1])
        return match[2] if found is None or found is False else ""

    def fill_sections(text: str) -> str:
        return INVERTED.sub(otherwise, SECTION.sub(section, text))

    def value(match: re.Match[str]) -> str:
        found = look_up(values, match[1])
        if match[2]:
            return json.dumps(found)
        return "" if found is None else str(found)

    return VALUE.sub(value, fill_sections(template))


def look_up(values: Mapping[str, Any], path: str) -> Any:
    """Give the value at a path with dots; None where there is none."""
    found: Any = values
    for name in path.split("."):
        if not isinstance(found, Mapping) or name not in found:
            return None
        found = found[name]
    return found


def filled(role: str, values: Mapping[str, Any]) -> str:
    """Fill the template of a role."""
    return fill((ROOT / "platform" / f"{role}.toml.template").read_text(), values)
