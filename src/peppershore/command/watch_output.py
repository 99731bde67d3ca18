"""Output of a watch: a text line for each change, or a JSON object for each answer."""

from __future__ import annotations

import sys

import click

from peppershore.command.output import show_json
from peppershore.command.watching import WatchResult, WatchStep
from peppershore.connection.messages.operators import RelayStatus, StatusAnswered
from peppershore.connection.messages.relay import LaggingNode
from peppershore.process.status_remarks import is_silent
from peppershore.version.model import Version


class WatchLines:
    """Conversion of a watch's answers into lines with what changed since the last one."""

    def __init__(self, target: Version = 0) -> None:
        """Watch for version ``target``; 0 stands for the newest version of each answer."""
        self._given = target
        self._target = target
        self._in_force: Version | None = None
        self._relays: dict[str, str] = {}
        self._waiting: dict[str, LaggingNode] = {}

    def new_lines(self, step: WatchStep) -> list[str]:
        """Return the lines for what an answer changes."""
        status = step.status
        lines: list[str] = []
        self._target = self._given or status.version
        if status.in_force != self._in_force:
            self._in_force = status.in_force
            lines.append(f"in force {status.in_force} of {self._target}")
        for name in status.relays_awaited:
            text = f"heard by other relays, has not reported to {status.replica}"
            lines += self._changed(name, text)
        for relay in status.relays:
            lines += self._relay_lines(relay)
        lines += self._node_lines(status)
        return [f"{step.elapsed_milliseconds:>6} ms  {line}" for line in lines]

    def _relay_lines(self, relay: RelayStatus) -> list[str]:
        if is_silent(relay):
            text = "no report for some seconds; it counts until it is forgotten"
        elif relay.in_force >= self._target:
            text = f"all its {relay.nodes} nodes hold {self._target}"
        elif not relay.settled:
            text = "started a moment ago and may not know all its nodes"
        elif relay.version < self._target:
            text = f"the relay is at {relay.version}"
        else:
            text = f"its nodes are at {relay.in_force} or above"
        return self._changed(f"{relay.relay} ({relay.zone})", text)

    def _changed(self, relay: str, text: str) -> list[str]:
        """Return a line, or none if the relay's last line had the same text."""
        if self._relays.get(relay) == text:
            return []
        self._relays[relay] = text
        return [f"{relay}: {text}"]

    def _node_lines(self, status: StatusAnswered) -> list[str]:
        lagging = {node.node: node for relay in status.relays for node in relay.lagging}
        lines: list[str] = []
        for name, node in lagging.items():
            before = self._waiting.get(name)
            if before is None or before.reason != node.reason:
                lines.append(f"  {name} holds {node.version}: {node.reason}")
        for name in self._waiting.keys() - lagging.keys():
            lines.append(f"  {name} lags no more")
        self._waiting = lagging
        return lines


class WatchOutput:
    """Output of the answers of a watch as they arrive."""

    def __init__(self, as_json: bool, target: Version = 0) -> None:
        """Watch for version ``target``; 0 stands for the newest version of each answer."""
        self._as_json = as_json
        self._lines = WatchLines(target)

    def step(self, step: WatchStep) -> None:
        """Show one answer and flush the output."""
        if self._as_json:
            show_json(step)
        else:
            for line in self._lines.new_lines(step):
                click.echo(line)
        sys.stdout.flush()

    def result(self, result: WatchResult) -> None:
        """Show how a version came into force."""
        if self._as_json:
            show_json({"in_force": result})
        else:
            click.echo(
                f"version {result.version} is in force on {result.nodes} nodes after "
                f"{result.convergence_milliseconds} ms; "
                f"{result.control_bytes} control bytes were sent"
            )
        sys.stdout.flush()
