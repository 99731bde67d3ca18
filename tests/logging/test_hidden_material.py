"""No text form of a message and no log line shows values of type bytes."""

from __future__ import annotations

import base64
import json
import logging
import typing

import pytest
from hypothesis import given
from hypothesis import strategies as st

from peppershore.connection.codec import MESSAGE_TYPES
from peppershore.connection.messages.base import Message
from peppershore.connection.messages.relay import CommittedEdit
from peppershore.process.commands import Notice
from peppershore.process.control.redaction import (
    redact_edits,
    redact_tree,
)
from peppershore.process.logging import JsonLineFormatter, LogIdentity
from peppershore.version.model import (
    Edit,
    PutSecret,
    Secret,
    SecretGeneration,
    SecretResource,
    Tree,
)
from peppershore.version.resource_codec import encode_resource

MATERIAL = bytes(range(200, 232))
FORMS = (
    MATERIAL.hex(),
    base64.b64encode(MATERIAL).decode(),
    repr(MATERIAL)[2:-1],
    repr(list(MATERIAL))[1:-1],
)


class MessageSeen(Notice, frozen=True):
    message: object


def assert_hidden(text: str) -> None:
    for form in FORMS:
        assert form not in text
    assert MATERIAL.decode("latin-1") not in text


def build(kind: type[Message]) -> st.SearchStrategy[Message]:
    hints = typing.get_type_hints(kind)
    fields = {name: st.from_type(hints[name]) for name in kind.__struct_fields__}
    return st.builds(kind, **fields)


@pytest.fixture(scope="module", autouse=True)
def bytes_are_material() -> typing.Iterator[None]:
    st.register_type_strategy(bytes, st.just(MATERIAL))
    yield
    st.register_type_strategy(bytes, st.binary())


@pytest.mark.parametrize("kind", MESSAGE_TYPES, ids=lambda kind: kind.__name__)
def test_messages_hide_bytes_in_text_and_log_lines(kind: type[Message]) -> None:
    @given(build(kind))
    def check(message: Message) -> None:
        assert_hidden(repr(message))
        record = logging.LogRecord("absl", logging.INFO, "f", 1, "e", None, None)
        record.peppershore_fields = MessageSeen(message)
        line = JsonLineFormatter(LogIdentity("relay", "r1")).format(record)
        json.loads(line)
        assert_hidden(line)

    check()


def test_encoded_secret_is_hidden() -> None:
    generations = (SecretGeneration(1, MATERIAL),)
    resource = encode_resource(SecretResource("key", generations, 1))
    assert MATERIAL in resource.payload
    assert_hidden(repr(resource))
    assert "key" in repr(resource)


def test_operators_get_trees_and_edits_without_material() -> None:
    secret = Secret((SecretGeneration(1, MATERIAL),), 1)
    tree = redact_tree(Tree("refund", 1, {}, {}, {"key": secret}))
    edit = Edit("id", (PutSecret("key", MATERIAL),))
    shown = redact_edits((CommittedEdit(1, edit),))[0].edit
    assert tree.secrets["key"].generations[0].material != MATERIAL
    assert all(getattr(item, "material", b"") != MATERIAL for item in shown.operations)
    assert tree.secrets["key"].signing_generation == 1
