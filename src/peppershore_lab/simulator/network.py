"""The simulated network: links with delay, cuts in one direction, and resets.

A link keeps the order of its messages, as TCP does.  Messages on different links
overtake each other.  A cut is silent: what is sent meanwhile waits and arrives
late, unless the link is reset.  A process that stops answers with a close,
which a cut delays too.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from returns.result import Failure

from peppershore.connection.codec import decode_message
from peppershore.process import events
from peppershore_lab.simulator.scheduler import Scheduler

CONNECT_TIMEOUT_SECONDS = 3.0


class Endpoint(Protocol):
    """What the network needs of a process to bring something to it."""

    @property
    def name(self) -> str:
        """Name of the machine."""
        ...

    @property
    def address(self) -> str:
        """Where the process accepts links."""
        ...

    @property
    def is_running(self) -> bool:
        """Whether anything accepts links there."""
        ...

    def take(self, event: events.Event) -> None:
        """Hand an event to the process."""
        ...

    def next_accepted_link(self) -> events.LinkId:
        """Give the number of the next accepted link."""
        ...


@dataclass(slots=True)
class LinkEnd:
    """One end of a link."""

    endpoint: Endpoint
    link: events.LinkId
    is_open: bool = True


@dataclass(slots=True)
class Direction:
    """All that is under way from one end of a link to the other."""

    sender: LinkEnd
    receiver: LinkEnd
    last_arrival: float = 0.0
    held: deque[Callable[[], None]] = field(default_factory=deque)


class NetworkLink:
    """Two ends and what is under way between them."""

    def __init__(self, opener: LinkEnd, accepter: LinkEnd) -> None:
        """Join two ends."""
        self.is_broken = False
        self._directions = (Direction(opener, accepter), Direction(accepter, opener))

    def direction_from(self, endpoint: Endpoint, link: events.LinkId) -> Direction:
        """Give the direction in which this end sends."""
        first, second = self._directions
        sender = first.sender
        is_first = sender.endpoint is endpoint and sender.link == link
        return first if is_first else second

    @property
    def directions(self) -> tuple[Direction, Direction]:
        """Both directions."""
        return self._directions


class Network:
    """All links, and which machine can reach which."""

    def __init__(self, scheduler: Scheduler, randomness: Random) -> None:
        """Begin without machines, links and cuts."""
        self.one_way_seconds = 0.0015
        self.jitter_seconds = 0.001
        self.messages = 0
        self._scheduler = scheduler
        self._randomness = randomness
        self._by_address: dict[str, Endpoint] = {}
        self._links: dict[tuple[str, events.LinkId], NetworkLink] = {}
        self._cut: set[tuple[str, str]] = set()

    def add(self, endpoint: Endpoint) -> None:
        """Make an address known."""
        self._by_address[endpoint.address] = endpoint

    # --- faults ------------------------------------------------------------------

    def cut(self, sender: str, receiver: str) -> None:
        """Let nothing through from one machine to another, in silence."""
        self._cut.add((sender, receiver))

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Tell whether a direction is cut."""
        return (sender, receiver) in self._cut

    def heal(self) -> None:
        """End all cuts; what waited arrives."""
        self._cut.clear()
        for link in self._all_links():
            for direction in link.directions:
                self._release(link, direction)

    def heal_between(self, first: str, second: str) -> None:
        """End the cuts between two machines; what waited arrives."""
        self._cut -= {(first, second), (second, first)}
        for link in self._all_links():
            for direction in link.directions:
                names = {direction.sender.endpoint.name, direction.receiver.endpoint.name}
                if names == {first, second}:
                    self._release(link, direction)

    def reset_random_link(self) -> None:
        """Break one link: both ends hear of it, what is under way is lost."""
        links = [link for link in self._all_links() if not link.is_broken]
        if links:
            self._break(self._randomness.choice(links), "reset")

    def process_gone(self, endpoint: Endpoint) -> None:
        """A process ended: its peers hear of it, if they can be reached."""
        for key in [key for key in self._links if key[0] == endpoint.name]:
            link = self._links.pop(key)
            direction = link.direction_from(endpoint, key[1])
            direction.sender.is_open = False
            self._send_close(link, direction, "reset by peer")

    # --- what processes ask for ---------------------------------------------------

    def open(self, opener: Endpoint, link: events.LinkId, address: str) -> None:
        """Connect; the opener hears LinkOpened or LinkClosed."""
        target = self._by_address[address]
        end = LinkEnd(opener, link)
        pending = NetworkLink(end, LinkEnd(target, 0, is_open=False))
        self._links[(opener.name, link)] = pending
        if self.is_cut(opener.name, target.name) or self.is_cut(target.name, opener.name):
            wait = CONNECT_TIMEOUT_SECONDS
            self._later(wait, lambda: self._close_end(end, "connect timeout"))
            return
        self._later(self._delay(), lambda: self._arrive(end, target))

    def close(self, endpoint: Endpoint, link: events.LinkId) -> None:
        """Close one end; the peer hears of it after all that was sent before."""
        found = self._links.pop((endpoint.name, link), None)
        if found is None:
            return
        direction = found.direction_from(endpoint, link)
        direction.sender.is_open = False
        self._send_close(found, direction, "closed by peer")

    def send(self, endpoint: Endpoint, link: events.LinkId, payload: bytes) -> None:
        """Send one encoded message; a link that is gone swallows it."""
        found = self._links.get((endpoint.name, link))
        if found is None or found.is_broken:
            return
        self.messages += 1
        direction = found.direction_from(endpoint, link)
        self._put_under_way(found, direction, lambda: self._hand_over(direction, payload))

    # --- inside --------------------------------------------------------------------

    def _arrive(self, end: LinkEnd, target: Endpoint) -> None:
        if not end.is_open:
            return
        if not target.is_running:
            self._later(self._delay(), lambda: self._close_end(end, "connection refused"))
            return
        accepted = LinkEnd(target, target.next_accepted_link())
        link = NetworkLink(end, accepted)
        self._links[(end.endpoint.name, end.link)] = link
        self._links[(target.name, accepted.link)] = link
        target.take(events.LinkOpened(accepted.link, end.endpoint.address))
        back = link.direction_from(target, accepted.link)
        self._put_under_way(link, back, lambda: self._opened(end, target))

    def _opened(self, end: LinkEnd, target: Endpoint) -> None:
        if end.is_open:
            end.endpoint.take(events.LinkOpened(end.link, target.address))

    def _hand_over(self, direction: Direction, payload: bytes) -> None:
        receiver = direction.receiver
        if not receiver.is_open:
            return
        decoded = decode_message(payload)
        assert not isinstance(decoded, Failure), f"undecodable: {decoded.failure()}"
        message = decoded.unwrap()
        receiver.endpoint.take(events.MessageReceived(receiver.link, message))

    def _send_close(self, link: NetworkLink, direction: Direction, reason: str) -> None:
        if not link.is_broken:
            self._put_under_way(
                link, direction, lambda: self._close_end(direction.receiver, reason)
            )

    def _close_end(self, end: LinkEnd, reason: str) -> None:
        """Tell an end that its link is gone, unless it closed or died before.

        A process that started anew may use the same link number again.
        """
        if not end.is_open:
            return
        end.is_open = False
        self._links.pop((end.endpoint.name, end.link), None)
        end.endpoint.take(events.LinkClosed(end.link, reason))

    def _break(self, link: NetworkLink, reason: str) -> None:
        link.is_broken = True
        for direction in link.directions:
            direction.held.clear()
            self._close_end(direction.receiver, reason)

    def _put_under_way(
        self, link: NetworkLink, direction: Direction, arrive: Callable[[], None]
    ) -> None:
        arrival = max(self._scheduler.now + self._delay(), direction.last_arrival)
        direction.last_arrival = arrival
        wait = arrival - self._scheduler.now
        self._later(wait, lambda: self._reach(link, direction, arrive))

    def _reach(
        self, link: NetworkLink, direction: Direction, arrive: Callable[[], None]
    ) -> None:
        if link.is_broken:
            return
        names = (direction.sender.endpoint.name, direction.receiver.endpoint.name)
        if direction.held or names in self._cut:
            direction.held.append(arrive)
            return
        arrive()

    def _release(self, link: NetworkLink, direction: Direction) -> None:
        """Let in what waited, before anything that is still under way."""
        names = (direction.sender.endpoint.name, direction.receiver.endpoint.name)
        while direction.held and names not in self._cut and not link.is_broken:
            arrive = direction.held.popleft()
            arrive()

    def _all_links(self) -> list[NetworkLink]:
        unique = {id(link): link for link in self._links.values()}
        return list(unique.values())

    def _delay(self) -> float:
        return self.one_way_seconds + self._randomness.random() * self.jitter_seconds

    def _later(self, seconds: float, action: Callable[[], None]) -> None:
        self._scheduler.after(seconds, action)
