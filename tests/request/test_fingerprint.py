"""Which parts of a request its fingerprint depends on."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from peppershore.connection.http_head import RequestHead
from peppershore.request.fingerprint import BODY_BYTES, Fingerprint, identity_of

HEAD = RequestHead(b"GET", b"/a/1?b=2", [(b"host", b"Kassa.example:80")], 0)


def head(**changes: object) -> RequestHead:
    fields = {"method": b"GET", "target": b"/a/1?b=2", "host": b"kassa.example"} | changes
    return RequestHead(
        method=fields["method"],
        target=fields["target"],
        headers=[(b"host", fields["host"]), (b"x-request-id", b"other")],
        content_length=0,
    )


def test_id_and_spelling_of_the_host_do_not_count() -> None:
    assert identity_of(head(), "till") == identity_of(HEAD, "till")


@pytest.mark.parametrize(
    "other",
    [head(method=b"POST"), head(target=b"/a/1?b=3"), head(host=b"kuitti.example")],
)
def test_method_path_query_and_host_count(other: RequestHead) -> None:
    assert identity_of(other, "till") != identity_of(HEAD, "till")


def test_another_caller_never_has_the_same_fingerprint() -> None:
    assert identity_of(HEAD, "till") != identity_of(HEAD, "kiosk")
    assert identity_of(head(target=b"/ab"), "c") != identity_of(head(target=b"/a"), "bc")


@given(st.binary(max_size=200), st.lists(st.integers(0, 200), max_size=5))
def test_the_pieces_of_a_body_do_not_count(body: bytes, cuts: list[int]) -> None:
    whole, pieces = Fingerprint(b"i"), Fingerprint(b"i")
    whole.add(body)
    places = [0, *sorted(min(cut, len(body)) for cut in cuts), len(body)]
    for begin, end in zip(places, places[1:], strict=False):
        pieces.add(body[begin:end])
    whole.end()
    pieces.end()
    assert whole.key == pieces.key


def test_a_large_body_is_known_before_its_end() -> None:
    large, larger = Fingerprint(b"i"), Fingerprint(b"i")
    large.add(b"x" * BODY_BYTES)
    assert large.is_known
    larger.add(b"x" * (BODY_BYTES + 1))
    assert large.key == larger.key


def test_an_empty_body_is_known_once_it_ends() -> None:
    empty = Fingerprint(b"i")
    assert not empty.is_known
    empty.end()
    assert empty.is_known
    assert empty.key == b"i"
