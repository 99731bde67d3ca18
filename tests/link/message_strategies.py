"""Hypothesis strategies for messages of every type, with integers that can be encoded."""

from __future__ import annotations

import typing
from types import UnionType

import msgspec
from hypothesis import strategies as st

from peppershore.connection.messages.base import Message

INTEGERS = st.one_of(st.integers(0, 50), st.integers(-(2**63), 2**64 - 1))
NAMES = ("refund", "control-1", "claims-1", "relay-1", "kassa-1", "kassa", "pasila", "")
TEXTS = st.one_of(st.sampled_from(NAMES), st.text(max_size=8))
MAX_ITEMS = 3


def messages_of(kind: type[Message]) -> st.SearchStrategy[Message]:
    """Return a strategy for messages of one type; their content need not be valid."""
    return structures_of(kind)


def structures_of(kind: type[typing.Any]) -> st.SearchStrategy[typing.Any]:
    hints = typing.get_type_hints(kind)
    fields = {name: values_of(hints[name]) for name in kind.__struct_fields__}
    return st.builds(kind, **fields)


def values_of(hint: typing.Any) -> st.SearchStrategy[typing.Any]:
    """Return a strategy for values of a type; integers stay in the range of MessagePack."""
    if hint is int:
        return INTEGERS
    if hint is str:
        return TEXTS
    if isinstance(hint, type) and issubclass(hint, msgspec.Struct):
        return st.deferred(lambda: structures_of(hint))
    arguments = typing.get_args(hint)
    origin = typing.get_origin(hint)
    if origin in (typing.Union, UnionType):
        return st.one_of([values_of(each) for each in arguments])
    if origin is tuple and arguments[-1] is Ellipsis:
        return st.lists(values_of(arguments[0]), max_size=MAX_ITEMS).map(tuple)
    if origin is tuple:
        return st.tuples(*map(values_of, arguments))
    if origin is dict:
        keys, values = map(values_of, arguments)
        return st.dictionaries(keys, values, max_size=MAX_ITEMS)
    return st.from_type(hint)
