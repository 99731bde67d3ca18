"""Emulated links: whole delivery, duplicates, silent cuts in one direction."""

import asyncio
import random

import pytest

from peppershore.connection.codec import encode_message
from peppershore.connection.framing import FrameReader, encode_frame
from peppershore.connection.messages.consensus import ReplicaHello
from peppershore_lab.fleet.addresses import AddressBlock
from peppershore_lab.fleet.deployment import REFUND_NETWORK
from peppershore_lab.fleet.plan import lay_out
from peppershore_lab.links.emulator import EmulatedLink, SharedAddress
from peppershore_lab.links.model import (
    Direction,
    DirectionChange,
    LinksChange,
    LinkSpec,
    matches,
)
from peppershore_lab.links.table import LinkTable


class Peer:
    """The target of a link: collects frames and echoes them."""

    def __init__(self):
        self.received = asyncio.Queue()

    async def start(self):
        server = await asyncio.start_server(self.accepted, "127.0.0.1", 0)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def accepted(self, reader, writer):
        frames = FrameReader()
        while data := await reader.read(1_000):
            for payload in frames.feed(data).unwrap():
                self.received.put_nowait(payload)
                writer.write(encode_frame(payload))


async def open_through(link):
    server = await link.start()
    host, port = server.sockets[0].getsockname()
    return await asyncio.open_connection(host, port)


def link_to(target, **directions):
    spec = LinkSpec(name="a>b", listen="127.0.0.1:0", target=target, **directions)
    return EmulatedLink(spec, random.Random(1))


def test_frames_pass_whole_and_a_duplicating_link_delivers_them_twice():
    async def scenario():
        peer = Peer()
        link = link_to(await peer.start(), to_target=Direction(duplicate_share=1.0))
        _, writer = await open_through(link)
        large = bytes(300_000)
        writer.write(encode_frame(b"one") + encode_frame(large))
        received = [await peer.received.get() for _ in range(4)]
        writer.close()
        return received == [b"one", b"one", large, large]

    assert asyncio.run(scenario())


def test_a_frame_that_comes_in_pieces_passes_whole():
    async def scenario():
        peer = Peer()
        _, writer = await open_through(link_to(await peer.start()))
        frame = encode_frame(b"in pieces")
        for place in range(len(frame)):
            writer.write(frame[place : place + 1])
            await writer.drain()
            for _ in range(20):
                await asyncio.sleep(0)
        writer.write(encode_frame(b"next"))
        return [await peer.received.get() for _ in range(2)]

    assert asyncio.run(scenario()) == [b"in pieces", b"next"]


def test_a_cut_holds_one_direction_in_silence_until_it_is_healed():
    async def scenario():
        peer = Peer()
        link = link_to(await peer.start())
        reader, writer = await open_through(link)
        cut = DirectionChange(cut=True)
        link.change(LinksChange(names=("a>b",), to_source=cut))
        writer.write(encode_frame(b"one"))
        assert await peer.received.get() == b"one"
        answer = asyncio.ensure_future(reader.read(1_000))
        for _ in range(50):
            await asyncio.sleep(0)
        assert not answer.done()
        healed = DirectionChange(cut=False)
        link.change(LinksChange(names=("a>b",), to_source=healed))
        held = await answer
        writer.close()
        return held

    assert asyncio.run(scenario()) == encode_frame(b"one")


def test_a_reset_breaks_open_connections():
    async def scenario():
        peer = Peer()
        link = link_to(await peer.start())
        reader, writer = await open_through(link)
        writer.write(encode_frame(b"one"))
        await peer.received.get()
        await reader.read(1_000)
        link.change(LinksChange(names=("a>b",), reset=True))
        with pytest.raises(ConnectionResetError):
            if await reader.read(1_000) == b"":
                raise ConnectionResetError

    asyncio.run(scenario())


def test_patterns_name_links():
    assert matches("relay-1>control-2", ("*>control-2",))
    assert not matches("control-2>control-1", ("*>control-2", "relay-*"))


def test_links_between_zones_are_emulated_with_their_delay():
    block = AddressBlock()
    layout = lay_out(REFUND_NETWORK, block)
    table = LinkTable(layout, block.next_host())
    block.close()
    near, far = layout.relays[0], layout.relays[1]
    replica = layout.replicas[0]
    assert table.address(near, replica) == replica.link_address
    assert table.address(far, replica) != replica.link_address
    names = {spec.name: spec for spec in table.specs}
    assert names["relay-lansisatama-1>control-1"].to_target.delay_milliseconds == 1.5
    own = [spec for spec in table.specs if not spec.by_hello]
    assert len({spec.listen for spec in own}) == len(own)
    assert not {spec.listen for spec in own} & {
        spec.listen for spec in table.specs if spec.by_hello
    }


def test_members_of_a_group_know_a_member_by_one_address():
    block = AddressBlock()
    layout = lay_out(REFUND_NETWORK, block)
    table = LinkTable(layout, block.next_host())
    block.close()
    for group in (layout.replicas, layout.claims):
        for target in group:
            assert len({table.address(source, target) for source in group}) == 1
        assert len({table.address(group[0], target) for target in group}) == len(group)


def test_links_that_share_an_address_are_told_apart_by_the_first_message():
    async def scenario():
        peer = Peer()
        target = await peer.start()
        specs = [
            LinkSpec(name=f"{source}>c", listen="127.0.0.1:0", target=target, by_hello=True)
            for source in ("a", "b")
        ]
        links = [EmulatedLink(spec, random.Random(1)) for spec in specs]
        server = await SharedAddress(links, random.Random(1)).start()
        host, port = server.sockets[0].getsockname()
        links[0].change(LinksChange(names=("a>c",), to_target=DirectionChange(cut=True)))
        hellos = [encode_message(ReplicaHello("g", name, 1, 1)) for name in ("a", "b")]
        for hello in hellos:
            _, writer = await asyncio.open_connection(host, port)
            writer.write(encode_frame(hello))
        only_b = await peer.received.get()
        for _ in range(50):
            await asyncio.sleep(0)
        waiting = peer.received.empty()
        links[0].change(LinksChange(names=("a>c",), to_target=DirectionChange(cut=False)))
        return only_b == hellos[1] and waiting and await peer.received.get() == hellos[0]

    assert asyncio.run(scenario())
