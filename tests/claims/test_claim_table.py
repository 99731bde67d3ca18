"""The claims table: one attempt per key, bounded size, and unchanged by a restore."""

from hypothesis import given
from hypothesis import strategies as st

from peppershore.connection.messages.claims import KeptAnswer
from peppershore.process.claims.entries import (
    ClaimEntry,
    ClockAdvanced,
    CompletionEntry,
    Granted,
    ReleaseEntry,
    TableEntry,
    TableFull,
    Taken,
    decode_entry,
    encode_entry,
)
from peppershore.process.claims.records import answer_size
from peppershore.process.claims.table import ClaimTable

HORIZON = 1_000
ANSWER = KeptAnswer(200, (("content-type", "text/plain"),), b"paid")


def table(max_records: int = 100) -> ClaimTable:
    return ClaimTable(HORIZON, max_records)


def test_second_attempt_is_refused_and_hears_the_kept_answer():
    claims = table()
    assert claims.apply_entry(ClaimEntry("pay-1", "a")) == Granted()
    assert claims.apply_entry(ClaimEntry("pay-1", "b")) == Taken(None)
    claims.apply_entry(CompletionEntry("pay-1", "a", ANSWER))
    assert claims.apply_entry(ClaimEntry("pay-1", "b")) == Taken(ANSWER)


def test_asking_again_with_the_same_attempt_is_granted_again_until_it_finished():
    claims = table()
    claims.apply_entry(ClaimEntry("pay-1", "a"))
    assert claims.apply_entry(ClaimEntry("pay-1", "a")) == Granted()
    claims.apply_entry(CompletionEntry("pay-1", "a", ANSWER))
    assert claims.apply_entry(ClaimEntry("pay-1", "a")) == Taken(ANSWER)


def test_only_the_holder_releases_and_not_after_its_answer():
    claims = table()
    claims.apply_entry(ClaimEntry("pay-1", "a"))
    claims.apply_entry(ReleaseEntry("pay-1", "b"))
    assert claims.apply_entry(ClaimEntry("pay-1", "c")) == Taken(None)
    claims.apply_entry(ReleaseEntry("pay-1", "a"))
    assert claims.apply_entry(ClaimEntry("pay-1", "c")) == Granted()
    claims.apply_entry(CompletionEntry("pay-1", "c", ANSWER))
    claims.apply_entry(ReleaseEntry("pay-1", "c"))
    assert claims.apply_entry(ClaimEntry("pay-1", "d")) == Taken(ANSWER)


def test_a_record_stays_for_its_horizon_and_goes_after_it():
    claims = table()
    claims.apply_entry(ClaimEntry("pay-1", "a"))
    claims.apply_entry(ClockAdvanced(HORIZON))
    assert claims.apply_entry(ClaimEntry("pay-1", "b")) == Taken(None)
    claims.apply_entry(ClockAdvanced(1))
    assert claims.apply_entry(ClaimEntry("pay-1", "b")) == Granted()


def test_a_clock_that_goes_back_forgets_nothing():
    claims = table()
    claims.apply_entry(ClaimEntry("pay-1", "a"))
    claims.apply_entry(ClockAdvanced(-5 * HORIZON))
    claims.apply_entry(ClockAdvanced(HORIZON))
    assert claims.apply_entry(ClaimEntry("pay-1", "b")) == Taken(None)


def test_a_full_table_refuses_instead_of_forgetting():
    claims = table(max_records=1)
    claims.apply_entry(ClaimEntry("pay-1", "a"))
    assert claims.apply_entry(ClaimEntry("pay-2", "a")) == TableFull()
    assert claims.apply_entry(ClaimEntry("pay-1", "b")) == Taken(None)


def test_kept_answers_are_bounded_and_their_records_stay():
    claims = ClaimTable(HORIZON, max_answer_bytes=answer_size(ANSWER))
    for key in ("pay-1", "pay-2"):
        claims.apply_entry(ClaimEntry(key, "a"))
        claims.apply_entry(CompletionEntry(key, "a", ANSWER))
    assert claims.apply_entry(ClaimEntry("pay-2", "b")) == Taken(ANSWER)
    assert claims.apply_entry(ClaimEntry("pay-1", "b")) == Taken(None)
    assert claims.apply_entry(ClaimEntry("pay-1", "a")) == Taken(None)


KEYS = st.sampled_from(["k1", "k2"])
ATTEMPTS = st.sampled_from(["a", "b", "c"])
ENTRIES: st.SearchStrategy[TableEntry] = st.one_of(
    st.builds(ClaimEntry, KEYS, ATTEMPTS),
    st.builds(CompletionEntry, KEYS, ATTEMPTS, st.sampled_from([None, ANSWER])),
    st.builds(ReleaseEntry, KEYS, ATTEMPTS),
    st.builds(ClockAdvanced, st.integers(0, HORIZON)),
)


@given(st.lists(ENTRIES, max_size=60), st.integers(0, 60))
def test_no_two_attempts_hold_a_key_and_a_restore_changes_nothing(entries, restore_at):
    claims = table(max_records=2)
    holders: dict[str, tuple[str, int]] = {}
    clock = 0
    for position, entry in enumerate(entries):
        if position == restore_at:
            copy = table(max_records=2)
            copy.restore(claims.snapshot())
            assert copy.snapshot() == claims.snapshot()
            claims = copy
        answer = claims.apply_entry(decode_entry(encode_entry(entry)))
        match entry:
            case ClockAdvanced():
                clock += entry.milliseconds
            case ReleaseEntry() if holders.get(entry.key, ("", 0))[0] == entry.attempt:
                del holders[entry.key]
            case ClaimEntry() if answer == Granted():
                holder, since = holders.get(entry.key, (entry.attempt, clock))
                assert holder == entry.attempt or clock - since > HORIZON
                if holder != entry.attempt or entry.key not in holders:
                    since = clock
                holders[entry.key] = (entry.attempt, since)
            case _:
                pass
