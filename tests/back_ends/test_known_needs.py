"""What a node remembers of other nodes' back ends, whatever it hears later."""

from __future__ import annotations

from peppershore.connection.messages.calls import BackEndNeed
from peppershore.request.back_ends.known_needs import (
    MAX_BACK_ENDS,
    MAX_LEFT,
    UNIDENTIFIED_SECONDS,
    KnownNeeds,
)

LIMITED = BackEndNeed("i-1", calls_per_1000_seconds=5_000)
LEAVING = BackEndNeed("i-1", is_leaving=True)
NO_ENDPOINT = -1


def test_a_limit_holds_until_an_answer_comes_without_one() -> None:
    needs = KnownNeeds()
    assert not needs.heard("k1", 3, LIMITED, 10.0)
    assert needs.need("k1") == LIMITED
    needs.heard("k1", 3, None, 11.0)
    assert needs.need("k1") is None


def test_leaving_is_final_for_the_endpoint_and_its_name_is_kept() -> None:
    needs = KnownNeeds()
    assert needs.heard("k1", 3, LEAVING, 10.0)
    assert not needs.heard("k1", 3, LEAVING, 11.0)
    needs.heard("k1", 3, None, 12.0)
    assert needs.left_at("k1", 3, 1_000.0) == 10.0
    assert needs.left_at("k1", 4, 11.0) is None
    assert needs.left("k1") == ("i-1",)


def test_leaving_is_remembered_though_the_endpoint_is_not_known_now() -> None:
    """The name was lost if a limit of the same back end had been heard before."""
    needs = KnownNeeds()
    needs.heard("k1", NO_ENDPOINT, LIMITED, 10.0)
    assert needs.heard("k1", NO_ENDPOINT, LEAVING, 11.0)
    assert needs.left("k1") == ("i-1",)


def test_a_back_end_without_a_name_is_avoided_for_a_while_only() -> None:
    needs = KnownNeeds()
    needs.heard("k1", 3, BackEndNeed("", is_leaving=True), 10.0)
    assert needs.left_at("k1", 3, 10.0 + UNIDENTIFIED_SECONDS - 0.1) == 10.0
    assert needs.left_at("k1", 3, 10.0 + UNIDENTIFIED_SECONDS + 0.1) is None
    assert needs.left("k1") == ()


def test_memory_is_bounded() -> None:
    needs = KnownNeeds()
    for number in range(MAX_LEFT + 3):
        needs.heard("k1", number, BackEndNeed(f"i-{number}", is_leaving=True), 1.0)
    assert len(needs.left("k1")) == MAX_LEFT
    for number in range(MAX_BACK_ENDS + 10):
        needs.heard(f"n-{number}", 1, LIMITED, 1.0)
    known = sum(needs.need(f"n-{n}") is not None for n in range(MAX_BACK_ENDS + 10))
    assert known <= MAX_BACK_ENDS
