"""The newest steps of a run, kept to be shown when a promise breaks."""

from __future__ import annotations

from collections import deque

from peppershore.process import commands, events

TEXT_CHARACTERS = 150


class TraceStep:
    """One step of one process."""

    __slots__ = ("event", "out", "process", "time")

    def __init__(
        self, time: float, process: str, event: object, out: list[commands.Command]
    ) -> None:
        """Keep references; texts are made only when asked for."""
        self.time = time
        self.process = process
        self.event = event
        self.out = out

    def __str__(self) -> str:
        """Give one line for the event and one for each thing sent or reported."""
        lines = [f"{self.time:10.4f}  {self.process:<6} {_shorten(self.event)}"]
        for command in self.out:
            if not isinstance(command, commands.SetTimer):
                lines.append(f"{'':18} -> {_shorten(command)}")
        return "\n".join(lines)


class TraceTail:
    """The last steps of a run."""

    def __init__(self, length: int) -> None:
        """Keep ``length`` steps."""
        self._steps: deque[TraceStep] = deque(maxlen=length)

    def add(
        self, time: float, process: str, event: events.Event, out: list[commands.Command]
    ) -> None:
        """Note one step."""
        self._steps.append(TraceStep(time, process, event, out))

    def note(self, time: float, text: str) -> None:
        """Note what the faults did."""
        self._steps.append(TraceStep(time, "FAULT", text, []))

    def lines(self) -> list[str]:
        """Give the steps as texts, oldest first."""
        return [str(step) for step in self._steps]


def _shorten(value: object) -> str:
    text = repr(value)
    return text if len(text) <= TEXT_CHARACTERS else text[:TEXT_CHARACTERS] + "..."
