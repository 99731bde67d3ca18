"""Two services of which one calls the other, with a node beside each back end.

Back ends record what reaches them, and the record is held against the bound on repeats
over all nodes.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import Counter
from typing import TypeVar

import msgspec
from tests.data_plane.scripted_backend import Received, ScriptedBackend
from tests.data_plane.stage import PUBLIC_ROUTE, QUICK_SERVICE, Answer, Node, call, endpoint

from peppershore.connection.messages.endpoints import Endpoint
from peppershore.process.commands import Notice
from peppershore.process.settings import SharedRetrySettings
from peppershore.request.send_kind import ArrivalCounts
from peppershore.version.active import ActiveConfiguration
from peppershore.version.model import RouteResource, Scope

UPPER, LOWER = "upper", "lower"
SERVICES = (UPPER, LOWER)
LOWER_PATH = "/lower"
WORK_SECONDS = 0.02
CLOSE_SECONDS = 0.5
"""Back ends see within this time that their connections were closed."""

SLOTS = 40
BOUND = SharedRetrySettings(ratio=0.2, window_seconds=2.0, slack=12.0)
ROUTE = msgspec.structs.replace(
    PUBLIC_ROUTE, hop="owner", retry_errors=True, retry_attempts=2
)
CONFIGURATION = ActiveConfiguration(
    scope=Scope("edge", "pasila"),
    version=1,
    digest=1,
    routes=(
        RouteResource(
            LOWER, "lower", msgspec.structs.replace(ROUTE, path_prefix=LOWER_PATH)
        ),
        RouteResource(UPPER, "upper", ROUTE),
    ),
    services=dict.fromkeys(SERVICES, QUICK_SERVICE),
    secrets={},
    tenants={},
)

N = TypeVar("N", bound=Notice)


class Arrival(msgspec.Struct, frozen=True):
    """A request reached a back end; ``is_repeat`` as the bound on repeats counts it."""

    at: float
    service: str
    is_repeat: bool


class Sent(msgspec.Struct, frozen=True):
    """A request was sent to a service, by a caller or by a run that is no repeat."""

    at: float
    service: str


class SiteRecord:
    """What callers sent and what back ends got."""

    def __init__(self) -> None:
        self.sent: list[Sent] = []
        self.arrivals: list[Arrival] = []
        self._seen: set[tuple[str, str]] = set()
        self._made_by_repeats: set[str] = set()

    def note_sent(self, service: str) -> None:
        self.sent.append(Sent(_now(), service))

    def note_arrival(self, service: str, request: str) -> bool:
        """Record an arrival; report whether it is a repeat."""
        is_repeat = (service, request) in self._seen or request in self._made_by_repeats
        self._seen.add((service, request))
        self.arrivals.append(Arrival(_now(), service, is_repeat))
        return is_repeat

    def note_child(self, child: str, of_repeat: bool) -> None:
        if of_repeat:
            self._made_by_repeats.add(child)
        else:
            self.note_sent(LOWER)

    def breaches(self, service: str) -> list[str]:
        """Name each window in which more repeats arrived than the bound allows."""
        found = []
        for start in (each.at for each in self.arrivals if each.is_repeat):
            repeats = self._repeats_from(service, start)
            allowed = BOUND.ratio * self._requests_at(service, start) + BOUND.slack
            if repeats > allowed:
                found.append(f"{repeats} from {start:.2f} s, {allowed:.1f} allowed")
        return found

    def repeats(self, service: str) -> int:
        return sum(each.is_repeat for each in self.arrivals if each.service == service)

    def _repeats_from(self, service: str, start: float) -> int:
        end = start + BOUND.window_seconds
        return sum(
            each.is_repeat and each.service == service and start <= each.at < end
            for each in self.arrivals
        )

    def _requests_at(self, service: str, start: float) -> int:
        """Count requests in the fullest of the window and of those just before it."""
        length = BOUND.window_seconds
        starts = (start, start - length / 2, start - length)
        return max(
            sum(
                each.service == service and begin <= each.at < begin + length
                for each in self.sent
            )
            for begin in starts
        )


class NestedBackEnd:
    """Answers after some work, or fails; an upper one calls the lower service meanwhile."""

    def __init__(self, name: str, service: str, record: SiteRecord) -> None:
        self.name = name
        self.service = service
        self.fail_next = 0
        self.fail_share = 0.0
        self.own_node = ""
        self._goes_on = asyncio.Event()
        self._goes_on.set()
        self._record = record
        self._random = random.Random(name)
        self._children = itertools.count(1)
        self._backend = ScriptedBackend(self._answer)

    async def start(self) -> str:
        return await self._backend.start()

    def stop(self) -> None:
        self._backend.stop()

    def stand_still(self) -> None:
        """Answer nothing until ``go_on``."""
        self._goes_on.clear()

    def go_on(self) -> None:
        self._goes_on.set()

    async def _answer(self, request: Received, writer: asyncio.StreamWriter) -> None:
        await request.body()
        name = request.headers["x-request-id"]
        is_repeat = self._record.note_arrival(self.service, name)
        await asyncio.sleep(WORK_SECONDS)
        await self._goes_on.wait()
        called = True
        if self.service == UPPER:
            called = await self._call_lower(name, is_repeat)
        status = "500 Failed" if self._fails() or not called else "200 OK"
        writer.write(f"HTTP/1.1 {status}\r\ncontent-length: 2\r\n\r\nok".encode())

    async def _call_lower(self, name: str, is_repeat: bool) -> bool:
        child = f"{name}.{self.name}-{next(self._children)}"
        self._record.note_child(child, is_repeat)
        answer = await call(self.own_node, LOWER_PATH, headers={"x-request-id": child})
        return answer.status == 200

    def _fails(self) -> bool:
        if self.fail_next:
            self.fail_next -= 1
            return True
        return self._random.random() < self.fail_share


class NestedSite:
    """Callers' nodes ``e1``…, back ends ``u1``… of the upper service, ``l1``… below."""

    def __init__(
        self, edges: int = 2, uppers: int = 3, lowers: int = 3, slots: int = SLOTS
    ) -> None:
        self._slots = slots
        self.record = SiteRecord()
        self.upper = self._back_ends(UPPER, uppers)
        self.lower = self._back_ends(LOWER, lowers)
        self.answers: list[Answer] = []
        self.nodes: dict[str, Node] = {}
        self._addresses: dict[str, str] = {}
        self._edge_names = [f"e{number}" for number in range(1, edges + 1)]
        self._endpoints: dict[str, Endpoint] = {}
        self._numbers = itertools.count(1)
        self._calls: set[asyncio.Task[None]] = set()
        self._past_notices: dict[str, list[Notice]] = {}

    def _back_ends(self, service: str, count: int) -> dict[str, NestedBackEnd]:
        names = (f"{service[0]}{number}" for number in range(1, count + 1))
        return {name: NestedBackEnd(name, service, self.record) for name in names}

    async def __aenter__(self) -> NestedSite:
        for name, back_end in self.back_ends.items():
            self._addresses[name] = await back_end.start()
            await self._start_owner(name)
        for name in self._edge_names:
            await self._start_edge(name)
        self.announce()
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._calls:
            task.cancel()
        for node in self.nodes.values():
            await node.plane.close()
        for back_end in self.back_ends.values():
            back_end.stop()
        await asyncio.sleep(CLOSE_SECONDS)

    @property
    def back_ends(self) -> dict[str, NestedBackEnd]:
        return self.upper | self.lower

    def announce(self, known_share: float = 1.0) -> None:
        """Tell every node the endpoints, or only the first ones of each service."""
        told: list[Endpoint] = []
        for service in SERVICES:
            of_service = [e for e in self._endpoints.values() if e.service == service]
            told += of_service[: round(len(of_service) * known_share)]
        for node in self.nodes.values():
            node.plane.use_endpoints(tuple(told))

    async def restart(self, *names: str, known_share: float = 1.0) -> None:
        """Restart nodes, which forget everything; back ends run on."""
        for name in names:
            await self.nodes[name].plane.close()
            self._past_notices.setdefault(name, []).extend(self.nodes[name].notices)
            if name in self.back_ends:
                await self._start_owner(name)
            else:
                await self._start_edge(name)
        self.announce(known_share)

    async def load(self, rate: float, seconds: float) -> None:
        """Send calls to the upper service at a steady rate, at one node after the other."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        for number, node in enumerate(itertools.cycle(self._edge_names)):
            due = begun + number / rate
            if due >= begun + seconds:
                return
            await asyncio.sleep(max(0.0, due - loop.time()))
            task = asyncio.create_task(self._send(node))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)

    async def settle(self) -> None:
        """Wait until every call has ended."""
        while self._calls:
            await asyncio.gather(*self._calls)

    def arrivals(self, service: str) -> ArrivalCounts:
        """Add up what the running nodes counted at the back ends of a service."""
        total: Counter[str] = Counter()
        for name, back_end in self.back_ends.items():
            if back_end.service == service:
                total.update(msgspec.structs.asdict(self.nodes[name].plane.arrivals))
        return ArrivalCounts(**total)

    def notices(self, service: str, kind: type[N]) -> list[N]:
        """Give the notices of the nodes beside the back ends of a service."""
        written: list[Notice] = []
        for name, back_end in self.back_ends.items():
            if back_end.service == service:
                written += self._past_notices.get(name, []) + self.nodes[name].notices
        return [each for each in written if isinstance(each, kind)]

    def served(self) -> int:
        return sum(each.status == 200 for each in self.answers)

    async def _send(self, node: str) -> None:
        self.record.note_sent(UPPER)
        headers = {"x-request-id": f"{node}-{next(self._numbers)}"}
        address = self.nodes[node].addresses.callers
        try:
            self.answers.append(await call(address, headers=headers))
        except ConnectionError as problem:
            self.answers.append(Answer(0, {}, b"", broken=str(problem)))

    async def _start_edge(self, name: str) -> None:
        earlier = self.nodes.get(name)
        listen = "127.0.0.1:0" if earlier is None else earlier.addresses.callers
        node = Node(name, listen=listen, shared_retries=BOUND)
        node.addresses = await node.plane.start()
        node.plane.use_configuration(CONFIGURATION)
        self.nodes[name] = node

    async def _start_owner(self, name: str) -> None:
        earlier = self.nodes.get(name)
        back_end = self.back_ends[name]
        node = Node(
            name,
            self._addresses[name],
            self._slots,
            service=back_end.service,
            listen="127.0.0.1:0" if earlier is None else earlier.addresses.callers,
            internal_listen="127.0.0.1:0"
            if earlier is None
            else earlier.addresses.internal,
            shared_retries=BOUND,
        )
        node.addresses = await node.plane.start()
        node.plane.use_configuration(CONFIGURATION)
        self.nodes[name] = node
        back_end.own_node = node.addresses.callers
        before = self._endpoints.get(name)
        reached = endpoint(
            self._addresses[name], name, node.addresses.internal, self._slots
        )
        self._endpoints[name] = msgspec.structs.replace(
            reached,
            service=back_end.service,
            incarnation=1 if before is None else before.incarnation + 1,
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
