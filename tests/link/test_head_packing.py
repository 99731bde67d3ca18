"""Heads on one link are compressed as a stream; garbage in it closes the link only."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure

from peppershore.connection.call_link import CallLink
from peppershore.connection.codec import encode_message
from peppershore.connection.head_packing import (
    MAX_UNPACKED_BYTES,
    HeadPacker,
    HeadUnpacker,
    is_worth_it,
)
from peppershore.connection.link import Link, LinkListener, open_link
from peppershore.connection.messages.base import Message
from peppershore.connection.messages.calls import CallPacked, CallStarted


def head(number: int) -> CallStarted:
    return CallStarted(
        stream=number,
        method=b"GET",
        target=b"/refunds/%d" % number,
        headers=[
            (b"host", b"refunds.example"),
            (b"x-some-attempt-id", b"%016x" % (number * 7_919_777_773)),
            (b"x-some-calling-service", b"kassa"),
        ],
        content_length=0,
        call_class="normal",
        repeatable=True,
        cancellable=True,
        deadline_milliseconds=4_000,
        data=b"",
        ended=True,
        trailers=[],
        service="kassa",
        route="read",
    )


def test_a_head_takes_less_than_half_from_the_second_on() -> None:
    packer = HeadPacker()
    sizes = [len(packer.pack(encode_message(head(number)))) for number in range(1, 20)]
    assert max(sizes[1:]) < len(encode_message(head(1))) / 2


@given(st.lists(st.binary(max_size=2_000), max_size=20))
def test_whatever_is_packed_comes_out_in_order(payloads: list[bytes]) -> None:
    packer, unpacker = HeadPacker(), HeadUnpacker()
    for payload in payloads:
        assert unpacker.unpack(packer.pack(payload)).unwrap() == payload


@given(st.binary(min_size=1, max_size=300))
def test_garbage_is_an_outcome(packed: bytes) -> None:
    HeadUnpacker().unpack(packed)


def test_a_chunk_that_unpacks_to_too_much_is_refused() -> None:
    packed = HeadPacker().pack(b"x" * (2 * MAX_UNPACKED_BYTES))
    assert isinstance(HeadUnpacker().unpack(packed), Failure)


@pytest.mark.parametrize(
    ("link_megabits", "worth"), [(0.0, False), (1.0, True), (20.0, True), (1_000.0, False)]
)
def test_heads_are_packed_on_narrow_links_only(link_megabits: float, worth: bool) -> None:
    assert is_worth_it(link_megabits) == worth


async def connected_links(
    packs: bool,
) -> tuple[CallLink, list[Message], list[str], LinkListener]:
    """Return a link, the messages its other end receives, why that end closes, and the
    listener."""
    received: list[Message] = []
    close_reasons: list[str] = []

    def accepted(link: Link) -> None:
        other = CallLink(
            link,
            lambda _, started: received.append(started),
            lambda _, message: received.append(message),
            lambda _, reason: close_reasons.append(reason),
            lambda *_: True,
        )
        asyncio.get_running_loop().call_soon(other.start)

    listener = LinkListener(accepted, None)
    port = await listener.start("127.0.0.1", 0)
    opened = await open_link(f"127.0.0.1:{port}", None)
    assert isinstance(opened, Link)
    link = CallLink(
        opened,
        lambda *_: None,
        lambda *_: None,
        lambda *_: None,
        lambda *_: True,
        packs_heads=packs,
    )
    link.start()
    return link, received, close_reasons, listener


@pytest.mark.parametrize("packs", [False, True])
def test_the_other_end_reads_heads_packed_or_not(packs: bool) -> None:
    async def scene() -> None:
        link, received, _, listener = await connected_links(packs)
        sent = [head(number) for number in range(1, 30)]
        for each in sent:
            assert link.send(each)
        async with asyncio.timeout(20):
            while len(received) < len(sent):  # noqa: ASYNC110
                await asyncio.sleep(0.002)
        assert received == sent
        link.close()
        await listener.close()

    asyncio.run(scene())


def _packed_twice() -> bytes:
    inner = encode_message(CallPacked(HeadPacker().pack(encode_message(head(1)))))
    return HeadPacker().pack(inner)


@pytest.mark.parametrize("packed", [b"\xff" * 40, _packed_twice()])
def test_an_invalid_chunk_closes_the_link(packed: bytes) -> None:
    async def scene() -> None:
        link, received, close_reasons, listener = await connected_links(packs=False)
        link.send(CallPacked(packed))
        async with asyncio.timeout(20):
            while not close_reasons:  # noqa: ASYNC110
                await asyncio.sleep(0.002)
        assert received == []
        link.close()
        await listener.close()

    asyncio.run(scene())
