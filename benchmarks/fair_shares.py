"""Tenants who compete for too little room: the product's cores in virtual time.

Nodes take calls of 82 tenants whose sizes are skewed and send them to owners of back ends;
one tenant sends many times its usual.  Compared: order by deadline alone, fair queueing,
early refusal at the node that takes a call, both; and what weights go by.  No network.

Run: ``python -m benchmarks.fair_shares [--seconds S] [--seeds N]``.
"""

from __future__ import annotations

import argparse
import itertools
import random
import statistics
import time
from collections import Counter
from collections.abc import Callable

import msgspec

from benchmarks.call_model import Clock
from benchmarks.entry_shares import EntryShares
from peppershore.connection.messages.calls import MICROSECONDS, OwnerLoad
from peppershore.connection.messages.endpoints import Endpoint
from peppershore.process.randomness import Randomness
from peppershore.request.admission import Admission, Dispatch
from peppershore.request.endpoint_state import AttemptResult
from peppershore.request.outcome import LOAD_REASONS, NotRun
from peppershore.request.tenants import weights as weights_module
from peppershore.request.tenants.weights import ConfiguredWeights
from peppershore.request.waiting import Ticket
from peppershore.version.model import ServiceSettings, TenantResource

SERVICE, ROUTE, ZONE = "boards", "view", "a"
HOP_SECONDS = 0.0015
KICK_SECONDS = 0.02
TENANTS = 82
SKEW = 1.2
LIMIT_OF_USUAL = 1.6
SLOTS = 7
WORK_SECONDS = 0.19
AIM_SECONDS = 0.591
DEADLINE_SECONDS = 1.772
PATIENCE_SECONDS = 0.2 * AIM_SECONDS
MOST_WAITS = 3
SETTLE_SECONDS = 2.0
FEW_CALLS = 20
"""A tenant with fewer calls in a run says nothing of its share."""


class Ways(msgspec.Struct, frozen=True):
    """What is compared; ``demand_part``: see ``request/tenants/weights.py``."""

    name: str
    fair_queue: bool
    early_refusal: bool
    demand_part: float = weights_module.DEMAND_PART


WAYS = (
    Ways("as now", False, False),
    Ways("fair queue", True, False),
    Ways("early refusal", False, True),
    Ways("both", True, True),
    Ways("both, by weight alone", True, True, 0.0),
    Ways("both, by demand alone", True, True, 0.999),
)


class Load(msgspec.Struct, frozen=True):
    """``times`` the room is asked for; tenant ``hot`` (0: none) at ``factor`` its usual."""

    name: str
    times: float
    hot: int = 0
    factor: float = 1.0
    has_limits: bool = True


LOADS = (
    Load("no shortage", 0.7),
    Load("large at 5", 1.6, 1, 5.0),
    Load("middle at 9", 1.3, 4, 9.0),
    Load("middle at 9", 2.0, 4, 9.0),
    Load("small at 9, no limits", 1.6, 20, 9.0, False),
    Load("all", 1.6),
    Load("all, no limits", 1.6, has_limits=False),
)


class Call:
    """One client attempt."""

    __slots__ = (
        "began",
        "came",
        "deadline",
        "first_at",
        "repeat",
        "tenant",
        "tried",
        "waits",
    )

    def __init__(self, tenant: str, first_at: float, came: float, repeat: bool) -> None:
        self.tenant = tenant
        self.first_at = first_at
        self.came = came
        self.repeat = repeat
        self.deadline = first_at + DEADLINE_SECONDS
        self.tried: frozenset[str] = frozenset()
        self.waits = 0
        self.began = 0.0


class Way(msgspec.Struct, frozen=True):
    """A call on its way from a node to an owner, which it left at ``began``."""

    call: Call
    node: int
    held: Dispatch
    began: float

    @property
    def owner(self) -> str:
        """The node that owns the back end."""
        return self.held.endpoint.node


class Desk:
    """An admission with those who wait in it."""

    def __init__(self, clock: Clock, admission: Admission, ways: Ways) -> None:
        self.admission = admission
        self._clock = clock
        self._ways = ways
        self._numbers = itertools.count(1)
        self._waiting: dict[int, tuple[Call, Callable[[Dispatch | NotRun], None]]] = {}
        self._kicking = False

    def ask(self, call: Call, then: Callable[[Dispatch | NotRun], None]) -> None:
        """Offer a call; ``then`` hears of its slot or its refusal, now or later."""
        now = self._clock.now
        ticket = Ticket(
            next(self._numbers), "normal", call.deadline, call.tried,
            start_by=call.came + PATIENCE_SECONDS, is_client_retry=call.repeat,
            route=ROUTE, tenant=call.tenant if self._ways.fair_queue else "",
        )  # fmt: skip
        decision = self.admission.offer(ticket, now)
        if isinstance(decision, Dispatch | NotRun):
            then(decision)
            return
        self._waiting[ticket.number] = (call, then)
        if decision.evicted is not None:
            refusal = self.admission.refusal_of_evicted(decision.evicted, now)
            self._waiting.pop(decision.evicted.number)[1](refusal)
        self._kick_later()

    def start(self) -> None:
        """Start who has room now, and refuse who waits in vain."""
        now = self._clock.now
        for ticket in self.admission.take_unable_to_finish(now):
            refusal = self.admission.refusal_of_unable_to_finish(ticket, now)
            self._waiting.pop(ticket.number)[1](refusal)
        for ticket in self.admission.take_timed_out(now):
            refusal = self.admission.refusal_of_timed_out(ticket, now)
            self._waiting.pop(ticket.number)[1](refusal)
        for dispatch in self.admission.ready(now):
            self._waiting.pop(dispatch.ticket.number)[1](dispatch)
        self._kick_later()

    def _kick_later(self) -> None:
        if self._waiting and not self._kicking:
            self._kicking = True
            self._clock.after(KICK_SECONDS, self._kicked)

    def _kicked(self) -> None:
        self._kicking = False
        self.start()


class Model:
    """Nodes, owners, and what became of each attempt."""

    def __init__(
        self, ways: Ways, load: Load, seed: int, owners: int = 30, nodes: int = 72
    ) -> None:
        self.clock = Clock()
        self.asked: Counter[str] = Counter()
        self.served: Counter[str] = Counter()
        self.calls = 0
        self.in_aim = 0
        self.at_once = 0
        self.late = 0
        self.refused = 0
        self._ways = ways
        self._random = random.Random(seed)
        usual = [1.0 / (rank + 1) ** SKEW for rank in range(TENANTS)]
        self.names = [f"tenant-{rank + 1}" for rank in range(TENANTS)]
        self.hot = f"tenant-{load.hot}"
        sizes = [
            size * (load.factor if rank + 1 == load.hot else 1.0)
            for rank, size in enumerate(usual)
        ]
        self.capacity = owners * SLOTS / WORK_SECONDS
        scale = load.times * self.capacity / sum(sizes)
        self.rates = [size * scale for size in sizes]
        weights = ConfiguredWeights()
        if load.has_limits:
            limits = [LIMIT_OF_USUAL * size * scale for size in usual]
            weights.use(
                {
                    n: TenantResource(n, (), r)
                    for n, r in zip(self.names, limits, strict=True)
                }
            )
        endpoints = tuple(
            Endpoint(f"k{i}", SERVICE, ZONE, 1, 1, "ready", "", f"o{i}", SLOTS, 130)
            for i in range(owners)
        )
        settings = ServiceSettings(slots=SLOTS, slow_start_milliseconds=0)
        self.owners = {
            e.node: self._desk(settings, (e,), i, weights) for i, e in enumerate(endpoints)
        }
        doubled = tuple(msgspec.structs.replace(e, slots=2 * SLOTS) for e in endpoints)
        self.nodes = [
            self._desk(settings, doubled, 1_000 + i, weights) for i in range(nodes)
        ]
        self.shares = [EntryShares(Randomness(5_000 + i)) for i in range(nodes)]

    def _desk(
        self,
        settings: ServiceSettings,
        endpoints: tuple[Endpoint, ...],
        seed: int,
        weights: ConfiguredWeights,
    ) -> Desk:
        admission = Admission(SERVICE, settings, ZONE, Randomness(seed), weights=weights)
        admission.use_endpoints(endpoints, 0.0)
        return Desk(self.clock, admission, self._ways)

    def arrive(self, until: float) -> None:
        """Let first attempts come until then, from now on."""
        for name, rate in zip(self.names, self.rates, strict=True):
            self._next(name, rate, until)

    def _next(self, name: str, rate: float, until: float) -> None:
        wait = self._random.expovariate(rate)
        if self.clock.now + wait < until:
            self.clock.after(wait, lambda: self._came(name, rate, until))

    def _came(self, name: str, rate: float, until: float) -> None:
        now = self.clock.now
        self._next(name, rate, until)
        if now > SETTLE_SECONDS:
            self.calls += 1
        self._enter(Call(name, now, now, False))

    def _enter(self, call: Call) -> None:
        now = self.clock.now
        if now > SETTLE_SECONDS:
            self.asked[call.tenant] += 1
        node = self._random.randrange(len(self.nodes))
        if self._ways.early_refusal:
            refusal = self.shares[node].refusal((call.tenant, 1), call.repeat, now)
            if refusal is not None:
                self._refused(call, refusal)
                return
        self._offer(call, node)

    def _offer(self, call: Call, node: int) -> None:
        self.nodes[node].ask(call, lambda result: self._at_node(call, node, result))

    def _at_node(self, call: Call, node: int, result: Dispatch | NotRun) -> None:
        if isinstance(result, NotRun):
            self._ended(call, node, result)
            return
        way = Way(call, node, result, self.clock.now)
        owner = self.owners[way.owner]
        self.clock.after(
            HOP_SECONDS, lambda: owner.ask(call, lambda at: self._at_owner(way, at))
        )

    def _at_owner(self, way: Way, result: Dispatch | NotRun) -> None:
        if isinstance(result, NotRun):
            self.clock.after(HOP_SECONDS, lambda: self._back(way, result))
            return
        work = WORK_SECONDS * self._random.uniform(0.5, 1.5)
        self.clock.after(work, lambda: self._ran(way, result, work))

    def _ran(self, way: Way, slot: Dispatch, work: float) -> None:
        desk = self.owners[way.owner]
        desk.admission.finished(slot, work, "good", self.clock.now)
        desk.start()
        self.clock.after(HOP_SECONDS, lambda: self._back(way, None))

    def _back(self, way: Way, refusal: NotRun | None) -> None:
        now, call = self.clock.now, way.call
        desk = self.nodes[way.node]
        state = self.owners[way.owner].admission
        work = round(state.known_work(ROUTE) * MICROSECONDS)
        load = OwnerLoad(state.in_flight, state.waiting, SLOTS, work)
        desk.admission.note_load(way.owner, load, ROUTE, now)
        result: AttemptResult = "shed" if refusal is not None else "good"
        desk.admission.finished(way.held, now - way.began, result, now)
        desk.start()
        call.waits += 1
        call.tried |= {way.owner}
        may_go_on = call.waits < MOST_WAITS and now < call.came + PATIENCE_SECONDS
        if refusal is not None and refusal.reason in LOAD_REASONS and may_go_on:
            self._offer(call, way.node)
            return
        self._ended(call, way.node, refusal)

    def _ended(self, call: Call, node: int, refusal: NotRun | None) -> None:
        now = self.clock.now
        kind = (call.tenant, 1)
        if refusal is not None:
            if self._ways.early_refusal and refusal.reason in LOAD_REASONS:
                self.shares[node].refused(kind, now)
            self._refused(call, refusal)
            return
        if self._ways.early_refusal:
            self.shares[node].answered(kind, now)
        if call.came > SETTLE_SECONDS:
            self.served[call.tenant] += 1
        if call.first_at > SETTLE_SECONDS:
            self.in_aim += now - call.first_at <= AIM_SECONDS

    def _refused(self, call: Call, refusal: NotRun) -> None:
        now = self.clock.now
        self.refused += 1
        self.at_once += now - call.came < HOP_SECONDS
        self.late += now - call.came > AIM_SECONDS / 8
        if call.repeat:
            return
        wait = max(0.01, refusal.retry_after_milliseconds / 1_000)
        if now + wait < call.deadline:
            again = Call(call.tenant, call.first_at, now + wait, True)
            self.clock.after(wait, lambda: self._enter(again))


class Seen(msgspec.Struct):
    """Figures of one run, all but ``cpu_seconds`` in parts of one."""

    served_of_room: float
    in_aim: float
    worst: float
    worst_usual: float
    hot: float
    at_once: float
    late: float
    cpu_seconds: float


def run(ways: Ways, load: Load, seed: int, seconds: float) -> Seen:
    """Play one load; the first seconds are not counted."""
    weights_module.DEMAND_PART = ways.demand_part
    began = time.process_time()
    model = Model(ways, load, seed)
    model.arrive(seconds)
    model.clock.run(seconds + 2 * DEADLINE_SECONDS)
    all_share = sum(model.served.values()) / max(1, sum(model.asked.values()))
    shares = {
        name: model.served[name] / asked / all_share
        for name, asked in model.asked.items()
        if asked >= FEW_CALLS
    }
    usual = [share for name, share in shares.items() if name != model.hot]
    return Seen(
        served_of_room=sum(model.served.values())
        / (model.capacity * (seconds - SETTLE_SECONDS)),
        in_aim=model.in_aim / max(1, model.calls),
        worst=min(shares.values()),
        worst_usual=min(usual),
        hot=shares.get(model.hot, 0.0),
        at_once=model.at_once / max(1, model.refused),
        late=model.late / max(1, model.refused),
        cpu_seconds=time.process_time() - began,
    )


def main() -> None:
    """Run all and print medians over seeds; of the worst tenants the least."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--seeds", type=int, default=2)
    options = parser.parse_args()
    print("served/room  in aim  worst/all  worst usual/all  hot/all  at once, late  cpu s")
    for load in LOADS:
        print(f"{load.name}, {load.times} times the room")
        for ways in WAYS:
            runs = [run(ways, load, seed, options.seconds) for seed in range(options.seeds)]
            median = {
                name: statistics.median(getattr(seen, name) for seen in runs)
                for name in Seen.__struct_fields__
            }
            worst = min(seen.worst for seen in runs)
            usual = min(seen.worst_usual for seen in runs)
            print(
                f"  {ways.name:24} {median['served_of_room']:6.3f} {median['in_aim']:7.3f}"
                f" {worst:8.2f} {usual:8.2f} {median['hot']:8.2f} {median['at_once']:8.2f}"
                f" {median['late']:8.2f} {median['cpu_seconds']:6.1f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
