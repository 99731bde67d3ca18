"""SIGHUP, which reports changed settings, must not terminate a process that is starting.

A soak test that restarted processes and changed their settings at the same time found hubs
and nodes terminated by SIGHUP (exit status -1). The signal arrived during the imports, 0.1
to 0.3 s before the event loop handled it; until then the system's default action, to
terminate the process, applied.
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
    """Return the SIGHUP handler's name at the time when the commands are imported."""
    done = subprocess.run(
        [sys.executable, "-c", PROGRAM, *arguments],
        capture_output=True,
        text=True,
        timeout=60.0,
        check=False,
    )
    return done.stdout.strip()


def test_sighup_does_not_terminate_a_starting_process() -> None:
    assert _hangup_before_imports("serve", "hub") == signal.SIG_IGN.name


def test_sighup_terminates_an_operator_command() -> None:
    assert _hangup_before_imports("watch") == signal.SIG_DFL.name
