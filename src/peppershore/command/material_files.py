"""Reader of key material that operators pass in a file or on standard input."""

from __future__ import annotations

import sys
from pathlib import Path

STANDARD_INPUT = "-"


def read_bounded(source: str, maximum_bytes: int) -> bytes:
    """Read a file, or standard input for "-".

    Returns at most ``maximum_bytes`` + 1 bytes; the extra byte shows that the content is
    too large. Raises OSError if it can't be read.
    """
    if source == STANDARD_INPUT:
        return sys.stdin.buffer.read(maximum_bytes + 1)
    with Path(source).open("rb") as file:
        return file.read(maximum_bytes + 1)
