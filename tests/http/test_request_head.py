"""Strict checks of a request's raw head."""

from __future__ import annotations

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from peppershore.connection.http_head import (
    MAX_HEAD_BYTES,
    check_request_head,
    end_to_end_headers,
)

REFUSED = {
    "bare line feed": (b"GET / HTTP/1.1\nhost: x\r\n\r\n", "bare-line-feed"),
    "line feed ends head": (b"GET / HTTP/1.1\r\nhost: x\n\n", "bare-line-feed"),
    "bare carriage return": (
        b"GET / HTTP/1.1\r\nhost: x\ry\r\n\r\n",
        "bare-carriage-return",
    ),
    "null byte": (b"GET / HTTP/1.1\r\nhost: x\x00\r\n\r\n", "null-byte"),
    "folded by space": (b"GET / HTTP/1.1\r\nhost: x\r\n y\r\n\r\n", "folded-line"),
    "folded by tab": (b"GET / HTTP/1.1\r\nhost: x\r\n\ty\r\n\r\n", "folded-line"),
    "space before colon": (b"GET / HTTP/1.1\r\nhost : x\r\n\r\n", "space-before-colon"),
    "tab before colon": (
        b"GET / HTTP/1.1\r\ncontent-length\t: 5\r\n\r\n",
        "space-before-colon",
    ),
    "both lengths": (
        b"POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
        "ambiguous-length",
    ),
    "both lengths, other order": (
        b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n",
        "ambiguous-length",
    ),
    "two lengths": (
        b"POST / HTTP/1.1\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\n",
        "ambiguous-length",
    ),
    "same length twice": (
        b"POST / HTTP/1.1\r\ncontent-length: 5\r\nContent-length: 5\r\n\r\n",
        "ambiguous-length",
    ),
    "length list": (
        b"POST / HTTP/1.1\r\ncontent-length: 5, 5\r\n\r\n",
        "bad-content-length",
    ),
    "negative length": (
        b"POST / HTTP/1.1\r\ncontent-length: -1\r\n\r\n",
        "bad-content-length",
    ),
    "plus length": (
        b"POST / HTTP/1.1\r\ncontent-length: +5\r\n\r\n",
        "bad-content-length",
    ),
    "hex length": (
        b"POST / HTTP/1.1\r\ncontent-length: 0x5\r\n\r\n",
        "bad-content-length",
    ),
    "empty length": (
        b"POST / HTTP/1.1\r\ncontent-length:\r\n\r\n",
        "bad-content-length",
    ),
    "endless length": (
        b"POST / HTTP/1.1\r\ncontent-length: " + b"9" * 30 + b"\r\n\r\n",
        "bad-content-length",
    ),
    "two encodings": (
        b"POST / HTTP/1.1\r\ntransfer-encoding: gzip, chunked\r\n\r\n",
        "unknown-transfer-encoding",
    ),
    "chunked twice": (
        b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n"
        b"transfer-encoding: chunked\r\n\r\n",
        "ambiguous-length",
    ),
    "disguised encoding": (
        b"POST / HTTP/1.1\r\ntransfer-encoding: xchunked\r\n\r\n",
        "unknown-transfer-encoding",
    ),
    "fields beyond the bound on the head": (
        b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * (MAX_HEAD_BYTES // 6) + b"\r\n",
        "head-too-large",
    ),
    "head too large": (b"GET /" + b"a" * MAX_HEAD_BYTES, "head-too-large"),
}


@pytest.mark.parametrize("name", REFUSED)
def test_ambiguous_heads_are_refused(name: str) -> None:
    received, reason = REFUSED[name]
    checked = check_request_head(received)
    assert isinstance(checked, Failure)
    assert checked.failure().reason == reason


@pytest.mark.parametrize("cut", [1, 20, 40])
def test_a_partial_head_is_incomplete(cut: int) -> None:
    complete = b"POST /pay HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\n"
    assert check_request_head(complete[:cut]) == Success(False)
    assert check_request_head(complete) == Success(True)


@given(st.binary(max_size=200))
def test_any_bytes_give_a_typed_result(received: bytes) -> None:
    checked = check_request_head(received)
    if checked == Success(True):
        head = received.partition(b"\r\n\r\n")[0]
        assert b"\n" not in head.replace(b"\r\n", b"")


PIECES = st.sampled_from(
    [
        b"content-length: 3\r\n",
        b"Content-Length: 4\r\n",
        b"transfer-encoding: chunked\r\n",
        b"transfer-encoding : chunked\r\n",
        b"host: x\r\n",
        b"x: y\r\n",
        b" folded\r\n",
        b"x: y\n",
    ]
)


@given(st.lists(PIECES, max_size=5))
def test_what_passes_has_one_framing_for_h11(fields: list[bytes]) -> None:
    head = b"POST / HTTP/1.1\r\n" + b"".join(fields) + b"\r\n"
    if check_request_head(head) != Success(True):
        return
    http = h11.Connection(h11.SERVER)
    http.receive_data(head)
    try:
        event = http.next_event()
    except h11.RemoteProtocolError:
        return
    assert isinstance(event, h11.Request)
    names = [name for name, _ in event.headers]
    framing = names.count(b"content-length") + names.count(b"transfer-encoding")
    assert framing <= 1
    assert framing == sum(b"ength" in f or b"encoding" in f for f in fields)


def test_hop_by_hop_fields_are_dropped() -> None:
    headers = [
        (b"host", b"x"),
        (b"connection", b"close, X-Secret"),
        (b"x-secret", b"1"),
        (b"keep-alive", b"5"),
        (b"te", b"trailers"),
        (b"upgrade", b"h2c"),
        (b"proxy-authorization", b"x"),
        (b"content-length", b"4"),
        (b"x-kept", b"2"),
    ]
    assert end_to_end_headers(headers) == [(b"host", b"x"), (b"x-kept", b"2")]
