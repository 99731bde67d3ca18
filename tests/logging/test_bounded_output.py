"""Log lines on standard output are bounded and never block on their reader.

Guards against a process that stalls, or whose memory grows, because the reader of its log
has stopped reading.
"""

from __future__ import annotations

import json
import os
from collections.abc import Iterator

import pytest

from peppershore.process.log_output import BoundedOutput, LineBudget

BOUND = 64 * 1024
PIPE_BYTES = 1024 * 1024


class Pipe:
    """A pipe that is read only when the test calls ``read``."""

    def __init__(self) -> None:
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)

    def read(self) -> bytes:
        found = b""
        while True:
            try:
                data = os.read(self.reader, PIPE_BYTES)
            except BlockingIOError:
                return found
            if not data:
                return found
            found += data

    def close(self) -> None:
        for descriptor in (self.reader, self.writer):
            if descriptor >= 0:
                os.close(descriptor)

    def close_reader(self) -> None:
        os.close(self.reader)
        self.reader = -1


@pytest.fixture
def pipe() -> Iterator[Pipe]:
    made = Pipe()
    yield made
    made.close()


def line(number: int, kind: str) -> str:
    return json.dumps({"event": kind, "number": number, "pad": "x" * 200})


def drain(pipe: Pipe, output: BoundedOutput) -> list[dict[str, object]]:
    """Read and parse all lines until the output has none queued."""
    data = pipe.read()
    while output.waiting_bytes:
        output.pump()
        data += pipe.read()
    return [json.loads(text) for text in data.splitlines()]


def test_lines_come_whole_and_in_order(pipe: Pipe) -> None:
    output = BoundedOutput(pipe.writer, BOUND)
    for number in range(20):
        output.write(line(number, "event"), is_call=False)
    assert [entry["number"] for entry in drain(pipe, output)] == list(range(20))


def test_stalled_reader_costs_bounded_memory(pipe: Pipe) -> None:
    output = BoundedOutput(pipe.writer, BOUND)
    for number in range(5_000):
        output.write(line(number, "call"), is_call=True)
        assert output.waiting_bytes <= BOUND + len(line(number, "call")) + 1
    assert output.dropped.calls > 0


def test_lines_of_calls_are_dropped_before_others(pipe: Pipe) -> None:
    output = BoundedOutput(pipe.writer, BOUND)
    others = 100
    for number in range(5_000):
        output.write(line(number, "call"), is_call=True)
        if number % 50 == 0:
            output.write(line(number, "state"), is_call=False)
    entries = drain(pipe, output)
    assert sum(entry["event"] == "state" for entry in entries) == others
    assert output.dropped.others == 0


def test_number_of_dropped_lines_is_reported_and_adds_up(pipe: Pipe) -> None:
    output = BoundedOutput(pipe.writer, BOUND)
    for number in range(5_000):
        output.write(line(number, "call"), is_call=True)
    entries = drain(pipe, output)
    missing = [entry for entry in entries if entry["event"] == "log_lines_dropped"]
    written = [entry for entry in entries if entry["event"] == "call"]
    assert missing
    reported = sum(int(str(entry["calls"])) for entry in missing)
    assert reported + len(written) == 5_000


def test_others_alone_are_bounded_too_and_the_newest_stay(pipe: Pipe) -> None:
    output = BoundedOutput(pipe.writer, BOUND)
    for number in range(5_000):
        output.write(line(number, "state"), is_call=False)
    assert output.waiting_bytes <= BOUND + 4_096
    assert drain(pipe, output)[-1]["number"] == 4_999


def test_lines_for_a_closed_reader_are_discarded(pipe: Pipe) -> None:
    output = BoundedOutput(pipe.writer, BOUND)
    pipe.close_reader()
    output.write(line(1, "state"), is_call=False)
    assert output.waiting_bytes == 0


def test_budget_lets_a_burst_through_and_then_its_rate() -> None:
    budget = LineBudget(per_second=10, burst=3)
    assert [budget.take(100.0) for _ in range(5)] == [True, True, True, False, False]
    assert [budget.take(100.125) for _ in range(2)] == [True, False]


def test_budget_does_not_save_up_more_than_the_burst() -> None:
    budget = LineBudget(per_second=10, burst=3)
    assert budget.take(100.0)
    assert [budget.take(1_000.0) for _ in range(4)] == [True, True, True, False]
