"""Large answers over narrow links beside small ones, in virtual time.

Owners answer large calls and small lookups over one narrow link each.  What is taken and
what goes next is the product's (``LinkRoom``, ``LinkPace``) or one of the ways it is
compared with; arrivals, work and the link are modelled.  A seed decides a run.

Run ``python -m benchmarks.large_answers`` for a table of all ways.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import Literal

import msgspec

from benchmarks.call_model import Clock
from benchmarks.link_model import Pipe
from peppershore.request.back_ends.link_room import LinkPace, LinkRoom, Transfer

Way = Literal["at once", "shared", "newest", "earliest", "room"]
WAYS: tuple[Way, ...] = ("at once", "shared", "newest", "earliest", "room")
"""As fast as answers come; in turns; one after the other, the newest or the one that is
due soonest first; and the product's: only as many as can be through in time."""

ROUTE = "frames"
SMALL_BYTES = 1_000
ASK_SECONDS = 0.004
"""There and back to an owner that refuses."""


class Site(msgspec.Struct, frozen=True, kw_only=True):
    """Owners of one service, and what is asked of them a second."""

    way: Way = "room"
    owners: int = 5
    link_megabits: float = 6.0
    large_a_second: float = 74.6
    answer_bytes: float = 90_000.0
    spread: float = 0.6
    most_bytes: float = 540_000.0
    small_a_second: float = 146.0
    work_seconds: float = 0.15
    small_work_seconds: float = 0.047
    aim_seconds: float = 1.07
    deadline_seconds: float = 2.675
    slots: int = 7


class Ended(msgspec.Struct):
    """One large call: when it came, and how long it took; inf: refused or given up."""

    came: float
    seconds: float = math.inf


class Owner:
    """A back end and its node, behind one link."""

    def __init__(self, model: LargeAnswers) -> None:
        """Begin idle."""
        self._model = model
        self._clock = model.clock
        self._way = model.site.way
        self.link = Pipe(model.clock, model.site.link_megabits)
        self.room = LinkRoom(model.site.link_megabits)
        self._pace = LinkPace(self.room.rate, 0.0)
        self._ready: list[tuple[Transfer, float]] = []
        self._is_ticking = False
        self._running = 0
        self._waiting: list[Callable[[], None]] = []

    def take(self, came: float, size: int, work: float) -> bool:
        """Take a large call, unless the way refuses it."""
        now = self._clock.now
        due = came + self._model.site.aim_seconds
        expected = self._model.site.work_seconds
        if self._way == "room":
            offered = self.room.offer(ROUTE, due, expected, now)
            if not isinstance(offered, Transfer):
                return False
            transfer = offered
        else:
            transfer = Transfer(0, ROUTE, due, now, float(size))
        self.run(work, lambda: self._answered(transfer, came, size))
        return True

    def run(self, work: float, then: Callable[[], None]) -> None:
        """Hold a slot for so long, once one is free."""
        if self._running >= self._model.site.slots:
            self._waiting.append(lambda: self.run(work, then))
            return
        self._running += 1
        self._clock.after(work, lambda: self._worked(then))

    def _worked(self, then: Callable[[], None]) -> None:
        self._running -= 1
        if self._waiting:
            self._waiting.pop(0)()
        then()

    def small(self) -> None:
        """Put one small answer on the link."""
        self._model.small_waits.append(self.link.backlog_seconds)
        self.link.carry(SMALL_BYTES, lambda: None)
        self._pace.sent(SMALL_BYTES)

    def _answered(self, transfer: Transfer, came: float, size: int) -> None:
        if self._way == "at once":
            self.link.carry(size, lambda: self._model.through(came))
            return
        self.room.set_length(transfer, size)
        self.room.received(transfer, size, self._clock.now)
        self._ready.append((transfer, came))
        if not self._is_ticking:
            self._tick()

    def _tick(self) -> None:
        now = self._clock.now
        self._give_up(now)
        while self._ready and self._pace.may_send(now):
            self._send(self._next(now))
        self._is_ticking = bool(self._ready)
        if self._is_ticking:
            self._clock.after(self._pace.pause, self._tick)

    def _give_up(self, now: float) -> None:
        """Drop what has not begun when its caller leaves."""
        before = now - self._model.site.deadline_seconds
        for transfer, came in list(self._ready):
            if came < before and not transfer.begun:
                self._ready.remove((transfer, came))
                self.room.over(transfer, is_whole=False)

    def _next(self, now: float) -> Transfer:
        if self._way == "room":
            chosen = self.room.next(now)
            assert chosen is not None
            return chosen
        transfers = [transfer for transfer, _ in self._ready]
        begun = [each for each in transfers if each.begun]
        if self._way == "shared":
            return transfers[0]
        if begun:
            return begun[0]
        if self._way == "newest":
            return transfers[-1]
        return min(transfers, key=lambda each: each.due)

    def _send(self, transfer: Transfer) -> None:
        octets = min(self._pace.piece, transfer.held)
        self.room.forwarded(transfer, octets)
        self._pace.sent(octets)
        at = next(i for i, (each, _) in enumerate(self._ready) if each is transfer)
        _, came = self._ready.pop(at)
        if transfer.held:
            self.link.carry(octets, lambda: None)
            self._ready.append((transfer, came))
            return
        self.link.carry(octets, lambda: self._model.through(came))
        self.room.over(transfer, is_whole=True)


class LargeAnswers:
    """One run."""

    def __init__(self, site: Site, seed: int) -> None:
        """Begin with idle owners."""
        self.site = site
        self.clock = Clock()
        self.small_waits: list[float] = []
        self.ended: list[Ended] = []
        self._came: list[float] = []
        self._random = random.Random(seed)
        self._owners = [Owner(self) for _ in range(site.owners)]

    def load(self, factor: float, begin: float, end: float) -> None:
        """Let ``factor`` times the usual large calls come, and the usual small ones."""
        self._arrivals(self.site.large_a_second * factor, begin, end, self._large)
        self._arrivals(self.site.small_a_second, begin, end, self._lookup)

    def in_aim(self, begin: float, end: float) -> float:
        """Give the share of large calls that came then and were answered in aim."""
        aim = self.site.aim_seconds
        good = [each for each in self.ended if each.seconds <= aim]
        return self._share(good, begin, end)

    def late(self, begin: float, end: float) -> float:
        """Give the share that was answered after its aim."""
        aim = self.site.aim_seconds
        late = [each for each in self.ended if aim < each.seconds < math.inf]
        return self._share(late, begin, end)

    def small_wait(self, share: float) -> float:
        """Give the seconds that so many of the small answers waited at most."""
        waits = sorted(self.small_waits)
        return waits[min(len(waits) - 1, int(len(waits) * share))]

    def through(self, came: float) -> None:
        """A large answer is through; its caller left at its deadline."""
        seconds = self.clock.now - came
        if seconds <= self.site.deadline_seconds:
            self.ended.append(Ended(came, seconds))

    def _share(self, ended: list[Ended], begin: float, end: float) -> float:
        """Give how many these are of all that came in that time."""
        among = sum(begin <= each.came < end for each in ended)
        return among / max(1, sum(begin <= came < end for came in self._came))

    def _arrivals(
        self, rate: float, begin: float, end: float, comes: Callable[[], None]
    ) -> None:
        at = begin
        while (at := at + self._random.expovariate(rate)) < end:
            self.clock.after(at, comes)

    def _drawn(self, mean: float, spread: float) -> float:
        sigma = math.sqrt(math.log(1.0 + spread * spread))
        return self._random.lognormvariate(math.log(mean) - sigma * sigma / 2.0, sigma)

    def _large(self) -> None:
        size = int(min(self.site.most_bytes, self._drawn(self.site.answer_bytes, 0.6)))
        work = self._drawn(self.site.work_seconds, 0.5)
        self._came.append(self.clock.now)
        others = list(self._owners)
        self._random.shuffle(others)
        self._ask(others, self.clock.now, size, work)

    def _ask(self, owners: list[Owner], came: float, size: int, work: float) -> None:
        """Ask one owner after the other."""
        if owners and not owners[0].take(came, size, work):
            rest = owners[1:]
            self.clock.after(ASK_SECONDS, lambda: self._ask(rest, came, size, work))

    def _lookup(self) -> None:
        owner = self._random.choice(self._owners)
        owner.run(self._drawn(self.site.small_work_seconds, 0.5), owner.small)


def main() -> None:
    """Print a row for each way: before a burst of twice the calls, and after it."""
    print("way        in aim   late   2 s after a burst   small waits p99 / most, ms")
    for way in WAYS:
        before, late, after, waits, most = 0.0, 0.0, 0.0, 0.0, 0.0
        seeds = (1, 2, 3, 4)
        for seed in seeds:
            model = LargeAnswers(Site(way=way), seed)
            model.load(1.0, 0.0, 20.0)
            model.load(1.0, 20.0, 23.0)
            model.load(1.0, 20.0, 40.0)
            model.clock.run(60.0)
            before += model.in_aim(5.0, 20.0) / len(seeds)
            late += model.late(5.0, 20.0) / len(seeds)
            after += model.in_aim(25.0, 35.0) / len(seeds)
            waits += model.small_wait(0.99) / len(seeds) * 1_000
            most += model.small_wait(1.0) / len(seeds) * 1_000
        print(f"{way:9} {before:7.3f} {late:6.3f} {after:12.3f} {waits:18.1f} / {most:.1f}")


if __name__ == "__main__":
    main()
