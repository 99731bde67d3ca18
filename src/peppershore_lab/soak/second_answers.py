"""Second answers on one connection of a back end: copies of earlier answers, or parts."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from random import Random

import msgspec

from peppershore_lab.http_server import HttpAnswer
from peppershore_lab.soak import settings
from peppershore_lab.soak.observations import Record, SecondAnswerSent, SecondPlace

SECOND_SHARE = 0.5
"""Share of the answers after which a second one is sent on their connection."""

UNFRAMED_SECOND_SHARE = 0.5
"""The same of answers without a length; the second one comes before the close."""

NEWEST_SHARE = 0.7
"""Share of the second answers that are copies of the last answer of their connection."""

WHOLE_SHARE = 0.25
"""Share of the second answers that are whole. As many of the others end in the status line
as in a field and as in the body."""

MAX_EARLIER_ANSWERS = 4
LONGEST_IDLE_SECONDS = 0.06
PAUSE_SHARE = 0.5
LONGEST_PAUSE_SECONDS = 0.005
"""Share of the second answers with a pause between them and the bytes beside them, so that
they may come in a read of their own; its upper bound."""

PLACES: tuple[SecondPlace, ...] = ("behind", "idle", "before-next")
END_OF_LINE, END_OF_HEAD = b"\r\n", b"\r\n\r\n"


class _Sent(msgspec.Struct, frozen=True):
    """An answer as it was sent, and the request it belongs to."""

    request: str
    data: bytes


class SecondAnswers:
    """Writes the answers of one connection, and second answers beside them."""

    def __init__(
        self, writer: asyncio.StreamWriter, node: str, record: Record, random: Random
    ) -> None:
        """Bind the connection of the back end beside ``node``."""
        self._writer = writer
        self._node = node
        self._record = record
        self._random = random
        self._earlier: deque[_Sent] = deque(maxlen=MAX_EARLIER_ANSWERS)
        self._is_due = False
        self._late: set[asyncio.Task[None]] = set()

    def close(self) -> None:
        """Send nothing any more."""
        for task in self._late:
            task.cancel()

    async def send(self, answer: HttpAnswer, data: bytes, twice: bool) -> None:
        """Write an answer; with ``twice``, a second one may come before or after it."""
        if self._is_due:
            self._is_due = False
            self._write_second("before-next")
            await self._pause()
        name = dict(answer.headers).get(settings.REQUEST_ID, "")
        # Written at once: the end of the connection would hide that a part is missing.
        self._writer.write(data)
        self._earlier.append(_Sent(name, data))
        if twice:
            await self._follow(answer)
        await self._writer.drain()

    async def _follow(self, answer: HttpAnswer) -> None:
        """Send or plan a second answer after one that was written, or neither."""
        if answer.unframed:
            if self._random.random() < UNFRAMED_SECOND_SHARE:
                await self._pause()
                self._write_second("before-close")
            return
        if self._random.random() >= SECOND_SHARE:
            return
        place = self._random.choice(PLACES)
        if place == "behind":
            self._write_second(place)
        elif place == "before-next":
            self._is_due = True
        else:
            task = asyncio.create_task(self._write_while_idle())
            self._late.add(task)
            task.add_done_callback(self._late.discard)

    async def _write_while_idle(self) -> None:
        await asyncio.sleep(self._random.uniform(0.0, LONGEST_IDLE_SECONDS))
        self._write_second("idle")

    async def _pause(self) -> None:
        if self._random.random() < PAUSE_SHARE:
            await asyncio.sleep(self._random.uniform(0.0, LONGEST_PAUSE_SECONDS))

    def _write_second(self, place: SecondPlace) -> None:
        """Write a copy of an earlier answer of this connection, or its beginning."""
        if self._writer.is_closing():
            return
        random = self._random
        is_newest = random.random() < NEWEST_SHARE
        earlier = self._earlier[-1] if is_newest else random.choice(self._earlier)
        whole = random.random() < WHOLE_SHARE
        data = earlier.data if whole else self._cut(earlier.data, place)
        sent = SecondAnswerSent(
            request=earlier.request,
            after=self._earlier[-1].request,
            node=self._node,
            at=time.monotonic(),
            place=place,
            whole=whole,
        )
        self._record.second_answers.append(sent)
        self._writer.write(data)

    def _cut(self, data: bytes, place: SecondPlace) -> bytes:
        """Return the beginning of an answer, up to a byte of its head or its body.

        Behind a body without a length, less than a status line can't be told from more of
        that body.
        """
        line = data.index(END_OF_LINE) + len(END_OF_LINE)
        head = data.index(END_OF_HEAD) + len(END_OF_HEAD)
        parts = [(1, line), (line, head), (head, len(data))]
        first = 1 if place == "before-close" else 0
        last = len(parts) if head < len(data) else len(parts) - 1
        begin, end = self._random.choice(parts[first:last])
        return data[: self._random.randrange(begin, end)]
