"""The simulated network and machines, with cores that only remember."""

from __future__ import annotations

from tests.simulator.toy_core import ToyMachine, ToySite

from peppershore.connection.messages.session import Goodbye
from peppershore.process import commands, events

SYNCED_SEED = 1
UNSYNCED_SEED = 2
"""Seeds whose first number is below the chance of a sync before a crash, or not."""


def joined(site: ToySite) -> tuple[ToyMachine, ToyMachine]:
    """Two machines with link 1 of the first open to the second."""
    first, second = site.machine("a"), site.machine("b")
    first.do(commands.OpenLink(1, "b:1"))
    site.run(0.1)
    assert first.seen_of(events.LinkOpened) == [events.LinkOpened(1, "b:1")]
    return first, second


def goodbyes(machine: ToyMachine) -> list[str]:
    received = machine.seen_of(events.MessageReceived)
    return [event.message.reason for event in received]  # type: ignore[attr-defined]


def send(machine: ToyMachine, *texts: str) -> None:
    machine.do(*(commands.SendMessage(1, Goodbye(text)) for text in texts))


def test_a_link_keeps_the_order_of_messages() -> None:
    site = ToySite()
    site.network.jitter_seconds = 1.0
    first, second = joined_after_jitter(site)
    texts = [str(number) for number in range(20)]
    send(first, *texts)
    site.run(5.0)
    assert goodbyes(second) == texts


def joined_after_jitter(site: ToySite) -> tuple[ToyMachine, ToyMachine]:
    first, second = site.machine("a"), site.machine("b")
    first.do(commands.OpenLink(1, "b:1"))
    site.run(5.0)
    return first, second


def test_a_cut_is_silent_and_its_messages_arrive_late_in_order() -> None:
    site = ToySite()
    first, second = joined(site)
    site.network.cut("a", "b")
    send(first, "1", "2")
    site.run(10.0)
    assert goodbyes(second) == []
    assert first.seen_of(events.LinkClosed) == []
    send(first, "3")
    site.network.heal()
    send(first, "4")
    site.run(1.0)
    assert goodbyes(second) == ["1", "2", "3", "4"]


def test_a_cut_in_one_direction_lets_the_other_through() -> None:
    site = ToySite()
    first, second = joined(site)
    site.network.cut("b", "a")
    send(first, "still")
    site.run(1.0)
    assert goodbyes(second) == ["still"]


def test_a_reset_tells_both_ends_and_loses_what_is_under_way() -> None:
    site = ToySite()
    first, second = joined(site)
    send(first, "lost")
    site.network.reset_random_link()
    site.run(1.0)
    assert goodbyes(second) == []
    assert len(first.seen_of(events.LinkClosed)) == 1
    assert len(second.seen_of(events.LinkClosed)) == 1


def test_a_crash_closes_links_and_a_new_life_hears_nothing_of_old_ones() -> None:
    site = ToySite()
    first, second = joined(site)
    first.process.crash()
    first.process.start()
    first.do(commands.OpenLink(1, "b:1"))
    site.run(1.0)
    assert len(second.seen_of(events.LinkClosed)) == 1
    assert first.seen_of(events.LinkClosed) == []
    assert len(first.seen_of(events.LinkOpened)) == 2
    send(first, "anew")
    site.run(1.0)
    assert goodbyes(second) == ["anew"]


def test_a_connection_to_a_dead_process_is_refused_and_a_cut_one_times_out() -> None:
    site = ToySite()
    first, second = site.machine("a"), site.machine("b")
    second.process.crash()
    first.do(commands.OpenLink(1, "b:1"))
    site.run(1.0)
    assert first.seen_of(events.LinkClosed) == [events.LinkClosed(1, "connection refused")]
    site.network.cut("a", "b")
    first.do(commands.OpenLink(3, "b:1"))
    site.run(2.0)
    assert len(first.seen_of(events.LinkClosed)) == 1
    site.run(2.0)
    assert len(first.seen_of(events.LinkClosed)) == 2


def test_a_frozen_process_takes_what_came_once_it_goes_on() -> None:
    site = ToySite()
    first, second = joined(site)
    second.process.freeze()
    send(first, "waits")
    site.run(10.0)
    assert goodbyes(second) == []
    second.process.thaw()
    assert goodbyes(second) == ["waits"]


def test_records_that_are_not_synced_are_lost_in_a_crash() -> None:
    site = ToySite()
    machine = site.machine("a")
    machine.do(commands.PersistRecords(1))
    site.randomness.seed(UNSYNCED_SEED)
    machine.process.crash()
    machine.process.start()
    site.run(1.0)
    assert machine.role.written == []
    machine.do(commands.PersistRecords(2))
    site.run(1.0)
    assert machine.role.written == [commands.PersistRecords(2)]
    assert machine.seen_of(events.RecordsPersisted) == [events.RecordsPersisted(2)]


def test_a_write_may_be_synced_although_the_crash_came_before_the_word_of_it() -> None:
    site = ToySite()
    machine = site.machine("a")
    machine.do(commands.PersistRecords(1), commands.PersistRecords(2))
    site.randomness.seed(SYNCED_SEED)
    machine.process.crash()
    machine.process.start()
    site.run(1.0)
    assert machine.role.written == [commands.PersistRecords(1)]
    assert machine.seen_of(events.RecordsPersisted) == []


def test_writes_that_come_during_one_share_the_next_commit() -> None:
    site = ToySite()
    machine = site.machine("a")
    machine.process.disk_slowness = 100.0
    machine.do(commands.PersistRecords(1))
    machine.do(commands.PersistRecords(2))
    machine.do(commands.PersistRecords(3))
    machine.process.disk_slowness = 1.0
    site.run(2.1)
    assert len(machine.seen_of(events.RecordsPersisted)) == 3


def test_a_refused_write_is_told_and_writes_nothing() -> None:
    site = ToySite()
    machine = site.machine("a")
    machine.process.disk_fails = True
    machine.do(commands.PersistRecords(1))
    site.run(1.0)
    assert machine.role.written == []
    assert len(machine.seen_of(events.RecordsFailed)) == 1


def test_after_a_refused_write_only_a_retry_is_taken() -> None:
    """Simulated seed 1042 of "five": a later write left a gap in a stored log."""
    site = ToySite()
    machine = site.machine("a")
    machine.role.retries = {3}
    machine.process.disk_fails = True
    machine.do(commands.PersistRecords(1))
    site.run(1.0)
    machine.process.disk_fails = False
    machine.do(commands.PersistRecords(2), commands.PersistRecords(3))
    site.run(1.0)
    assert machine.role.written == [commands.PersistRecords(3)]
    assert len(machine.seen_of(events.RecordsFailed)) == 2


def test_timers_fire_once_by_the_machines_own_clock() -> None:
    site = ToySite()
    machine = site.machine("a")
    machine.do(commands.SetTimer("late", 10.0), commands.SetTimer("never", 1.0))
    machine.do(commands.CancelTimer("never"))
    machine.process.jump_clock(9.5)
    site.run(0.4)
    assert events.TimerFired("late") not in machine.seen
    site.run(0.2)
    site.run(20.0)
    assert machine.seen.count(events.TimerFired("late")) == 1
    assert events.TimerFired("never") not in machine.seen
