"""Puts the generated tables between their marks in the page."""

from __future__ import annotations

import re
from pathlib import Path

from benchmarks.capacity import convergence, limits, roles, scenarios
from benchmarks.capacity.command_line import command_figures
from benchmarks.capacity.figures import role_table
from benchmarks.capacity.measured import Measured
from benchmarks.capacity.sources import sources_table

PAGE = Path(__file__).parents[2] / "docs" / "CAPACITY.md"
_BLOCK = re.compile(r"<!-- begin (?P<name>[a-z-]+) -->\n.*?<!-- end (?P=name) -->", re.S)


def generated_blocks(measured: Measured) -> dict[str, str]:
    """Give the text of every generated block by its name."""
    return {
        "limits": limits.limits_table(measured),
        "breaks": limits.breaks_table(measured),
        "machines": scenarios.machines_table(measured),
        "control": role_table(roles.control_figures(measured)),
        "claims": role_table(roles.claims_figures(measured)),
        "relay": role_table(roles.relay_figures(measured)),
        "node": role_table(roles.node_figures(measured)),
        "command": role_table(command_figures(measured)),
        "claim-shares": scenarios.claims_table(measured),
        "worst-hour": scenarios.worst_hour_table(measured),
        "zone-loss": scenarios.zone_loss_table(measured),
        "region-cut": scenarios.region_cut_table(measured),
        "storms": scenarios.herds_table(measured.scale),
        "smaller-storms": scenarios.herds_table(measured.smaller_scale),
        "today": convergence.today_table(measured),
        "batching": convergence.batching_table(measured),
        "steady": convergence.steady_table(measured.scale),
        "smaller-steady": convergence.steady_table(measured.smaller_scale),
        "sources": sources_table(measured),
    }


def blocks_of(page: str) -> dict[str, str]:
    """Give the blocks that a page holds, by name."""
    found = {}
    for match in _BLOCK.finditer(page):
        lines = match.group(0).splitlines()
        found[match.group("name")] = "\n".join(lines[1:-1])
    return found


def with_blocks(page: str, blocks: dict[str, str]) -> str:
    """Give the page with its blocks replaced; each block has exactly one place."""
    names = [match.group("name") for match in _BLOCK.finditer(page)]
    assert sorted(names) == sorted(blocks), f"marks {names}, blocks {sorted(blocks)}"

    def replaced(match: re.Match[str]) -> str:
        name = match.group("name")
        return f"<!-- begin {name} -->\n{blocks[name]}\n<!-- end {name} -->"

    return _BLOCK.sub(replaced, page)


def write_page(measured: Measured) -> None:
    """Redraw the page's tables."""
    page = PAGE.read_text(encoding="utf-8")
    PAGE.write_text(with_blocks(page, generated_blocks(measured)), encoding="utf-8")
