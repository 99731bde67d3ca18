"""A signal from the machine becomes the core's planned stop."""

from __future__ import annotations

import asyncio
import signal

from peppershore.process.events import StopRequested
from peppershore.process.shell import Shell

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def stop_on_signals(shell: Shell) -> None:
    """Hand the core ``StopRequested`` on SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, shell.dispatch, StopRequested())
