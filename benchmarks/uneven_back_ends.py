"""Compares ways to send calls where they end soonest, in virtual time, without a network.

    python benchmarks/uneven_back_ends.py --out results/uneven_back_ends.json

Back ends differ in speed (fixed), and in pace: every 0.6 s some of the machines are drawn
that are 2.5 times as slow until the next draw.  Three in a hundred calls take seven times
as long wherever they run.  Callers' nodes and the back ends' own nodes run the product's
admission and what it knows of back ends; links, callers and back ends are modelled.
"""

from __future__ import annotations

import argparse
import itertools
import json
import math
import random
import statistics
from pathlib import Path

import msgspec

from benchmarks.call_model import Clock
from peppershore.connection.messages.calls import MICROSECONDS, OwnerLoad
from peppershore.connection.messages.endpoints import Endpoint
from peppershore.process.randomness import Randomness
from peppershore.request.admission import Admission, Dispatch
from peppershore.request.back_ends.local_report import LocalReport
from peppershore.request.back_ends.reported_load import ReportedLoad
from peppershore.request.next_attempt import MAX_PROBES, MAX_TRIES
from peppershore.request.outcome import NotRun
from peppershore.request.waiting import Ticket
from peppershore.version.model import ServiceSettings

SERVICE = "kassa"
ROUTE = "read"
HOP_SECONDS = 0.001
OWNER_LIMIT_FACTOR = 2
SLOTS = 5
BACK_ENDS = 24
EDGES = 16
"""Nodes without a back end of the service; each back end's node takes callers too."""

SECONDS = 16.0
WARM_SECONDS = 4.0
OBJECTIVE_SECONDS = 0.75
PATIENCE_SECONDS = 0.15
DEADLINE_SECONDS = 2.5
SEEDS = tuple(range(11, 19))
LOADS = (0.7, 0.95)

MEAN_WORK_SECONDS = 0.144
WORK_SIGMA = 0.8
NESTED_SHARE = 0.7
NESTED_SECONDS = 0.1
"""What calls of the work itself take; that holds the slot and follows other machines."""

LONG_SHARE = 0.03
LONG_FACTOR = 7.0
EPOCH_SECONDS = 0.6
SLOW_SHARE = 0.15
SLOW_FACTOR = 2.5
SPEEDS = (0.55, 1.2, 1.2, 1.2)
"""Times that work takes, by turns."""

HEDGE_SECONDS = 0.45
"""After so long without an answer a call is sent once more; 1 call in 50 at most."""

HEDGE_SHARE = 0.02

SETTINGS = ServiceSettings(slots=SLOTS, slow_start_milliseconds=0)


class Site(msgspec.Struct, frozen=True):
    """What differs between back ends."""

    speeds: tuple[float, ...] = (1.0,)
    slow_share: float = 0.0


SITES = {
    "pace": Site(slow_share=SLOW_SHARE),
    "speeds": Site(speeds=SPEEDS),
    "both": Site(speeds=SPEEDS, slow_share=SLOW_SHARE),
}


class Way(msgspec.Struct, frozen=True):
    """What is done about it.

    ``tells``: owners tell callers' nodes the pace, and their work without it;
    ``sends_on``: an owner refuses while its machine is slow what may go elsewhere;
    ``spreads``: it tells all nodes when its pace changes; ``asks_two``: two owners are
    asked, the first free one is taken; ``waits``: at so many owners one after the other,
    sharing its patience; ``home_first``: a call at the node beside a back end runs there
    while a slot is free; ``hedges``: a late call is sent once more.
    """

    tells: bool = False
    sends_on: bool = False
    spreads: bool = False
    asks_two: bool = False
    waits: int = 1
    home_first: bool = True
    hedges: bool = False


WAYS = {
    "loads-only": Way(),
    "pace-told": Way(tells=True),
    "sent-on": Way(tells=True, sends_on=True),
    "spread": Way(tells=True, spreads=True),
    "sent-on-spread": Way(tells=True, sends_on=True, spreads=True),
    "sent-on-no-home": Way(tells=True, sends_on=True, home_first=False),
    "two-waits": Way(waits=2),
    "three-waits": Way(waits=3),
    "sent-on-three-waits": Way(tells=True, sends_on=True, waits=3),
    "two-asked": Way(tells=True, asks_two=True),
    "sent-on-two-asked": Way(tells=True, sends_on=True, asks_two=True),
    "sent-on-hedged": Way(tells=True, sends_on=True, hedges=True),
}


class Call:
    """One call; over once it is answered or refused for good."""

    __slots__ = (
        "came",
        "is_granted",
        "is_hedged",
        "nested",
        "node",
        "over",
        "runs",
        "tried",
        "tries",
        "waits",
        "work",
    )

    def __init__(self, node: Node, came: float, work: float, nested: float) -> None:
        self.node = node
        self.came = came
        self.work = work
        self.nested = nested
        self.tries = 0
        self.tried: frozenset[str] = frozenset()
        self.over = False
        self.is_hedged = False
        self.is_granted = False
        self.runs: list[Run] = []
        self.waits = 0


class Run:
    """One attempt of a call at one owner."""

    __slots__ = (
        "began",
        "call",
        "dispatch",
        "may_wait",
        "over",
        "owned",
        "start_by",
        "ticket",
    )

    def __init__(self, call: Call, dispatch: Dispatch, may_wait: bool) -> None:
        self.call = call
        self.dispatch = dispatch
        self.may_wait = may_wait
        self.start_by = call.came + PATIENCE_SECONDS
        self.owned: Dispatch | None = None
        self.ticket: Ticket | None = None
        self.began = 0.0
        self.over = False


class Owner:
    """A back end with its own node."""

    def __init__(self, model: Model, number: int) -> None:
        self.model = model
        self.number = number
        site = model.site
        self.speed = site.speeds[number % len(site.speeds)]
        self.name = f"k{number}"
        self.endpoint = Endpoint(
            self.name, SERVICE, "a", 1, 1, "ready", "", f"owner-{number}", SLOTS, 130
        )
        self.admission = Admission(SERVICE, SETTINGS, "a", Randomness(number))
        self.admission.use_endpoints((self.endpoint,), 0.0)
        self.report = LocalReport()
        self.runs = 0
        self.begun_slow = 0
        self.told_slow = False
        self._numbers = itertools.count(1)
        self._waiting: dict[int, Run] = {}
        self._slow: dict[int, bool] = {}
        self._random = random.Random(f"{model.seed}/{number}")

    def pace(self, moment: float) -> float:
        """Give the factor of the machine in the epoch of a moment."""
        epoch = int(moment / EPOCH_SECONDS + 1e-9)
        if epoch not in self._slow:
            self._slow[epoch] = self._random.random() < self.model.site.slow_share
        return SLOW_FACTOR if self._slow[epoch] else 1.0

    def load(self) -> OwnerLoad:
        """Give what callers' nodes are told."""
        now, report, way = self.model.clock.now, self.report, self.model.way
        work = self.admission.known_work(ROUTE)
        if not way.tells:
            return OwnerLoad(
                self.admission.in_flight, len(self._waiting), SLOTS, _micro(work)
            )
        return OwnerLoad(
            self.admission.in_flight,
            len(self._waiting),
            SLOTS,
            _micro(report.usual_work(ROUTE) or work),
            pace_percent=report.pace_percent,
            pace_age_milliseconds=report.pace_age_milliseconds(now),
        )

    def receive(self, run: Run) -> None:
        """Take an ask, or refuse it."""
        now = self.model.clock.now
        if run.over:
            return
        sends_on = self.model.way.sends_on and not run.may_wait
        if sends_on and self.report.is_slow(now):
            self._refuse(run)
            return
        ticket = Ticket(
            next(self._numbers),
            "normal",
            run.call.came + DEADLINE_SECONDS,
            may_wait=run.may_wait,
            start_by=run.start_by,
            route=ROUTE,
        )
        decision = self.admission.offer(ticket, now)
        if isinstance(decision, NotRun):
            self._refuse(run)
        elif isinstance(decision, Dispatch):
            self._begin(run, decision)
        else:
            run.ticket = ticket
            self._waiting[ticket.number] = run
            wait = max(0.0, ticket.start_by - now)
            self.model.clock.after(wait, lambda: self._waited_enough(run))

    def cancel(self, run: Run) -> None:
        """Give up an attempt and free what it holds."""
        if run.over:
            return
        run.over = True
        if run.ticket is not None:
            self._waiting.pop(run.ticket.number, None)
            self.admission.withdraw(run.ticket)
        if run.owned is not None:
            self.admission.finished(run.owned, 0.0, None, self.model.clock.now)
            self._start_waiting()

    def _waited_enough(self, run: Run) -> None:
        if run.ticket is None or run.over:
            return
        self._waiting.pop(run.ticket.number)
        self.admission.withdraw(run.ticket)
        self._refuse(run)

    def _refuse(self, run: Run) -> None:
        run.over = True
        load = self.load()
        self.model.clock.after(HOP_SECONDS, lambda: run.call.node.refused(run, load))

    def _begin(self, run: Run, dispatch: Dispatch) -> None:
        now = self.model.clock.now
        run.ticket = None
        run.owned = dispatch
        run.began = now
        self.runs += 1
        self.begun_slow += self.pace(now) > 1.0
        if self.model.way.asks_two:
            self.model.clock.after(HOP_SECONDS, lambda: run.call.node.granted(run))
        seconds = self._seconds(run.call.work) + run.call.nested
        self.model.clock.after(seconds, lambda: self._ended(run))

    def _seconds(self, work: float) -> float:
        """Give how long work takes that begins now, at each epoch's pace."""
        moment = self.model.clock.now
        begun = moment
        left = work * self.speed
        while True:
            pace = self.pace(moment)
            ends = (int(moment / EPOCH_SECONDS + 1e-9) + 1) * EPOCH_SECONDS
            if left * pace <= ends - moment:
                return moment + left * pace - begun
            left -= (ends - moment) / pace
            moment = ends

    def _ended(self, run: Run) -> None:
        if run.over:
            return
        run.over = True
        now = self.model.clock.now
        running = self.admission.in_flight
        told = ReportedLoad(running, 0, SLOTS, round(100 * self.speed * self.pace(now)))
        self.report.heard(told, running, now)
        self.report.ended(ROUTE, now - run.began, now)
        assert run.owned is not None
        self.admission.finished(run.owned, now - run.began, "good", now)
        load = self.load()
        self.model.clock.after(HOP_SECONDS, lambda: run.call.node.answered(run, load))
        self._spread(now, load)
        self._start_waiting()

    def _spread(self, now: float, load: OwnerLoad) -> None:
        is_slow = self.report.is_slow(now)
        if self.model.way.spreads and is_slow != self.told_slow:
            self.told_slow = is_slow
            for node in self.model.nodes:
                self.model.messages += 1
                self.model.clock.after(HOP_SECONDS, lambda node=node: node.note(self, load))

    def _start_waiting(self) -> None:
        for started in self.admission.ready(self.model.clock.now):
            self._begin(self._waiting.pop(started.ticket.number), started)


class Node:
    """A node that callers call; ``home`` is the back end beside it."""

    def __init__(self, model: Model, number: int, home: Owner | None) -> None:
        self.model = model
        self.home = home
        self.admission = Admission(
            SERVICE,
            SETTINGS,
            "a",
            Randomness(1_000 + number),
            home=home.name if home and model.way.home_first else "",
        )
        limited = [
            msgspec.structs.replace(owner.endpoint, slots=SLOTS * OWNER_LIMIT_FACTOR)
            for owner in model.owners
        ]
        self.admission.use_endpoints(tuple(limited), 0.0)
        self._numbers = itertools.count(1)

    def note(self, owner: Owner, load: OwnerLoad) -> None:
        """Hear of an owner's load."""
        self.admission.note_load(owner.name, load, ROUTE, self.model.clock.now)

    def send(self, call: Call) -> None:
        """Ask one owner, or two at once."""
        asks = 2 if self.model.way.asks_two and call.tries == 0 else 1
        for _ in range(asks):
            self._ask(call)
        if not call.runs:
            self.model.end(call, False)

    def _ask(self, call: Call) -> None:
        now = self.model.clock.now
        if self.home is not None:
            self.note(self.home, self.home.load())
        call.tries += 1
        is_suspended = self.admission.probing.is_suspended(now)
        may_wait = (
            call.tries > MAX_PROBES
            or is_suspended
            or self.admission.all_refuse_for_load(now)
        )
        ticket = Ticket(
            next(self._numbers),
            "normal",
            call.came + DEADLINE_SECONDS,
            call.tried,
            may_wait=False,
            route=ROUTE,
        )
        decision = self.admission.offer(ticket, now)
        if not isinstance(decision, Dispatch):
            return
        run = Run(call, decision, may_wait)
        if may_wait:
            call.waits += 1
            waits = self.model.way.waits
            part = min(1.0, call.waits / waits)
            run.start_by = max(now, call.came + PATIENCE_SECONDS * part)
        call.runs.append(run)
        call.tried |= {decision.endpoint.node}
        owner = self.model.by_name[decision.endpoint.node]
        is_home = owner is self.home
        self.model.messages += not is_home
        self.model.clock.after(0.0 if is_home else HOP_SECONDS, lambda: owner.receive(run))
        if self.model.way.hedges and not call.is_hedged:
            self.model.clock.after(HEDGE_SECONDS, lambda: self._hedge(call))

    def refused(self, run: Run, load: OwnerLoad) -> None:
        """Go on elsewhere, then wait."""
        now = self.model.clock.now
        self.note(self.model.by_name[run.dispatch.endpoint.node], load)
        call = run.call
        if run not in call.runs:
            return
        call.runs.remove(run)
        self.admission.finished(run.dispatch, 0.0, None, now)
        if not run.may_wait and load.running >= load.slots:
            self.admission.probing.refused(now)
        if call.runs:
            return
        is_late = now >= call.came + PATIENCE_SECONDS
        if run.may_wait and (is_late or call.tries >= MAX_TRIES):
            self.model.end(call, False)
        else:
            self.send(call)

    def granted(self, run: Run) -> None:
        """The first free owner is taken; the other ask is cancelled."""
        if run.call.is_granted:
            self._cancel(run)
        else:
            run.call.is_granted = True

    def _cancel(self, run: Run) -> None:
        """Give one attempt up: its owner hears a hop later."""
        if run not in run.call.runs:
            return
        run.call.runs.remove(run)
        owner = self.model.by_name[run.dispatch.endpoint.node]
        self.admission.finished(run.dispatch, 0.0, None, self.model.clock.now)
        self.model.messages += 1
        self.model.clock.after(HOP_SECONDS, lambda: owner.cancel(run))

    def answered(self, run: Run, load: OwnerLoad) -> None:
        """The first answer counts; what else runs for it is cancelled."""
        now = self.model.clock.now
        self.note(self.model.by_name[run.dispatch.endpoint.node], load)
        if run not in run.call.runs:
            return
        run.call.runs.remove(run)
        self.admission.finished(run.dispatch, now - run.began, "good", now)
        if not run.may_wait:
            self.admission.probing.granted()
        for other in list(run.call.runs):
            self._cancel(other)
        self.model.end(run.call, True)

    def _hedge(self, call: Call) -> None:
        model = self.model
        if call.over or call.is_hedged or model.hedges >= HEDGE_SHARE * model.calls:
            return
        now = model.clock.now
        if self.admission.probing.is_suspended(now) or self.admission.all_refuse_for_load(
            now
        ):
            return
        call.is_hedged = True
        model.hedges += 1
        self._ask(call)


class Model:
    """A running site."""

    def __init__(self, site: Site, way: Way, seed: int) -> None:
        self.site = site
        self.way = way
        self.seed = seed
        self.clock = Clock()
        self.messages = 0
        self.hedges = 0
        self.calls = 0
        self.ends: list[tuple[float, float, bool]] = []
        self.random = random.Random(seed)
        self.owners = [Owner(self, number) for number in range(BACK_ENDS)]
        self.by_name = {owner.name: owner for owner in self.owners}
        homes: list[Owner | None] = [*self.owners, *[None] * EDGES]
        self.nodes = [Node(self, number, home) for number, home in enumerate(homes)]

    @property
    def capacity(self) -> float:
        """Calls a second that all back ends can run."""
        long = 1.0 + LONG_SHARE * (LONG_FACTOR - 1.0)
        slow = self.site.slow_share
        pace = 1.0 / (1.0 - slow + slow / SLOW_FACTOR)
        work = MEAN_WORK_SECONDS * long * pace
        nested = NESTED_SHARE * NESTED_SECONDS
        return sum(SLOTS / (work * owner.speed + nested) for owner in self.owners)

    def arrive(self, rate: float, until: float) -> None:
        """Let callers come at random."""
        if self.clock.now >= until:
            return
        self.calls += 1
        node = self.random.choice(self.nodes)
        sigma = WORK_SIGMA
        work = MEAN_WORK_SECONDS * math.exp(self.random.gauss(-sigma * sigma / 2, sigma))
        if self.random.random() < LONG_SHARE:
            work *= LONG_FACTOR
        nested = 0.0
        if self.random.random() < NESTED_SHARE:
            nested = self.random.gammavariate(4.0, NESTED_SECONDS / 4.0)
        node.send(Call(node, self.clock.now, work, nested))
        pause = self.random.expovariate(rate)
        self.clock.after(pause, lambda: self.arrive(rate, until))

    def end(self, call: Call, good: bool) -> None:
        """A call is over for its caller."""
        call.over = True
        self.ends.append((call.came, self.clock.now - call.came, good))


class Figures(msgspec.Struct, frozen=True):
    """Means over the seeds; all ways meet the same arrivals."""

    in_objective_percent: float
    late_percent: float
    refused_percent: float
    p50_milliseconds: float
    p99_milliseconds: float
    slowest_third_percent: float
    begun_slow_percent: float
    messages_per_call: float


def measure(site: Site, way: Way, load: float, seed: int) -> Figures:
    """Run one way on one site, ``load`` times its capacity."""
    model = Model(site, way, seed)
    model.arrive(model.capacity * load, SECONDS)
    model.clock.run(SECONDS + DEADLINE_SECONDS)
    ends = [end for end in model.ends if end[0] >= WARM_SECONDS]
    good = sorted(seconds for _, seconds, is_good in ends if is_good)
    in_time = sum(1 for seconds in good if seconds <= OBJECTIVE_SECONDS)
    runs = sum(owner.runs for owner in model.owners)
    slowest = sorted(model.owners, key=lambda owner: -owner.speed)[: BACK_ENDS // 3]
    return Figures(
        100 * in_time / len(ends),
        100 * (len(good) - in_time) / len(ends),
        100 * (len(ends) - len(good)) / len(ends),
        1_000 * good[len(good) // 2],
        1_000 * good[int(len(good) * 0.99)],
        100 * sum(owner.runs for owner in slowest) / runs,
        100 * sum(owner.begun_slow for owner in model.owners) / runs,
        model.messages / model.calls,
    )


def means(measured: list[Figures]) -> Figures:
    """Give the mean of each figure."""
    names = Figures.__struct_fields__
    return Figures(
        *(
            round(statistics.fmean(getattr(one, name) for one in measured), 2)
            for name in names
        )
    )


def gained(values: list[float], first: list[float]) -> tuple[float, float]:
    """Give the mean difference to the first way, seed by seed, and its standard error."""
    differences = [one - other for one, other in zip(values, first, strict=True)]
    error = statistics.stdev(differences) / math.sqrt(len(differences))
    return round(statistics.fmean(differences), 2), round(error, 2)


def _micro(seconds: float) -> int:
    return round(seconds * MICROSECONDS)


def main() -> None:
    """Measure the ways on the sites asked for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", default="", help="Figures are written to this file.")
    parser.add_argument("--ways", default=",".join(WAYS))
    parser.add_argument("--sites", default=",".join(SITES))
    options = parser.parse_args()
    result: dict[str, dict[str, object]] = {}
    for name, load in itertools.product(options.sites.split(","), LOADS):
        row = result.setdefault(f"{name} at {load}", {})
        first: list[float] = []
        for way in options.ways.split(","):
            measured = [measure(SITES[name], WAYS[way], load, s) for s in SEEDS]
            figures = means(measured)
            gains = [one.in_objective_percent for one in measured]
            first = first or gains
            gain, error = gained(gains, first)
            row[way] = msgspec.to_builtins(figures) | {"gain": gain, "error": error}
            values = " ".join(f"{value:8.2f}" for value in msgspec.structs.astuple(figures))
            print(f"{name:7} {load:4} {way:20} {values} {gain:6} +- {error}", flush=True)
    if options.out:
        Path(options.out).write_text(json.dumps(result, indent=2) + "\n")


if __name__ == "__main__":
    main()
