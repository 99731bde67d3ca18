"""The page of the platform's rules names tests and modules that there are."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PAGE = (ROOT / "docs" / "platform-rules.md").read_text()
TESTS = sorted(set(re.findall(r"`(test_\w+)`", PAGE)))
MODULES = sorted(
    set(re.findall(r"`((?:connection|process|request|version)/[\w/]+\.py)`", PAGE))
)
WRITTEN = "\n".join(path.read_text() for path in (ROOT / "tests").rglob("test_*.py"))


def test_the_page_names_tests_and_modules() -> None:
    assert len(TESTS) > 20
    assert len(MODULES) > 10


@pytest.mark.parametrize("name", TESTS)
def test_named_test_exists(name: str) -> None:
    assert f"def {name}(" in WRITTEN


@pytest.mark.parametrize("module", MODULES)
def test_named_module_exists(module: str) -> None:
    assert (ROOT / "src" / "peppershore" / module).is_file()
