"""Answer fields that a node has no use for are named once, and not without bound."""

from __future__ import annotations

from peppershore.request.back_ends.unused_fields import MAX_NAMES, UnusedFields
from peppershore.request.wire_names import WireNames

NAMES = WireNames(load=b"x-load", signature=b"x-signature")


def test_a_field_that_the_node_does_not_use_is_named_once() -> None:
    unused = UnusedFields(NAMES)
    answer = [(b"date", b"now"), (b"x-load", b"1,0,5"), (b"x-rate", b"13.2")]
    assert unused.find(answer) == ("x-rate",)
    assert unused.find([*answer, (b"x-other", b"1")]) == ("x-other",)


def test_a_back_end_that_makes_up_names_fills_no_memory() -> None:
    unused = UnusedFields(NAMES)
    found = [unused.find([(b"x-%d" % number, b"")]) for number in range(MAX_NAMES + 9)]
    assert sum(map(len, found)) == MAX_NAMES
