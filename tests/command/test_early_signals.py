"""A process that is told of changed settings while it starts.

Seen: a soak that restarts processes and changes their settings in overlapping series found
hubs and nodes ended by SIGHUP (exit status -1).
Cause: the signal came while the program was being imported, 0.1 to 0.3 s before its loop
took it over; until then the system's default, the end of the process, was in force.
"""

from __future__ import annotations

import signal
import subprocess
import sys

PROGRAM = """
import signal, sys, types
signal.signal(signal.SIGHUP, signal.SIG_DFL)
class Told(types.ModuleType):
    def __getattr__(self, name):
        print(signal.getsignal(signal.SIGHUP).name, flush=True)
        sys.exit(0)
sys.modules["peppershore.command.main"] = Told("peppershore.command.main")
sys.argv = ["peppershore", *sys.argv[1:]]
from peppershore.command.entry import run
run()
"""


def _hangup_before_imports(*arguments: str) -> str:
    """Give what SIGHUP does when the commands are about to be imported."""
    done = subprocess.run(
        [sys.executable, "-c", PROGRAM, *arguments],
        capture_output=True,
        text=True,
        timeout=60.0,
        check=False,
    )
    return done.stdout.strip()


def test_a_process_that_is_starting_is_not_ended_by_a_reload() -> None:
    assert _hangup_before_imports("serve", "hub") == signal.SIG_IGN.name


def test_a_command_at_a_terminal_still_ends_with_it() -> None:
    assert _hangup_before_imports("watch") == signal.SIG_DFL.name
