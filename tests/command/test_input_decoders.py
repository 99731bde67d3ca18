"""Arbitrary arguments and edit files yield a value or problems, never an exception."""

from __future__ import annotations

import tomli_w
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from peppershore.command.edit_file import parse_edit_file
from peppershore.command.edit_options import read_revisions
from peppershore.command.values import OVERRIDE_NAMES, describe_type, read_assignments
from peppershore.version.model import (
    ExpectedRevision,
    Overrides,
    RemoveNode,
    SetOverrides,
    UnsetOverrides,
)
from peppershore.version.resolve import set_values

names = st.one_of(st.sampled_from(OVERRIDE_NAMES), st.text(max_size=8))
texts = st.one_of(st.text(max_size=12), st.integers().map(str), st.booleans().map(str))
assignments = st.lists(
    st.one_of(st.text(max_size=20), st.builds("{}={}".format, names, texts)), max_size=6
).map(tuple)


@given(assignments)
def test_assignments_are_read_whole_or_not_at_all(given_texts: tuple[str, ...]) -> None:
    read = read_assignments(given_texts)
    if isinstance(read, Success):
        wanted = {text.partition("=")[0] for text in given_texts}
        assert set(set_values(read.unwrap())) == wanted
        assert len(wanted) == len(given_texts)
    else:
        assert read.failure()
        assert all(problem.reason and problem.allowed for problem in read.failure())


def test_every_setting_can_be_given_and_is_described() -> None:
    samples = {
        "methods": ("GET, PUT", ("GET", "PUT")),
        "audience": ("member", ("member",)),
        "calls": ("", ()),
        "call_class": ("bulk", "bulk"),
        "hop": ("owner", "owner"),
        "path_prefix": ("/a=b", "/a=b"),
        "target": ("kassa", "kassa"),
        "verify_secret": ("", ""),
        "sign_secret": ("key", "key"),
        "repeatable": ("Yes", True),
        "require_ready": ("off", False),
        "spill_over": ("0", False),
        "host": ("refund.example", "refund.example"),
        "splits": ("kassa=1,kuitti=2", ("kassa=1", "kuitti=2")),
        "retry_errors": ("on", True),
        "streamed_bodies": ("on", True),
        "large_answers": ("on", True),
        "keyless": ("on", True),
        "holds_every_service": ("on", True),
        "health_path": ("/health", "/health"),
        "backend_protocol": ("h1", "h1"),
        "backend_tls": ("no", False),
    }
    for name in OVERRIDE_NAMES:
        text, value = samples.get(name, ("12", 12))
        read = read_assignments((f"{name}={text}",))
        assert getattr(read.unwrap(), name) == value
        assert describe_type(name)


def test_numbers_are_not_switches_and_switches_not_numbers() -> None:
    for text in ("slots=true", "repeatable=12", "slots=1.5", "slots=", "call_class=x"):
        assert isinstance(read_assignments((text,)), Failure)


operation = st.fixed_dictionaries(
    {"type": st.sampled_from(["set", "unset", "remove", "set_zone", "put_secret", "x"])},
    optional={
        "path": texts,
        "names": st.lists(names, max_size=2),
        "overrides": st.dictionaries(names, texts, max_size=2),
        "name": texts,
        "region": texts,
        "material": texts,
    },
)


@given(
    st.fixed_dictionaries(
        {"operations": st.one_of(st.lists(operation, max_size=3), texts)},
        optional={"comment": st.one_of(texts, st.integers(0, 9)), "other": texts},
    )
)
def test_arbitrary_edit_files_give_operations_or_problems(table: dict[str, object]) -> None:
    read = parse_edit_file(tomli_w.dumps(table))
    if isinstance(read, Success):
        wanted = table["operations"]
        assert isinstance(wanted, list)
        assert len(read.unwrap().operations) == len(wanted) > 0
    else:
        assert read.failure().problems


@given(st.text(max_size=100))
def test_arbitrary_text_is_no_reason_to_stop(text: str) -> None:
    assert isinstance(parse_edit_file(text), Success | Failure)


def test_edit_file_is_read_in_order() -> None:
    text = """
    comment = "why"
    operations = [
        { type = "remove", path = "/a" },
        { type = "set", path = "/b", overrides = { slots = 1 } },
        { type = "unset", path = "/c", names = ["slots"] },
    ]
    """
    file = parse_edit_file(text).unwrap()
    assert file.operations == (
        RemoveNode("/a"),
        SetOverrides("/b", Overrides(slots=1)),
        UnsetOverrides("/c", ("slots",)),
    )
    assert file.comment == "why"


def test_edit_file_takes_no_key_material() -> None:
    text = 'operations = [{ type = "put_secret", name = "a", material = "c2VjcmV0" }]'
    assert "c2VjcmV0" not in str(parse_edit_file(text).failure())


def test_expected_revisions() -> None:
    assert read_revisions(("5",), ("/a",)).unwrap() == (ExpectedRevision("/a", 5),)
    both = read_revisions(("/a=5", "zone:b=0"), ("/a", "zone:b"))
    assert both.unwrap() == (ExpectedRevision("/a", 5), ExpectedRevision("zone:b", 0))
    for text, subjects in ((("5",), ("/a", "/b")), (("x",), ("/a",)), (("-1",), ("/a",))):
        assert isinstance(read_revisions(text, subjects), Failure)
