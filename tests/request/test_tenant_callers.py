"""On whose behalf a call is made: by its key, or by the running call it belongs to.

Cases: a key without a tenant; a key that is removed, moved or added while calls wait; a
node that receives no confirmations; callers that share the back end's address.
"""

from __future__ import annotations

import math
from base64 import b64encode

import msgspec
import pytest
from returns.result import Failure, Result, Success

from peppershore.connection.http_head import HeaderList, RequestHead
from peppershore.process.node.data.call_entry import CallEntry, EntryPlan, Freshness
from peppershore.process.randomness import Randomness
from peppershore.process.settings import HeaderSettings, NodeSettings
from peppershore.request.outcome import NotRun
from peppershore.request.running_calls import RunningCalls
from peppershore.request.tenants.callers import OnBehalf
from peppershore.request.tenants.keys import MAX_KEY_BYTES, TenantKeys, shown_key
from peppershore.request.wire_names import WireNames
from peppershore.version.active import ActiveConfiguration
from peppershore.version.model import (
    RouteResource,
    RouteSettings,
    Scope,
    TenantResource,
)
from peppershore.version.tenants import key_digest

MACHINE = "10.0.0.5"
ELSEWHERE = "10.0.0.6"
NOW = 1_000.0
APPLY_SECONDS = 2.0
REVOCATION_SECONDS = 5.0
NAMES = WireNames(tenant=b"x-tenant")
KEYED = RouteSettings(path_prefix="/keyed", audience=("public",), priority=3)
KEYLESS = RouteSettings(path_prefix="/open", audience=("public",), keyless=True)
ROUTES = (
    RouteResource("kassa", "keyed", KEYED),
    RouteResource("kassa", "open", KEYLESS),
)


def tenant(name: str, *keys: bytes, priority: int | None = None) -> TenantResource:
    digests = tuple(key_digest(key) for key in keys)
    return TenantResource(name, digests, priority=priority)


def holding(*tenants: TenantResource) -> dict[str, TenantResource]:
    return {each.name: each for each in tenants}


ANNA = tenant("anna", b"key-a1", b"key-a2", priority=0)
BOB = tenant("bob", b"key-b")
BOTH = holding(ANNA, BOB)


def configured(tenants: dict[str, TenantResource]) -> ActiveConfiguration:
    return ActiveConfiguration(Scope("kassa", "a"), 3, 1, ROUTES, {}, {}, tenants)


class Entry:
    """The call entry of one node, with a configuration confirmed ``age_seconds`` ago."""

    def __init__(
        self,
        tenants: dict[str, TenantResource] = BOTH,
        age_seconds: float = 0.1,
        fail_closed: bool = False,
    ) -> None:
        settings = NodeSettings(
            cluster="mesh",
            node="n1",
            service="kassa",
            zone="a",
            listen=f"{MACHINE}:81",
            relays=(),
            internal_listen=f"{MACHINE}:82",
            admin_listen=f"{MACHINE}:83",
            backend=f"{MACHINE}:80",
            headers=HeaderSettings(request_id="x-request-id", deadline="x-deadline"),
            apply_milliseconds=APPLY_SECONDS * 1_000,
            revocation_milliseconds=REVOCATION_SECONDS * 1_000,
            fail_closed=fail_closed,
        )
        self.running = RunningCalls()
        self.freshness = Freshness()
        self.freshness.confirmed(NOW - age_seconds)
        self.entry = CallEntry(settings, self.freshness, Randomness(1), NAMES)
        self.use(tenants)

    def use(self, tenants: dict[str, TenantResource]) -> None:
        self.active = configured(tenants)
        self.entry.use_configuration(self.active)

    def head(
        self, fields: HeaderList, path: bytes = b"/keyed", peer: str = ELSEWHERE
    ) -> RequestHead:
        return RequestHead(b"GET", path, fields, 0, peer_address=peer)

    def plan(self, head: RequestHead, now: float = NOW) -> Result[EntryPlan, NotRun]:
        return self.entry.plan(self.active, head, now, self.running)

    def forwarded(self, head: RequestHead) -> HeaderList:
        plan = self.plan(head).unwrap().plan
        return self.entry.forwarded_headers(self.active, head, b"id", plan)


def bearer(key: bytes) -> HeaderList:
    return [(b"authorization", b"Bearer " + key)]


def refused(result: Result[EntryPlan, NotRun]) -> tuple[int, str]:
    assert isinstance(result, Failure)
    refusal = result.failure()
    return refusal.status, refusal.reason


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"Bearer abc", b"abc"),
        (b"bEARER   abc \t", b"abc"),
        (b"Bearer", b""),
        (b"Bearer ", b""),
        (b"Bearer a b", b""),
        (b"Bearer a\tb", b""),
        (b"Bearerabc", b""),
        (b"Basic abc", b""),
        (b"abc", b""),
        (b"", b""),
        (b"Bearer " + b"k" * MAX_KEY_BYTES, b"k" * MAX_KEY_BYTES),
        (b"Bearer " + b"k" * (MAX_KEY_BYTES + 1), b""),
    ],
)
def test_a_key_is_read_in_one_form_only(value: bytes, expected: bytes) -> None:
    assert shown_key([(b"authorization", value)]) == expected


def test_two_authorization_fields_are_no_key() -> None:
    assert shown_key([*bearer(b"key-a1"), *bearer(b"key-b")]) == b""
    assert shown_key([]) == b""


def test_each_key_names_its_tenant_and_counts() -> None:
    entry = Entry()
    for key, name, priority in ((b"key-a1", "anna", 0), (b"key-b", "bob", 3)):
        plan = entry.plan(entry.head(bearer(key))).unwrap().plan
        assert (plan.tenant, plan.is_counted, plan.priority) == (name, True, priority)


@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        ([], "no-key"),
        ([(b"authorization", b"Basic key-a1")], "no-key"),
        (bearer(b"key-c"), "unknown-key"),
        (bearer(key_digest(b"key-a1").hex().encode()), "unknown-key"),
        (bearer(b64encode(key_digest(b"key-a1"))), "unknown-key"),
        ([(b"x-tenant", b"anna")], "no-key"),
    ],
)
def test_a_caller_without_a_known_key_is_refused(fields: HeaderList, reason: str) -> None:
    entry = Entry()
    assert refused(entry.plan(entry.head(fields))) == (401, reason)


def test_a_refusal_is_final_only_with_a_confirmed_configuration() -> None:
    entry = Entry(age_seconds=APPLY_SECONDS + 0.1)
    for fields in ([], bearer(b"key-c")):
        refusal = refused(entry.plan(entry.head(fields)))
        assert refusal == (503, "configuration-not-confirmed")


@pytest.mark.parametrize(
    ("fail_closed", "age_seconds", "admitted"),
    [
        (False, REVOCATION_SECONDS - 0.1, True),
        (False, REVOCATION_SECONDS + 0.1, True),
        (False, 3_600.0, True),
        (True, REVOCATION_SECONDS - 0.1, True),
        (True, REVOCATION_SECONDS + 0.1, False),
    ],
)
def test_known_keys_at_a_node_without_confirmations(
    fail_closed: bool, age_seconds: float, admitted: bool
) -> None:
    entry = Entry(age_seconds=age_seconds, fail_closed=fail_closed)
    result = entry.plan(entry.head(bearer(b"key-b")))
    if admitted:
        assert result.unwrap().plan.tenant == "bob"
    else:
        assert refused(result) == (503, "keys-not-confirmed")
    assert isinstance(entry.plan(entry.head([], b"/open")), Success)


def test_without_tenants_no_key_is_required_or_removed() -> None:
    entry = Entry({})
    head = entry.head([*bearer(b"key-a1"), (b"x-tenant", b"anna")])
    plan = entry.plan(head).unwrap().plan
    assert (plan.tenant, plan.is_counted, plan.hop) == ("", False, KEYED.hop)
    forwarded = entry.forwarded(head)
    assert (b"authorization", b"Bearer key-a1") in forwarded
    assert all(name != b"x-tenant" for name, _ in forwarded)


def test_only_the_node_sets_the_tenant_field() -> None:
    entry = Entry()
    forged = [(b"x-tenant", b"anna"), (b"x-tenant", b"anna")]
    forwarded = entry.forwarded(entry.head([*forged, *bearer(b"key-b")]))
    assert [value for name, value in forwarded if name == b"x-tenant"] == [b"bob"]
    assert all(name != b"authorization" for name, _ in forwarded)


@pytest.mark.parametrize(
    "value", [b"Bearer key-a1", b"Bearer nobody", b"bearer  x y", b"BEARER"]
)
def test_a_keyless_route_ignores_and_removes_a_key(value: bytes) -> None:
    entry = Entry()
    fields = [(b"authorization", value), (b"x-tenant", b"anna")]
    head = entry.head(fields, b"/open")
    plan = entry.plan(head).unwrap().plan
    assert (plan.tenant, plan.is_counted) == ("", False)
    assert {name for name, _ in entry.forwarded(head)} & {
        b"authorization",
        b"x-tenant",
    } == set()


def test_a_keyless_route_forwards_other_credentials() -> None:
    entry = Entry()
    fields = [(b"authorization", b"Basic YTpi")]
    assert fields[0] in entry.forwarded(entry.head(fields, b"/open"))


def test_trailers_are_filtered_like_heads() -> None:
    trailers = [*bearer(b"key-a1"), (b"x-tenant", b"anna"), (b"x-sum", b"1")]
    assert Entry().entry.forwarded_trailers(trailers) == [(b"x-sum", b"1")]
    assert (b"x-sum", b"1") in Entry({}).entry.forwarded_trailers(trailers)


def child(request_id: bytes = b"aa.1", *fields: tuple[bytes, bytes]) -> HeaderList:
    return [(NAMES.request_id, request_id), *fields]


@pytest.mark.parametrize("path", [b"/keyed", b"/open"])
def test_a_back_end_calls_for_the_tenant_whose_call_it_runs(path: bytes) -> None:
    entry = Entry()
    entry.running.began(b"aa", "anna")
    plan = entry.plan(entry.head(child(), path, MACHINE)).unwrap().plan
    assert (plan.tenant, plan.is_counted) == ("anna", False)
    assert (plan.priority, plan.call_class) == (0, "critical")


def test_a_call_for_a_public_call_has_no_tenant() -> None:
    entry = Entry()
    entry.running.began(b"aa")
    head = entry.head(child(), peer=MACHINE)
    assert entry.plan(head).unwrap().plan.tenant == ""
    assert all(name != b"x-tenant" for name, _ in entry.forwarded(head))


@pytest.mark.parametrize(
    ("request_id", "peer", "refusal"),
    [
        (b"aa.1", ELSEWHERE, (401, "no-key")),
        (b"bb", MACHINE, (401, "no-key")),
        (b"aa", MACHINE, (401, "no-key")),
        (b"", MACHINE, (401, "no-key")),
        (b"cc.1", MACHINE, (503, "parent-not-known")),
    ],
)
def test_another_caller_on_the_machine_needs_its_key(
    request_id: bytes, peer: str, refusal: tuple[int, str]
) -> None:
    entry = Entry()
    entry.running.began(b"aa", "anna")
    entry.running.began(b"")
    assert refused(entry.plan(entry.head(child(request_id), peer=peer))) == refusal


def test_another_caller_on_the_machine_is_identified_by_its_key() -> None:
    entry = Entry()
    entry.running.began(b"aa", "anna")
    head = entry.head(child(b"aa.1", *bearer(b"key-b")), peer=MACHINE)
    plan = entry.plan(head).unwrap().plan
    assert (plan.tenant, plan.is_counted, plan.call_class) == ("bob", True, "normal")
    wrong = entry.head(child(b"aa.1", *bearer(b"key-c")), peer=MACHINE)
    assert refused(entry.plan(wrong)) == (401, "unknown-key")


def test_a_running_call_may_make_calls_after_its_tenant_is_removed() -> None:
    entry = Entry()
    entry.running.began(b"aa", "anna")
    entry.use(holding(BOB))
    plan = entry.plan(entry.head(child(), peer=MACHINE)).unwrap().plan
    assert (plan.tenant, plan.priority) == ("anna", KEYED.priority)


def test_a_node_that_restarted_knows_no_running_call() -> None:
    """No key is missing, so the refusal is not final; the call did not run."""
    entry = Entry()
    refusal = refused(entry.plan(entry.head(child(), peer=MACHINE)))
    assert refusal == (503, "parent-not-known")


def waiting(entry: Entry, key: bytes) -> OnBehalf:
    return entry.plan(entry.head(bearer(key))).unwrap().whose


@pytest.mark.parametrize(
    ("later", "expected"),
    [
        (BOTH, None),
        (holding(tenant("anna", b"key-a1"), BOB), None),
        (holding(tenant("anna", b"key-a2"), BOB), (401, "unknown-key")),
        (holding(BOB), (401, "unknown-key")),
        (holding(tenant("bob", b"key-a1")), (503, "key-changed-hands")),
        ({}, (503, "key-changed-hands")),
    ],
)
def test_a_key_that_changes_while_its_call_waits(
    later: dict[str, TenantResource], expected: tuple[int, str] | None
) -> None:
    entry = Entry()
    whose = waiting(entry, b"key-a1")
    entry.use(later)
    refusal = entry.entry.refusal_of_key(whose, NOW)
    seen = None if refusal is None else (refusal.status, refusal.reason)
    assert seen == expected


def test_a_waiting_call_is_refused_if_the_configuration_becomes_too_old() -> None:
    entry = Entry(fail_closed=True)
    whose = waiting(entry, b"key-b")
    later = NOW + REVOCATION_SECONDS + 1.0
    refusal = entry.entry.refusal_of_key(whose, later)
    assert refusal is not None
    assert (refusal.status, refusal.reason) == (503, "keys-not-confirmed")


def test_at_an_owner_a_call_waits_half_the_time_of_a_change() -> None:
    entry = Entry()
    planned = entry.plan(entry.head(bearer(b"key-b"))).unwrap()
    assert planned.plan.start_by == math.inf
    start_by = entry.entry.start_by(planned.plan, planned.whose, NOW)
    assert start_by == pytest.approx(NOW + APPLY_SECONDS / 2)
    short_wait = msgspec.structs.replace(planned.plan, start_by=NOW + 0.1)
    assert entry.entry.start_by(short_wait, planned.whose, NOW) == NOW + 0.1


def test_at_an_owner_a_call_waits_no_longer_than_keys_are_trusted() -> None:
    entry = Entry(age_seconds=REVOCATION_SECONDS - 0.4, fail_closed=True)
    planned = entry.plan(entry.head(bearer(b"key-b"))).unwrap()
    start_by = entry.entry.start_by(planned.plan, planned.whose, NOW)
    assert start_by == pytest.approx(NOW + 0.4)


def test_a_call_of_a_back_end_has_its_usual_wait_time_out() -> None:
    entry = Entry()
    entry.running.began(b"aa", "anna")
    planned = entry.plan(entry.head(child(), peer=MACHINE)).unwrap()
    start_by = entry.entry.start_by(planned.plan, planned.whose, NOW)
    assert start_by == planned.plan.start_by


def test_only_changed_keys_are_updated() -> None:
    keys = TenantKeys()
    keys.use(BOTH)
    kept = keys.holder(key_digest(b"key-b"))
    keys.use(holding(tenant("anna", b"key-a2", b"key-a3"), BOB))
    assert keys.holder(key_digest(b"key-a1")) is None
    assert keys.holder(key_digest(b"key-a3")) is not None
    assert keys.holder(key_digest(b"key-b")) is kept
    moved = holding(tenant("anna", b"key-b"), tenant("bob", b"key-a2"))
    keys.use(moved)
    holders = {name: keys.holder(key_digest(name)) for name in (b"key-a2", b"key-b")}
    assert holders == {b"key-a2": moved["bob"], b"key-b": moved["anna"]}
    keys.use({})
    assert not keys.in_force
    assert keys.holder(key_digest(b"key-b")) is None


def test_neither_key_nor_digest_is_ever_printed() -> None:
    entry = Entry()
    planned = entry.plan(entry.head(bearer(b"key-a1"))).unwrap()
    digest = key_digest(b"key-a1")
    for text in (repr(planned), str(planned.whose), f"{planned.plan}"):
        assert "key-a1" not in text
        assert repr(digest) not in text
        assert digest.hex() not in text
