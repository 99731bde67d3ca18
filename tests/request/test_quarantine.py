"""Which requests are suspected or held, for how long, and that all processes agree."""

from __future__ import annotations

from itertools import permutations

from hypothesis import given
from hypothesis import strategies as st

from peppershore.connection.messages.crashes import CrashRecord
from peppershore.request.quarantine import (
    HOLD_SECONDS,
    MAX_ENTRIES,
    MAX_HOLD_SECONDS,
    MAX_INCARNATIONS,
    RETENTION_SECONDS,
    Quarantine,
    Suspect,
    hold_seconds,
)
from peppershore.request.recent_keys import MAX_KEYS_PER_SET, RecentKeys

KEY = b"key-of-request"
REQUEST = Suspect(b"head", KEY)


def after(ends: int, at: float = 0.0) -> Quarantine:
    table = Quarantine()
    for number in range(ends):
        table.record_crash(REQUEST, f"life-{number}", at)
    return table


def test_one_crash_is_ignored_two_isolate_and_three_hold_a_request() -> None:
    standings = [after(ends).standing(KEY, 1.0) for ends in range(4)]
    assert standings == ["clear", "clear", "suspect", "held"]


def test_one_incarnation_counts_once_however_often_it_is_reported() -> None:
    table = Quarantine()
    for _ in range(5):
        table.record_crash(REQUEST, "life-0", 1.0)
    assert table.crash_count(KEY) == 1


def test_a_success_clears_a_request_and_outdates_earlier_records() -> None:
    table = after(3)
    late = table.record(KEY, 0.0)
    assert late is not None
    cleared = table.cleared(KEY, 1.0)
    assert cleared is not None
    assert not table.merge(late, 2.0)
    assert table.standing(KEY, 2.0) == "clear"
    assert table.cleared(KEY, 3.0) is None


def test_a_hold_ends_with_one_isolated_run_and_doubles_with_the_next_crash() -> None:
    table = after(3)
    assert table.hold_left_seconds(KEY, 1.0) == HOLD_SECONDS - 1.0
    assert table.standing(KEY, HOLD_SECONDS) == "suspect"
    table.record_crash(REQUEST, "life-of-trial", HOLD_SECONDS + 1.0)
    assert table.standing(KEY, HOLD_SECONDS + 2.0) == "held"
    assert table.hold_left_seconds(KEY, HOLD_SECONDS + 1.0) == 2 * HOLD_SECONDS
    assert hold_seconds(MAX_INCARNATIONS) == MAX_HOLD_SECONDS


def test_requests_not_sent_again_are_forgotten() -> None:
    table = after(2)
    table.forget_old(RETENTION_SECONDS - 1.0)
    assert len(table) == 1
    table.forget_old(RETENTION_SECONDS)
    assert len(table) == 0
    assert not table.concerns(REQUEST.identity)


def test_a_held_request_is_not_evicted_by_suspects() -> None:
    table = after(3)
    for number in range(2 * MAX_ENTRIES):
        table.record_crash(Suspect(b"h", b"k-%d" % number), "life-x", 1.0 + number)
    assert len(table) == MAX_ENTRIES
    assert table.standing(KEY, 1.0) == "held"


def test_only_the_head_of_a_suspect_is_matched() -> None:
    assert not after(1).concerns(REQUEST.identity)
    table = after(2)
    assert table.concerns(REQUEST.identity)
    assert not table.concerns(b"another head")
    table.cleared(KEY, 1.0)
    assert not table.concerns(REQUEST.identity)


def test_an_old_record_is_not_merged() -> None:
    table = after(2)
    record = table.record(KEY, RETENTION_SECONDS + 1.0)
    assert record is not None
    assert not Quarantine().merge(record, 0.0)


RECORDS = st.lists(
    st.builds(
        CrashRecord,
        identity=st.just(b"head"),
        key=st.sampled_from([b"k1", b"k2"]),
        generation=st.integers(0, 2),
        lives=st.lists(st.sampled_from("abcdef"), max_size=4, unique=True).map(tuple),
        age_milliseconds=st.just(0),
    ),
    max_size=4,
)


@given(RECORDS)
def test_whatever_the_order_and_however_often_all_agree(records: list[CrashRecord]) -> None:
    digests = set()
    for order in permutations(records):
        table = Quarantine()
        for record in (*order, *order):
            table.merge(record, 5.0)
        digests.add(table.digest())
    assert len(digests) == 1


def test_recent_keys_are_bounded_and_keep_the_newest() -> None:
    recent = RecentKeys()
    for number in range(5 * MAX_KEYS_PER_SET):
        recent.add(b"%d" % number)
    assert b"%d" % (5 * MAX_KEYS_PER_SET - 1) in recent
    assert b"%d" % (4 * MAX_KEYS_PER_SET) in recent
    assert b"0" not in recent
