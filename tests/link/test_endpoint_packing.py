"""Packed endpoints survive a round trip; arbitrary bytes give an error."""

from __future__ import annotations

import hashlib

from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure

from peppershore.connection.codec import encode_message
from peppershore.connection.endpoint_packing import (
    DICTIONARY,
    pack_endpoints,
    unpack_endpoints,
)
from peppershore.connection.messages.endpoints import (
    Endpoint,
    EndpointsChanged,
    EndpointsPacked,
)

NAMES = st.text(max_size=20)
COUNTS = st.integers(0, 2**53)
MESSAGES = st.builds(
    EndpointsChanged,
    st.lists(
        st.builds(
            Endpoint,
            node=NAMES,
            service=NAMES,
            zone=NAMES,
            incarnation=COUNTS,
            sequence=COUNTS,
            state=st.sampled_from(["warming", "ready", "leaving", "gone"]),
            address=NAMES,
            owner_address=NAMES,
            slots=COUNTS,
            connections=COUNTS,
        )
    ).map(tuple),
    st.booleans(),
    st.lists(NAMES).map(tuple),
)


@given(MESSAGES)
def test_endpoints_are_the_same_after_unpacking(message: EndpointsChanged) -> None:
    assert unpack_endpoints(pack_endpoints(message)).unwrap() == message


@given(st.binary(max_size=300))
def test_garbage_gives_an_error_or_endpoints(data: bytes) -> None:
    outcome = unpack_endpoints(EndpointsPacked(data))
    assert isinstance(outcome, Failure) or isinstance(outcome.unwrap(), EndpointsChanged)


def test_all_endpoints_of_a_service_take_less_than_half_the_bytes() -> None:
    endpoints = tuple(
        Endpoint(
            node=f"kassa-{number}",
            service="kassa",
            zone="pasila",
            incarnation=1_764_660_000_000 + number * 86_413_777,
            sequence=2,
            state="ready",
            address=f"10.{number}.{number * 7 % 256}.{number * 31 % 256}:8080",
            owner_address=f"10.{number}.{number * 7 % 256}.{number * 31 % 256}:7443",
            slots=20,
            connections=130,
        )
        for number in range(29)
    )
    message = EndpointsChanged(endpoints, True, ("kassa",))
    packed = len(encode_message(pack_endpoints(message)))
    assert packed < len(encode_message(message)) / 2


def test_the_dictionary_is_part_of_the_protocol_and_does_not_change() -> None:
    known = "ea2673de946b948f120a7c36b8bfe059530aaa36d675516c03fa77da0b49be42"
    assert hashlib.sha256(DICTIONARY).hexdigest() == known
