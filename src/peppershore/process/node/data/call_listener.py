"""Accepts call links from peers, which send calls and requests for slot loans.

This node is the owner of its local back end and alone decides on its slots.
"""

from __future__ import annotations

import asyncio
import itertools
import ssl
from collections.abc import Callable

from peppershore.connection.call_link import CallLink
from peppershore.connection.link import Link, LinkListener
from peppershore.connection.messages.base import Message
from peppershore.connection.messages.calls import (
    BackEndNeedSeen,
    CallLinkAlive,
    CallLinkHello,
    CallLinkProbe,
    CallStarted,
    SlotsAsked,
    SlotsLent,
    SlotsReturned,
)
from peppershore.connection.messages.session import Refused
from peppershore.process.node.data.call_log import CallLog
from peppershore.process.node.data.link_guard import LinkGuard
from peppershore.process.node.data.local_back_end import LocalBackEnd
from peppershore.process.node.data.served_stream import ServedStream
from peppershore.request.outcome import STATUS_UNAVAILABLE, NotRun
from peppershore.request.slot_loans import LEASE_SECONDS, RECALL_NUMBER, Lender

MILLISECONDS = 1_000


class CallListener:
    """Links of peers that send calls to the local back end."""

    def __init__(
        self,
        cluster: str,
        backend: Callable[[], LocalBackEnd | None],
        longest_call_seconds: Callable[[], float],
        tls: ssl.SSLContext | None,
        guard: LinkGuard,
        *,
        log: CallLog,
        packs_heads: bool = False,
    ) -> None:
        """Create the listener; it listens from ``start`` on.

        ``backend`` returns the local back end, or None while the node has none.
        ``packs_heads`` is passed on to ``CallLink``.
        """
        self._log = log
        self._packs_heads = packs_heads
        self._guard = guard
        self._cluster = cluster
        self._backend = backend
        self._longest_call_seconds = longest_call_seconds
        self._listener = LinkListener(self._accepted, tls)
        self._links: dict[CallLink, int] = {}
        self._borrowers = itertools.count(1)
        self._lender: Lender | None = None
        self.streams_served = 0

    @property
    def streams(self) -> int:
        """Number of calls from peers in flight."""
        return sum(link.streams for link in self._links)

    async def start(self, host: str, port: int) -> int:
        """Start listening; return the bound port."""
        return await self._listener.start(host, port)

    def lent(self, now: float) -> int:
        """Return the number of slots that peers may still be using under a loan."""
        return self._lender.lent(now) if self._lender is not None else 0

    def reclaim_expired(self, now: float) -> None:
        """Reclaim the slots of expired loans for this node's own use."""
        backend = self._backend()
        if backend is not None and self._lender is not None:
            backend.reserve_lent_slots(self._lender.lent(now))

    def recall_loans(self) -> None:
        """Recall every loan: the back end is leaving, or has a rate limit."""
        if self._lender is not None:
            self._lender.recall()
        for link in self._links:
            link.send(SlotsLent(RECALL_NUMBER, 0, 0))

    async def close(self) -> None:
        """Close the listener and all links."""
        await self._listener.close()
        for link in list(self._links):
            link.close()
        self._links.clear()

    def _accepted(self, link: Link) -> None:
        call_link = CallLink(
            link,
            self._started,
            self._other_message,
            self._lost,
            self._guard.allows,
            packs_heads=self._packs_heads,
        )
        self._links[call_link] = next(self._borrowers)
        asyncio.get_running_loop().call_soon(call_link.start)

    def _started(self, link: CallLink, started: CallStarted) -> None:
        stream = ServedStream(link, started, self._log)
        backend = self._backend()
        if backend is None:
            stream.refuse(NotRun(STATUS_UNAVAILABLE, "no-back-end", 0, True))
            return
        self.streams_served += 1
        link.serve(started.stream, stream)
        stream.start(backend, started)

    def _other_message(self, link: CallLink, message: Message) -> None:
        match message:
            case CallLinkHello() if message.cluster != self._cluster:
                link.send(Refused("other-cluster"))
                link.close()
                self._lost(link, "other-cluster")
            case CallLinkHello():
                self._peer_connected(message)
            case CallLinkProbe():
                link.send(CallLinkAlive(message.number))
            case SlotsAsked():
                self._lend(link, message)
            case SlotsReturned():
                self._returned(link, message)
            case BackEndNeedSeen():
                self._need_seen(message)
            case _:
                pass

    def _peer_connected(self, hello: CallLinkHello) -> None:
        backend = self._backend()
        if backend is not None and hello.recent_calls:
            backend.calls_sent_before(hello.recent_calls)

    def _need_seen(self, message: BackEndNeedSeen) -> None:
        backend = self._backend()
        if backend is not None:
            backend.need_seen_elsewhere(message.need)

    def _lend(self, link: CallLink, request: SlotsAsked) -> None:
        backend = self._backend()
        if backend is None or link not in self._links:
            link.send(SlotsLent(request.number, 0, 0))
            return
        lender = self._lender_of(backend)
        now = asyncio.get_running_loop().time()
        free = backend.slots - backend.admission.in_flight - lender.lent(now)
        is_needy = backend.leaving or backend.need.report(now) is not None
        wanted = 0 if is_needy else request.wanted
        borrower = self._links[link]
        granted = lender.asked(borrower, request.number, wanted, free, now)
        backend.reserve_lent_slots(lender.lent(now))
        lease = int(LEASE_SECONDS * MILLISECONDS)
        life = backend.life.name
        link.send(SlotsLent(request.number, granted, lease, life))

    def _lender_of(self, backend: LocalBackEnd) -> Lender:
        longest = self._longest_call_seconds()
        if self._lender is None:
            self._lender = Lender(backend.slots, longest)
        self._lender.longest_call_seconds = longest
        return self._lender

    def _returned(self, link: CallLink, returned: SlotsReturned) -> None:
        if self._lender is not None and link in self._links:
            self._lender.returned(self._links[link], returned.number, returned.kept)
            self.reclaim_expired(asyncio.get_running_loop().time())

    def _lost(self, link: CallLink, reason: str) -> None:
        del reason
        borrower = self._links.pop(link, None)
        if borrower is not None and self._lender is not None:
            self._lender.borrower_lost(borrower)
