"""Runs many seeds: ``python -m peppershore_lab.simulator --seeds N --first S``.

A seed gives the same run only with the same order of sets, so the process starts
itself over with a fixed ``PYTHONHASHSEED`` if it has none.
"""

from __future__ import annotations

import os
import sys

from peppershore_lab.simulator.command import simulate

HASH_SEED = "0"

if __name__ == "__main__":
    if os.environ.get("PYTHONHASHSEED") != HASH_SEED:
        os.environ["PYTHONHASHSEED"] = HASH_SEED
        os.execv(sys.executable, sys.orig_argv)
    simulate()
