"""Settings: problems are reported all at once, and flags override the file.

Arbitrary input never raises an exception.
"""

from __future__ import annotations

from pathlib import Path

import pytest
import tomli_w
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from peppershore.process.settings import (
    ControlSettings,
    NodeSettings,
    QuotaSettings,
    RelaySettings,
)
from peppershore.process.settings_examples import EXAMPLES, meanings
from peppershore.process.settings_loader import (
    KINDS,
    Problems,
    load_settings,
    parse_settings,
)

CONTROL = """
cluster = "refund"
replica = "c1"
listen = "127.0.0.1:0"
data_folder = "data"
[[replicas]]
name = "c1"
address = "127.0.0.1:7001"
"""


def problems_of(text: str, flags: dict[str, object] | None = None) -> Problems:
    parsed = parse_settings(ControlSettings, text, flags or {})
    assert isinstance(parsed, Failure)
    return parsed.failure()


def test_flag_overrides_the_file() -> None:
    parsed = parse_settings(ControlSettings, CONTROL, {"log_level": "debug"})
    settings = parsed.unwrap()
    assert settings.log_level == "debug"
    assert settings.replicas[0].address == "127.0.0.1:7001"


def test_flags_alone_are_enough() -> None:
    flags = {
        "cluster": "refund",
        "relay": "r1",
        "zone": "pasila",
        "listen": "[::1]:0",
        "replicas": [{"name": "c1", "address": "127.0.0.1:7001"}],
    }
    assert load_settings(RelaySettings, None, flags).unwrap().listen == "[::1]:0"


def test_every_problem_is_listed_at_once_with_what_is_allowed() -> None:
    text = """
    cluster = ""
    replica = 7
    listen = "localhost:70000"
    replicas = [{ name = "c1", address = "127.0.0.1:0", extra = 1 }, 5]
    log_level = "loud"
    heartbeat_milliseconds = true
    colour = "red"
    [tls]
    key = "k"
    """
    problems = problems_of(text)
    assert {problem.key for problem in problems} == {
        "cluster",
        "replica",
        "listen",
        "data_folder",
        "replicas[0].address",
        "replicas[0].extra",
        "replicas[1]",
        "log_level",
        "heartbeat_milliseconds",
        "colour",
        "tls.certificate",
        "tls.authority",
    }
    assert all(problem.reason and problem.allowed for problem in problems)


@pytest.mark.parametrize(
    "address", ["127.0.0.1", "host:1", "::1:7", "127.0.0.1:99999", "127.0.0.1:+1", ":1"]
)
def test_bad_addresses_are_refused(address: str) -> None:
    problems = problems_of(CONTROL, {"listen": address})
    assert [problem.key for problem in problems] == ["listen"]


def test_settings_that_do_not_fit_together_are_refused() -> None:
    flags = {"replica": "c9", "election_milliseconds": 60}
    keys = [problem.key for problem in problems_of(CONTROL, flags)]
    assert keys == ["replicas", "election_milliseconds"]


def test_joining_replica_need_not_be_listed() -> None:
    flags = {"replica": "c9", "join": True}
    assert isinstance(parse_settings(ControlSettings, CONTROL, flags), Success)


def test_backend_needs_an_internal_listener() -> None:
    example = EXAMPLES["node"]
    parsed = parse_settings(NodeSettings, example, {"internal_listen": ""})
    assert isinstance(parsed, Failure)
    assert [problem.key for problem in parsed.failure()] == ["internal_listen"]


@pytest.mark.parametrize("role", sorted(KINDS))
def test_examples_are_usable(role: str) -> None:
    assert isinstance(parse_settings(KINDS[role], EXAMPLES[role], {}), Success)


@pytest.mark.parametrize("role", sorted(KINDS))
def test_examples_are_usable_with_tls(role: str) -> None:
    head, _, tls = EXAMPLES[role].partition("# [tls]")
    text = head + "[tls]" + tls.replace("\n# ", "\n")
    parsed = parse_settings(KINDS[role], text, {})
    assert parsed.unwrap().tls.authority == "keys/authority.crt"  # type: ignore[attr-defined]


def test_unreadable_files_are_problems(tmp_path: Path) -> None:
    missing = load_settings(ControlSettings, tmp_path / "none.toml", {})
    assert missing.failure()[0].reason.startswith("cannot be read")
    binary = tmp_path / "binary.toml"
    binary.write_bytes(b"\xff\xfe")
    assert load_settings(ControlSettings, binary, {}).failure()[0].reason == "is not text"


scalars = st.one_of(
    st.text(max_size=30), st.integers(), st.booleans(), st.floats(), st.dates(), st.times()
)
known_keys = st.sampled_from(
    sorted({name for kind in KINDS.values() for name in kind.__struct_fields__})
    + ["name", "address", "certificate"]
)
tables = st.recursive(
    scalars,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.one_of(known_keys, st.text(max_size=5)), inner, max_size=6),
    ),
    max_leaves=12,
)


@given(
    role=st.sampled_from(sorted(KINDS)),
    table=st.dictionaries(known_keys, tables, max_size=10),
)
def test_arbitrary_toml_never_raises(role: str, table: dict[str, object]) -> None:
    parsed = parse_settings(KINDS[role], tomli_w.dumps(table), {})
    assert isinstance(parsed, Success | Failure)
    if isinstance(parsed, Failure):
        assert all(problem.key and problem.reason for problem in parsed.failure())


@given(role=st.sampled_from(sorted(KINDS)), text=st.text(max_size=200))
def test_arbitrary_text_never_raises(role: str, text: str) -> None:
    assert isinstance(parse_settings(KINDS[role], text, {}), Success | Failure)


@given(
    key=st.sampled_from(
        [
            name
            for name in ControlSettings.__struct_fields__
            if name not in ("replicas", "tls")
        ]
    ),
    value=scalars,
)
def test_one_replaced_value_is_taken_or_named(key: str, value: object) -> None:
    parsed = parse_settings(ControlSettings, CONTROL, {key: value})
    if isinstance(parsed, Success):
        assert getattr(parsed.unwrap(), key) == value
    else:
        named = {problem.key for problem in parsed.failure()}
        assert named <= {key, "replicas", "election_milliseconds"}
        assert named


@pytest.mark.parametrize("role", sorted(KINDS))
def test_examples_show_every_setting_with_its_meaning(role: str) -> None:
    names = set(KINDS[role].__struct_fields__) - {"tls"}
    assert meanings(role).keys() >= names
    assert all(len(meanings(role)[name]) > 3 for name in names)


@pytest.mark.parametrize(
    ("text", "seconds"), [("6", 6.0), ("2.5", 2.5), ('"6"', None), ("nan", None)]
)
def test_a_number_may_be_whole_or_not(text: str, seconds: float | None) -> None:
    example = EXAMPLES["node"].replace(
        "stop_grace_seconds = 0.0", f"stop_grace_seconds = {text}"
    )
    parsed = parse_settings(NodeSettings, example, {})
    if seconds is None:
        (problem,) = parsed.failure()
        assert problem.key == "stop_grace_seconds"
    else:
        assert parsed.unwrap().stop_grace_seconds == seconds


QUOTAS = {"window_seconds": 5, "overshoot": 0.1, "slack": 20}


@pytest.mark.parametrize("role", ["control", "hub", "relay", "node"])
def test_quotas_are_given_to_every_role_that_counts(role: str) -> None:
    parsed = parse_settings(KINDS[role], EXAMPLES[role], {"quotas": QUOTAS})
    assert parsed.unwrap().quotas == QuotaSettings(  # type: ignore[attr-defined]
        window_seconds=5.0, overshoot=0.1, slack=20.0
    )
    assert parse_settings(KINDS[role], EXAMPLES[role], {}).unwrap().quotas is None  # type: ignore[attr-defined]


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("window_seconds", 0),
        ("window_seconds", -5),
        ("overshoot", -0.1),
        ("overshoot", 1.1),
        ("slack", -1),
        ("slack", float("nan")),
    ],
)
def test_quotas_out_of_range_are_named(key: str, value: float) -> None:
    problems = problems_of(CONTROL, {"quotas": QUOTAS | {key: value}})
    assert [problem.key for problem in problems] == [f"quotas.{key}"]


@pytest.mark.parametrize("value", [0, -1, 10**9])
def test_the_bound_on_revoked_keys_has_a_range(value: int) -> None:
    flags = {"revocation_milliseconds": value}
    problems = parse_settings(NodeSettings, EXAMPLES["node"], flags).failure()
    assert [problem.key for problem in problems] == ["revocation_milliseconds"]
