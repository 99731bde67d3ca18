"""Limits of tenants with real processes: hubs, nodes, and co-located back ends.

One tenant sends many times its limit at several nodes at once; another stays below its
limit at all of them.
"""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner
from tests.platform_adapter.stand_in import ATTEMPT_ID, Machine, Reply, Site, ask, until
from tests.platform_adapter.test_stand_in import HOST, configuration

from peppershore.command.main import main
from peppershore.process.quotas.limits import Limit
from peppershore_lab.quota_world import QUOTAS, bound_of

BUSY_KEY, CALM_KEY = "key-of-busy", "key-of-calm"
BUSY = Limit(rate=20.0, burst=10.0)
CALM = Limit(rate=60.0, burst=60.0)
BOUNDS = {
    "quotaWindowS": str(QUOTAS.window_seconds),
    "quotaOvershoot": str(QUOTAS.overshoot),
    "quotaSlack": str(QUOTAS.slack),
}
SECONDS = 12.0
"""Duration of the load: longer than two windows, and than the time until relays may grant
calls in advance."""

CALLERS_AT_NODE = 3
BUSY_PAUSE_SECONDS = 0.03
CALM_PAUSE_SECONDS = 0.3
MILLISECONDS = 1_000
FILL_SECONDS = 2.0
"""Time after which the calm tenant's bucket, which starts empty, holds enough calls."""

LEAST_SHARE = 0.5
"""Minimum share of the calls allowed by the limit that must run. Fewer run only if calls
within the limit are refused."""

pytestmark = pytest.mark.xdist_group("platform-stand-in")


class Made(msgspec.Struct, frozen=True):
    """A call and its reply; ``sent_at`` is in monotonic seconds."""

    name: str
    sent_at: float
    reply: Reply


class Callers:
    """Threads that call nodes with one tenant's key for ``SECONDS``."""

    def __init__(self, key: str, pause_seconds: float) -> None:
        self.made: list[Made] = []
        self._key = key
        self._pause_seconds = pause_seconds
        self._threads: list[threading.Thread] = []

    def begin(self, node: Machine, number: int) -> None:
        work = threading.Thread(target=self._call, args=(node, number))
        self._threads.append(work)
        work.start()

    def end(self) -> None:
        for each in self._threads:
            each.join()

    def statuses(self) -> set[int]:
        return {each.reply.status for each in self.made}

    def _call(self, node: Machine, number: int) -> None:
        over_at = time.monotonic() + SECONDS
        turn = 0
        while time.monotonic() < over_at:
            turn += 1
            name = f"{self._key}-{node.name}-{number}-{turn}"
            sent_at = time.monotonic()
            self.made.append(Made(name, sent_at, called(node, self._key, name)))
            time.sleep(self._pause_seconds)


def called(node: Machine, key: str, name: str) -> Reply:
    headers = {"host": HOST, ATTEMPT_ID: name, "authorization": f"Bearer {key}"}
    return ask(node.clients, "GET", "/x", headers=headers)


def limited() -> dict[str, Any]:
    return {
        **configuration(1, 0),
        "tenants": {
            "busy": definition(BUSY_KEY, BUSY),
            "calm": definition(CALM_KEY, CALM),
        },
    }


def definition(key: str, limit: Limit) -> dict[str, Any]:
    return {"keys": [key], "rate_per_second": limit.rate, "burst": limit.burst}


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    """Return a site whose nodes know both tenants and run calls of the calm one."""
    made = Site(tmp_path, ("kassa", "kassa", "kassa"), BOUNDS)
    try:
        made.start()
        assert made.replace(made.hubs[0], limited()).json == {"version": 1}
        for node in made.nodes:
            until(
                lambda node=node: is_limited(node), lambda node=node: node.output[-4_000:]
            )
        time.sleep(FILL_SECONDS)
        yield made
    finally:
        made.stop()


def is_limited(node: Machine) -> bool:
    """Return whether a node knows the tenants and a call of the calm one is granted."""
    if called(node, "key-of-nobody", "before").status != 401:
        return False
    return called(node, CALM_KEY, "before").status == 200


def ran(site: Site, made: list[Made]) -> list[tuple[float, float]]:
    """Return when each call that ran was sent, and when it arrived at a back end."""
    arrived = {name: at for each in site.upstreams for name, at in each.ran_at.items()}
    return [(each.sent_at, arrived[each.name]) for each in made if each.name in arrived]


def fullest(calls: list[tuple[float, float]], seconds: float) -> int:
    """Return the maximum number of calls both sent and arrived within one window."""
    return max(
        sum(start <= sent and came <= start + seconds for sent, came in calls)
        for start, _ in calls
    )


def assert_operators_see(site: Site, ran_calls: int, since: float) -> None:
    """Check that ``peppershore tenants`` shows both tenants at every replica.

    Only refusals after ``since``, in Unix seconds, are checked: before, the new buckets
    were empty and calls of both tenants were refused.
    """
    for hub in site.hubs:
        shown = CliRunner().invoke(main, ["tenants", "--replica", hub.seed, "--json"])
        assert shown.exit_code == 0, shown.output
        found = {each["tenant"]: each for each in json.loads(shown.output)["tenants"]}
        assert found["busy"]["admitted"] >= ran_calls
        assert found["busy"]["refused"] > 0
        assert found["calm"]["admitted"] > 0
    began = [line for hub in site.hubs for line in hub.lines("tenant_limit_began")]
    assert "busy" in {line["tenant"] for line in began}
    lines = [line for node in site.nodes for line in node.lines("over_limit")]
    refused = [line for line in lines if line["time"] >= since * MILLISECONDS]
    assert {line["tenant"] for line in refused} == {"busy"}, refused


def test_a_tenant_over_its_limit_is_bound_and_another_is_refused_nothing(
    site: Site,
) -> None:
    began_at = time.time()
    busy = Callers(BUSY_KEY, BUSY_PAUSE_SECONDS)
    calm = Callers(CALM_KEY, CALM_PAUSE_SECONDS)
    for node in site.nodes:
        for number in range(CALLERS_AT_NODE):
            busy.begin(node, number)
        calm.begin(node, 0)
    busy.end()
    calm.end()

    calls = ran(site, busy.made)
    asked = [(each.sent_at, each.sent_at) for each in busy.made]
    assert fullest(asked, QUOTAS.window_seconds) > 2 * bound_of(BUSY)
    assert fullest(calls, QUOTAS.window_seconds) <= bound_of(BUSY)
    assert len(calls) >= LEAST_SHARE * BUSY.rate * SECONDS
    odd = [each for each in busy.made if each.reply.status not in (200, 429)]
    assert not odd, odd[:3]
    for each in busy.made:
        if each.reply.status == 429:
            assert float(each.reply.headers["retry-after"]) > 0.0
    assert sum(each.reply.status == 200 for each in busy.made) == len(calls)
    assert calm.made
    odd = [each for each in calm.made if each.reply.status != 200]
    assert not odd, odd[:3]
    assert_operators_see(site, len(calls), began_at)
