"""Entry point of the program: set-up that must precede the imports of the commands."""

from __future__ import annotations

import signal
import sys
from collections.abc import Sequence

SERVE = "serve"


def run(arguments: Sequence[str] | None = None) -> None:
    """Run the command line with ``arguments``, by default those of this process.

    ``serve`` ignores SIGHUP until its event loop handles it. The imports take 0.1 to 0.3 s
    of the start, and a SIGHUP that reports changed settings meanwhile would terminate the
    process. No change is missed, as the settings are read after the imports.
    """
    given = list(sys.argv[1:] if arguments is None else arguments)
    if given[:1] == [SERVE]:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from peppershore.command.main import main  # noqa: PLC0415

    main(given)
