"""The first lines of the program: what must be in force before anything is imported."""

from __future__ import annotations

import signal
import sys
from collections.abc import Sequence

SERVE = "serve"


def run(arguments: Sequence[str] | None = None) -> None:
    """Run the command line; ``arguments`` stand in for those of this process.

    A process that serves may be told of changed settings at any moment of its start, which
    takes 0.1 to 0.3 s of imports; it reads its settings after them, so nothing is missed.
    Without this the signal ends it.
    """
    given = list(sys.argv[1:] if arguments is None else arguments)
    if given[:1] == [SERVE]:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from peppershore.command.main import main  # noqa: PLC0415

    main(given)
