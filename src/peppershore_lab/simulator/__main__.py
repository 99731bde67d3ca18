"""Runs many seeds: ``python -m peppershore_lab.simulator --seeds N --first S``."""

from __future__ import annotations

from peppershore_lab.simulator.command import simulate

if __name__ == "__main__":
    simulate()
