"""One operating-system process that a fleet started and will stop, by its pid."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import os
import signal
import subprocess
from pathlib import Path

STOP_SECONDS = 5.0
_PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None, use_errno=True)


def _die_with_parent() -> None:
    """Ask the kernel to end this process when the fleet's own process dies."""
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class ManagedProcess:
    """A process with its log file; may be killed, frozen and started again."""

    def __init__(self, name: str, arguments: tuple[str, ...], log_path: Path) -> None:
        """Describe the process; ``start`` starts it."""
        self.name = name
        self.arguments = arguments
        self.log_path = log_path
        self.starts = 0
        self._process: subprocess.Popen[bytes] | None = None
        self._frozen = False

    @property
    def pid(self) -> int:
        """The process id; the process must have been started."""
        assert self._process is not None, f"{self.name} was never started"
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether the process exists now (also when frozen)."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_status(self) -> int | None:
        """Its exit status; None while it runs or before it was started."""
        return None if self._process is None else self._process.poll()

    def start(self) -> None:
        """Start it; output is appended to the log file."""
        assert not self.running, f"{self.name} already runs"
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                self.arguments,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
                preexec_fn=_die_with_parent,  # noqa: PLW1509 - no threads here
            )
        self.starts += 1
        self._frozen = False

    def kill(self) -> None:
        """End it at once (SIGKILL) and reap it."""
        self._signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def ask_to_stop(self) -> None:
        """Ask for a planned stop (SIGTERM); a frozen process is continued first."""
        if self._frozen:
            self.unfreeze()
        self._signal(signal.SIGTERM)

    def freeze(self) -> None:
        """Stop it silently (SIGSTOP): its links stay open and say nothing."""
        self._signal(signal.SIGSTOP)
        self._frozen = True

    def unfreeze(self) -> None:
        """Let a frozen process go on."""
        self._signal(signal.SIGCONT)
        self._frozen = False

    def wait_or_kill(self, seconds: float = STOP_SECONDS) -> None:
        """Wait for its end; kill it when that takes longer than ``seconds``."""
        if self._process is None:
            return
        try:
            self._process.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()

    async def ended(self) -> None:
        """Wait until the process ends by itself."""
        if not self.running:
            return
        loop = asyncio.get_running_loop()
        end = asyncio.Event()
        descriptor = os.pidfd_open(self.pid)
        loop.add_reader(descriptor, end.set)
        try:
            await end.wait()
        finally:
            loop.remove_reader(descriptor)
            os.close(descriptor)

    def _signal(self, number: signal.Signals) -> None:
        if self.running:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.pid, number)
