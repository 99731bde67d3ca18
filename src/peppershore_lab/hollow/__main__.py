"""``python -m peppershore_lab.hollow``: one hollow process, driven over standard input."""

from __future__ import annotations

import asyncio

from peppershore_lab.hollow.process import run_hollow

if __name__ == "__main__":
    asyncio.run(run_hollow())
