"""Redraws the tables and plots of docs/CAPACITY.md from results/*.json."""

from __future__ import annotations

from benchmarks.capacity.measured import read_measured
from benchmarks.capacity.page import write_page
from benchmarks.capacity.plots import draw_all


def main() -> None:
    """Redraw."""
    measured = read_measured()
    write_page(measured)
    draw_all(measured)


if __name__ == "__main__":
    main()
