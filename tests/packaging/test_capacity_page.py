"""docs/CAPACITY.md says what results/ gives, and tells it of the letter's size."""

from __future__ import annotations

import re
from pathlib import Path

import msgspec
import pytest
from benchmarks.capacity import sizes
from benchmarks.capacity.limits import limits
from benchmarks.capacity.measured import read_measured
from benchmarks.capacity.page import PAGE, blocks_of, generated_blocks, with_blocks
from benchmarks.capacity.plots import IMAGES, draw_all
from benchmarks.capacity.tables import number


@pytest.fixture(scope="module")
def measured():
    return read_measured()


def test_every_table_of_the_page_is_what_the_results_give(measured):
    assert blocks_of(PAGE.read_text(encoding="utf-8")) == generated_blocks(measured)


def test_a_changed_result_would_change_the_page(measured):
    relay = msgspec.structs.replace(measured.relay, restart_milliseconds=[123.0])
    changed = msgspec.structs.replace(measured, relay=relay)
    assert generated_blocks(changed)["relay"] != generated_blocks(measured)["relay"]


def test_a_page_without_a_place_for_a_table_is_refused(measured):
    blocks = generated_blocks(measured)
    page = PAGE.read_text(encoding="utf-8").replace("begin relay", "begin other")
    with pytest.raises(AssertionError):
        with_blocks(page, blocks)


def test_the_plots_are_drawn_from_the_results(measured, tmp_path):
    draw_all(measured, tmp_path)
    drawn = {path.name for path in tmp_path.iterdir()}
    assert drawn == {path.name for path in IMAGES.glob("capacity-*.svg")}
    page = PAGE.read_text(encoding="utf-8")
    assert all(f"images/{name}" in page for name in drawn)


def test_a_limit_that_is_missed_is_said_so(measured):
    for limit in limits(measured):
        assert ("missed" in limit.verdict) == (limit.value > limit.limit)


def test_the_sizes_are_those_of_the_page():
    page = PAGE.read_text(encoding="utf-8")
    for size in (
        sizes.NODES,
        sizes.SERVICES,
        sizes.CHANGES_PER_DAY,
        sizes.RESTARTS_PER_DAY,
        sizes.CONTROL_MACHINES,
    ):
        assert re.search(rf"\b{size:,}\b", page), size
    assert sizes.REPLICAS + sizes.RELAYS == sizes.CONTROL_MACHINES


@pytest.mark.parametrize(
    ("value", "text"),
    [
        (0.0, "0"),
        (0.0001234, "0.000123"),
        (1.5, "1.5"),
        (999.6, "1000"),
        (12_345, "12,300"),
    ],
)
def test_numbers_have_three_digits(value, text):
    assert number(value) == text


def test_the_results_name_no_path_of_a_machine():
    for path in Path(PAGE.parents[1] / "results").glob("*.json"):
        for word in re.split(r"[\s\"]+", path.read_text(encoding="utf-8")):
            assert not word.startswith("/") or word == "/", (path.name, word)
