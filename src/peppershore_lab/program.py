"""The product's program, as the lab starts it."""

from __future__ import annotations

import sys
from pathlib import Path

PROGRAM = Path(sys.executable).parent / "peppershore"
