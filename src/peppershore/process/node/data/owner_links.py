"""Call links to owners (the nodes co-located with back ends), opened on demand."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable

import msgspec

from peppershore.connection.call_link import CallLink
from peppershore.connection.link import open_link
from peppershore.connection.messages.base import Message
from peppershore.connection.messages.calls import (
    BackEndNeed,
    BackEndNeedSeen,
    CallLinkAlive,
    CallLinkHello,
    CallLinkProbe,
    OwnerLoad,
    SlotsLent,
    SlotsReturned,
)
from peppershore.process.node.data.link_attempt import LinkAttempt
from peppershore.process.node.data.link_guard import LinkGuard
from peppershore.request.back_ends.recent_calls import WINDOW_SECONDS, RecentCalls
from peppershore.request.slot_loans import Borrower

HANDSHAKE_TIMEOUT_SECONDS = 1.0
"""An owner that accepts a link and sends nothing for this long is considered lost."""

PROBE_TIMEOUT_SECONDS = 2.0
"""An owner that does not answer a probe for this long, with calls on its link, is
considered lost: the outcome of the calls sent to it is unknown, and it is sent no more."""


LoadSink = Callable[[str, OwnerLoad, str], None]
"""Receives the load that an owner reports: the owner's address, the load, and the route of
the call with which it came."""


class _Owner:
    """One owner: its link if open, attempts that wait for it, borrowed slots, sent calls.

    ``last_received`` is the link's count of received messages at the last liveness check;
    ``probed_at`` is the time of the unanswered probe since then, or None.
    """

    __slots__ = (
        "borrower",
        "calls",
        "last_received",
        "link",
        "opening",
        "probed_at",
        "waiting",
    )

    def __init__(self) -> None:
        self.last_received = 0
        self.probed_at: float | None = None
        self.link: CallLink | None = None
        self.opening: asyncio.Task[None] | None = None
        self.waiting: list[LinkAttempt] = []
        self.borrower = Borrower()
        self.calls = RecentCalls()


class OwnerLinks:
    """All links of this node to owners, by the owner's address."""

    def __init__(
        self,
        hello: CallLinkHello,
        tls: ssl.SSLContext | None,
        guard: LinkGuard,
        *,
        packs_heads: bool = False,
    ) -> None:
        """Start without links.

        ``hello`` identifies this node to owners; ``guard`` authorizes their messages.
        ``packs_heads`` is passed on to ``CallLink``.
        """
        self._packs_heads = packs_heads
        self._guard = guard
        self.on_load: LoadSink = lambda address, load, route: None
        self.on_allowance: Callable[[str, int], None] = lambda address, connections: None
        self._hello = hello
        self._tls = tls
        self._owners: dict[str, _Owner] = {}
        self._closed = False

    def when_open(self, address: str, attempt: LinkAttempt) -> None:
        """Pass ``attempt`` the link to the owner: at once if it is open, else later."""
        owner = self._owner(address)
        if owner.link is not None and owner.link.alive:
            attempt.link_open(owner.link)
            return
        owner.waiting.append(attempt)
        self._open(address, owner)

    def load_reported(self, address: str, load: OwnerLoad, route: str) -> None:
        """Process the load that an owner reported with a call of this route."""
        self.on_load(address, load, route)

    def borrow(self, address: str, now: float) -> bool:
        """Take one of the slots that the owner lent; report whether one was free.

        More slots are requested from the owner if they are needed.
        """
        owner = self._owner(address)
        taken = owner.borrower.take(now)
        self._request_slots(address, owner, now)
        return taken

    def give_back(self, address: str) -> None:
        """Release a slot taken by ``borrow``.

        If the loan had shrunk below the slots in use, this confirms to the owner how many
        are still in use.
        """
        owner = self._owner(address)
        kept = owner.borrower.give_back()
        self.on_allowance(address, self.allowance(address))
        if kept is not None and owner.link is not None:
            owner.link.send(SlotsReturned(owner.borrower.number, kept))

    def call_sent(self, address: str) -> None:
        """Count a call that is sent to an owner's back end, through the owner or not."""
        self._owner(address).calls.add(asyncio.get_running_loop().time())

    def lent_life(self, address: str) -> str:
        """Return the incarnation of the owner's back end whose slots are lent."""
        return self._owner(address).borrower.life

    def send_need(self, address: str, need: BackEndNeed) -> None:
        """Send an owner the need that an answer to a call sent directly reported."""
        link = self._owner(address).link
        if link is not None:
            link.send(BackEndNeedSeen(need))

    def allowance(self, address: str) -> int:
        """Return how many connections this node may hold to the owner's back end now."""
        now = asyncio.get_running_loop().time()
        return self._owner(address).borrower.allowance(now)

    def renew(self, now: float) -> None:
        """Check the liveness of all links, renew loans in use, and let others expire."""
        for address, owner in self._owners.items():
            if owner.link is not None:
                self._check_liveness(owner.link, owner, now)
            if owner.link is not None:
                self._request_slots(address, owner, now)
            self.on_allowance(address, owner.borrower.allowance(now))

    def keep_only(self, addresses: frozenset[str]) -> None:
        """Close the idle links to owners that are not in ``addresses``.

        A link is idle if it has no stream open and no borrowed slot in use. An owner that
        was sent calls lately is remembered: it may be restarting.
        """
        window_begin = asyncio.get_running_loop().time() - WINDOW_SECONDS
        for address in [known for known in self._owners if known not in addresses]:
            owner = self._owners[address]
            idle = owner.link is None or owner.link.streams == 0
            if owner.calls.since(window_begin):
                continue
            if idle and owner.opening is None and owner.borrower.in_use == 0:
                del self._owners[address]
                if owner.link is not None:
                    owner.link.close()

    def close(self) -> None:
        """Close all links."""
        self._closed = True
        for owner in self._owners.values():
            if owner.opening is not None:
                owner.opening.cancel()
            if owner.link is not None:
                owner.link.close()
        self._owners.clear()

    def _owner(self, address: str) -> _Owner:
        owner = self._owners.get(address)
        if owner is None:
            owner = _Owner()
            self._owners[address] = owner
        return owner

    def _check_liveness(self, link: CallLink, owner: _Owner, now: float) -> None:
        """Probe a silent link that has calls; abandon it if the probe goes unanswered."""
        if link.received != owner.last_received or link.streams == 0:
            owner.last_received = link.received
            owner.probed_at = None
        elif owner.probed_at is None:
            owner.probed_at = now
            link.send(CallLinkProbe(owner.last_received))
        elif now - owner.probed_at >= PROBE_TIMEOUT_SECONDS:
            owner.link = None
            owner.borrower.lost()
            link.abandon("owner silent")

    def _request_slots(self, address: str, owner: _Owner, now: float) -> None:
        if owner.link is None:
            self._open(address, owner)
            return
        request = owner.borrower.ask(now)
        if request is not None:
            owner.link.send(request)

    def _open(self, address: str, owner: _Owner) -> None:
        if owner.opening is None and not self._closed:
            loop = asyncio.get_running_loop()
            owner.opening = loop.create_task(self._connect(address, owner))

    async def _connect(self, address: str, owner: _Owner) -> None:
        link = await self._open_confirmed(address, owner)
        owner.opening = None
        waiting = owner.waiting
        owner.waiting = []
        if link is None:
            for attempt in waiting:
                attempt.link_refused()
            return
        owner.link = link
        owner.last_received = link.received
        owner.probed_at = None
        for attempt in waiting:
            attempt.link_open(link)

    async def _open_confirmed(self, address: str, owner: _Owner) -> CallLink | None:
        """Open a link and return it once the owner has answered a probe, else None.

        The operating system accepts connections for a process that is stopped or stuck.
        The outcome of a call sent on such a link would be unknown instead of refused.
        """
        opened = await open_link(address, self._tls)
        if isinstance(opened, str):
            return None
        alive: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        def other_message(link: CallLink, message: Message) -> None:
            if not isinstance(message, CallLinkAlive):
                self._other_message(link, message)
            elif not alive.done():
                alive.set_result(None)

        link = CallLink(
            opened,
            _ignore_calls,
            other_message,
            self._link_lost,
            self._guard.allows,
            packs_heads=self._packs_heads,
        )
        link.start()
        now = asyncio.get_running_loop().time()
        recent = owner.calls.by_age(now)
        link.send(msgspec.structs.replace(self._hello, recent_calls=recent))
        link.send(CallLinkProbe(0))
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
                await alive
        except TimeoutError:
            link.close()
            return None
        return link if link.alive else None

    def _other_message(self, link: CallLink, message: Message) -> None:
        address = self._address_of(link)
        if address is None or not isinstance(message, SlotsLent):
            return
        returned = self._owners[address].borrower.lent(message)
        self.on_allowance(address, self.allowance(address))
        link.send(returned)

    def _link_lost(self, link: CallLink, reason: str) -> None:
        del reason
        address = self._address_of(link)
        if address is not None:
            owner = self._owners[address]
            owner.link = None
            owner.borrower.lost()
            self.on_allowance(address, self.allowance(address))

    def _address_of(self, link: CallLink) -> str | None:
        for address, owner in self._owners.items():
            if owner.link is link:
                return address
        return None


def _ignore_calls(link: CallLink, message: Message) -> None:
    """Ignore calls: an owner sends none on a link that it accepted."""
    del link, message
