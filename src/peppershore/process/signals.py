"""Handling of stop signals: SIGTERM and SIGINT request a planned stop of the core."""

from __future__ import annotations

import asyncio
import signal

from peppershore.process.events import StopRequested
from peppershore.process.shell import Shell

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def stop_on_signals(shell: Shell) -> None:
    """Pass ``StopRequested`` to the shell's core on SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, shell.dispatch, StopRequested())
