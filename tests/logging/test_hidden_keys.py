"""No output for people or logs contains a tenant's key or its digest.

Only the configuration that operators read back contains the keys.
"""

from __future__ import annotations

import json
import logging
import traceback
from collections.abc import Iterator

import msgspec
import pytest
from tests.consensus.self_kept_cluster import SelfKeptCluster, configuration

from peppershore.command.history import describe
from peppershore.command.tenant_commands import explain_tenant
from peppershore.command.tenant_keys import fingerprints, read_keys
from peppershore.command.tree_output import tenant_rows, view_tree
from peppershore.connection.messages.operators import StatusAnswered, TreeAnswered
from peppershore.connection.messages.relay import CommittedEdit
from peppershore.process.commands import Notice
from peppershore.process.configuration_page import configuration_page
from peppershore.process.control.redaction import (
    redact_edits,
    redact_tree,
)
from peppershore.process.control.releases import (
    ReleaseAccepted,
    ReleaseInvalid,
    ReleaseRead,
    ReleaseSubmitted,
)
from peppershore.process.logging import JsonLineFormatter, LogIdentity
from peppershore.process.status_page import render_status
from peppershore.version.catalog import ScopeCatalog
from peppershore.version.difference import compare_trees
from peppershore.version.model import ChangeTenantKeys, Edit, Scope, SetTenant, Tree
from peppershore.version.resource_codec import decode_resource
from peppershore.version.snapshot import open_snapshot
from peppershore.version.tenant_definitions import TenantDefinition
from peppershore.version.tenant_keys import change_keys
from peppershore.version.tenants import key_digest, key_fingerprint
from peppershore.version.tree import apply_edit, empty_tree
from peppershore.version.tree_file import tree_to_toml
from peppershore.version.whole_configuration import (
    WholeConfiguration,
    edit_of,
    encode_configuration,
    find_problems,
)

KEY = "open-sesame-5d41402abc"
OTHER_KEY = "let-me-in-7b52009b64"


def keyed(
    *keys: str, version: int = 1, base: int = 0, **more: object
) -> WholeConfiguration:
    """Return a small configuration with a tenant that has these keys."""
    tenants = {"studio": TenantDefinition(keys, 350, 100)} | more
    return msgspec.structs.replace(configuration(version, base), tenants=tenants)


def two_trees() -> tuple[Tree, Tree, Edit]:
    empty = empty_tree("mesh")
    first = edit_of(empty, keyed(KEY))
    before = apply_edit(empty, first, 1).unwrap().tree
    second = edit_of(before, keyed(KEY, OTHER_KEY, version=2, base=1))
    return before, apply_edit(before, second, 2).unwrap().tree, second


def assert_hidden(text: str) -> None:
    for key in (KEY, OTHER_KEY):
        assert key not in text
        assert key_digest(key.encode()).hex() not in text


class Seen(Notice, frozen=True):
    value: object


def log_line(value: object) -> str:
    record = logging.LogRecord("absl", logging.INFO, "f", 1, "e", None, None)
    record.peppershore_fields = Seen(value)
    return JsonLineFormatter(LogIdentity("control", "c1")).format(record)


def texts() -> Iterator[tuple[str, str]]:
    before, after, edit = two_trees()
    shown = redact_tree(after)
    seen_edit = redact_edits((CommittedEdit(2, edit),))[0].edit
    catalog = ScopeCatalog()
    catalog.load(after)
    active = open_snapshot(catalog.snapshot(Scope("kassa", "pasila")))
    status = StatusAnswered("mesh", "c1", "c1", 2, 2, (), (), ())
    wrong = keyed(KEY, other=TenantDefinition((KEY, ""), -1))
    yield "tree answer", msgspec.json.encode(TreeAnswered(shown)).decode()
    yield "history answer", msgspec.json.encode(seen_edit).decode()
    yield "history line", "".join(map(describe, seen_edit.operations))
    yield "history line of an open edit", "".join(map(describe, edit.operations))
    change = ChangeTenantKeys("studio", (OTHER_KEY,), (key_fingerprint(KEY),))
    of_keys = Edit("id", (change,))
    seen_change = redact_edits((CommittedEdit(2, of_keys),))[0].edit
    yield "changed keys", repr(of_keys)
    yield "history answer of changed keys", msgspec.json.encode(seen_change).decode()
    yield (
        "history line of changed keys",
        describe(change) + describe(*seen_change.operations),
    )
    yield "log line of changed keys", log_line(of_keys)
    yield "refused keys", repr(change_keys((KEY,), (KEY, KEY), (OTHER_KEY,)))
    yield "fingerprints asked for", repr(fingerprints((KEY,)))
    yield "file that is none", repr(read_keys((KEY,)))
    yield "explained", msgspec.json.encode(explain_tenant(after, "studio")).decode()
    yield "table of tenants", repr(tenant_rows(view_tree(after).tenants))
    yield "difference", repr(compare_trees(before, after))
    yield "difference of hidden trees", repr(compare_trees(shown, after))
    yield "tree view", msgspec.json.encode(view_tree(after)).decode()
    yield "tree file", tree_to_toml(after, with_material=True)
    yield "status page", render_status(status, after)
    yield "node's page", configuration_page("n1", active).body.decode()
    yield "problems", repr(find_problems(wrong))
    yield "edit", repr(edit)
    yield "tree", repr(after)
    yield "held", repr(active)
    yield "resources", repr([decode_resource(each) for each in resources(catalog)])
    yield "configuration", repr(wrong)
    yield "submitted", repr(ReleaseSubmitted(1, wrong))
    yield "read", repr(ReleaseRead(wrong))
    for value in (edit, after, wrong, active):
        yield f"log line of {type(value).__name__}", log_line(value)
        yield f"traceback of {type(value).__name__}", traceback_of(value)


def resources(catalog: ScopeCatalog) -> list[object]:
    return list(catalog.snapshot(Scope("kassa", "pasila")).resources.values())


def traceback_of(value: object) -> str:
    try:
        raise AssertionError(f"broken by {value}")
    except AssertionError:
        return traceback.format_exc()


@pytest.mark.parametrize("text", [pytest.param(text, id=name) for name, text in texts()])
def test_no_text_holds_a_key(text: str) -> None:
    assert text
    assert_hidden(text)


def test_a_changed_key_is_seen_by_its_fingerprint() -> None:
    before, after, edit = two_trees()
    hidden = compare_trees(redact_tree(before), redact_tree(after))
    assert hidden == compare_trees(before, after)
    assert [each.subject for each in hidden] == ["tenant:studio"]
    assert key_fingerprint(OTHER_KEY) in hidden[0].after
    assert key_fingerprint(OTHER_KEY) in "".join(map(describe, edit.operations))
    assert "keys" not in describe(SetTenant("studio", 5)), "unchanged keys are not shown"


def test_changed_keys_are_shown_by_fingerprints() -> None:
    change = ChangeTenantKeys("studio", (OTHER_KEY,), (key_fingerprint(KEY),))
    expected = f"tenant keys studio +{key_fingerprint(OTHER_KEY)} -{key_fingerprint(KEY)}"
    assert describe(change) == expected
    hidden = redact_edits((CommittedEdit(2, Edit("id", (change,))),))[0]
    assert describe(*hidden.edit.operations) == expected


def test_the_status_page_counts_tenants() -> None:
    _, after, _ = two_trees()
    status = StatusAnswered("mesh", "c1", "c1", 2, 2, (), (), ())
    assert "Tenants: 1." in render_status(status, after)
    assert "Tenants" not in render_status(status, empty_tree("mesh"))


def test_the_operators_read_their_keys_back() -> None:
    assert KEY.encode() in encode_configuration(keyed(KEY))


def test_group_stores_and_returns_keys_but_logs_none() -> None:
    cluster = SelfKeptCluster(("a", "b", "c"))
    cluster.run_until(lambda: cluster.leader() is not None)
    assert isinstance(cluster.outcome(cluster.submit("b", keyed(KEY))), ReleaseAccepted)
    shared = keyed(KEY, version=2, base=1, other=TenantDefinition((KEY,)))
    refused = cluster.outcome(cluster.submit("c", shared))
    assert isinstance(refused, ReleaseInvalid)
    assert "shares a key" in refused.problems[0].reason
    read = cluster.outcome(cluster.ask("c"))
    assert isinstance(read, ReleaseRead)
    assert read.configuration == msgspec.structs.replace(keyed(KEY), base=0)
    noticed = [each for name in "abc" for each in cluster.replicas[name].notices]
    assert any("Release" in type(notice).__name__ for notice in noticed)
    for notice in noticed:
        assert_hidden(repr(notice) + json.dumps(log_line(notice)))
