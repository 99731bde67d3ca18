"""Fills the adapter's templates as the platform does, for the forms that ours use."""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[2]
LIST = re.compile(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}")
VALUE = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")


def fill(template: str, values: Mapping[str, Any]) -> str:
    """Fill one template."""

    def items(match: re.Match[str]) -> str:
        each, found = match[2], values[match[1]]
        last = len(found) - 1
        return "".join(
            each.replace("{{.}}", item).replace("{{,}}", ", " if place < last else "")
            for place, item in enumerate(found)
        )

    def value(match: re.Match[str]) -> str:
        found: Any = values
        for name in match[1].split("."):
            found = found[name]
        return json.dumps(found) if match[2] else str(found)

    return VALUE.sub(value, LIST.sub(items, template))


def filled(role: str, values: Mapping[str, Any]) -> str:
    """Fill the template of a role."""
    return fill((ROOT / "platform" / f"{role}.toml.template").read_text(), values)
