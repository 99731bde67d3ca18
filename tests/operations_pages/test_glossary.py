"""The glossary names only modules, types and settings that there are."""

from __future__ import annotations

import re
from pathlib import Path

from peppershore.version import model

PROJECT = Path(__file__).parents[2]
GLOSSARY = (PROJECT / "docs" / "GLOSSARY.md").read_text()


def test_places_exist() -> None:
    places = re.findall(r"`([a-z_]+/[a-z_/]*(?:\.py)?)`", GLOSSARY)
    assert len(places) > 20
    missing = [
        place
        for place in places
        if not (PROJECT / "src" / "peppershore" / place).exists()
        and not (PROJECT / place).exists()
    ]
    assert missing == []


def test_types_and_their_fields_exist() -> None:
    for name, field in re.findall(r"`([A-Z]\w+)(?:\.(\w+))?`", GLOSSARY):
        kind = getattr(model, name)
        assert not field or field in kind.__struct_fields__
