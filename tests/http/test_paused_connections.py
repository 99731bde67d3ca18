"""A connection to a back end whose reading was paused when its answer ended.

Guards against a pooled connection that is never read again: the next request on it waited
until its deadline, though the back end had answered at once.
"""

from __future__ import annotations

import asyncio

from tests.data_plane.scripted_backend import ScriptedBackend, answer_ok
from tests.data_plane.stage import run

from peppershore.connection.http_client import ClientConnection
from peppershore.connection.http_head import AnswerHead, HeaderList, RequestHead
from peppershore.connection.http_pool import ConnectionPool

ANSWER_SECONDS = 5.0
"""Only catches an answer that never comes."""


class PausingSink:
    """Pauses reading at the first bytes of the body, as a slow reader does."""

    def __init__(self, connection: ClientConnection) -> None:
        self.ended = asyncio.Event()
        self._connection = connection

    def answer_head(self, head: AnswerHead) -> None:
        pass

    def answer_data(self, data: bytes) -> None:
        self._connection.pause_reading()

    def answer_batch_ended(self) -> None:
        pass

    def answer_ended(self, trailers: HeaderList) -> None:
        self.ended.set()

    def attempt_failed(self, reason: str) -> None:
        raise AssertionError(reason)

    def sending_paused(self) -> None:
        pass

    def sending_resumed(self) -> None:
        pass


async def connected(pool: ConnectionPool) -> ClientConnection:
    outcome: asyncio.Future[ClientConnection | str] = asyncio.Future()
    pool.connect(outcome.set_result)
    connection = await outcome
    assert isinstance(connection, ClientConnection)
    return connection


async def exchange(pool: ConnectionPool, connection: ClientConnection) -> None:
    sink = PausingSink(connection)
    head = RequestHead(method=b"GET", target=b"/", headers=[], content_length=0)
    assert connection.begin(head, [(b"host", b"kassa")], sink, pool.give_back)
    connection.send_end([])
    connection.flush()
    async with asyncio.timeout(ANSWER_SECONDS):
        await sink.ended.wait()


def test_the_next_answer_on_a_connection_is_read() -> None:
    async def scene() -> None:
        back_end = ScriptedBackend(answer_ok)
        pool = ConnectionPool(await back_end.start(), 1)
        await exchange(pool, await connected(pool))
        again = pool.take()
        assert again is not None
        await exchange(pool, again)
        assert back_end.connections == 1
        pool.close()
        back_end.stop()

    run(scene())
