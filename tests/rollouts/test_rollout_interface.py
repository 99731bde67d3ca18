"""Roll-outs with real processes: HTTP, the command line, and which version gets calls."""

from __future__ import annotations

import http.client
import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from tests.platform_adapter.stand_in import Reply, Site, ask, until
from tests.platform_adapter.test_stand_in import configuration, served

from peppershore.command.main import main

pytestmark = pytest.mark.xdist_group("platform-stand-in")
ORDER = {"service": "kassa", "target_version": "v2", "duration_seconds": 600}


@pytest.fixture(scope="module")
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Site]:
    made = Site(tmp_path_factory.mktemp("rollouts"), ("kassa",))
    try:
        made.start()
        assert made.replace(made.hubs[0], configuration(1, 0)).status == 200
        served(made, made.nodes[0], "kassa")
        yield made
    finally:
        made.stop()


def decided(site: Site, number: int, method: str, path: str, body: Any = None) -> Reply:
    """Repeat a request to a hub until the answer is not 503."""
    found: list[Reply] = []

    def is_decided() -> bool:
        found.append(ask(site.hubs[number].control, method, path, body))
        return found[-1].status != 503

    until(is_decided, lambda: f"{found[-1:]}")
    return found[-1]


def run(site: Site, *arguments: str) -> dict[str, Any]:
    at = ("--at", site.hubs[1].control, "--json")
    done = CliRunner().invoke(main, ["rollout", *arguments, *at])
    assert done.exit_code == 0, done.output
    answer = json.loads(done.output)
    assert isinstance(answer, dict)
    return answer


def test_a_roll_out_from_its_order_to_its_end(site: Site, tmp_path: Path) -> None:
    del tmp_path
    assert decided(site, 0, "GET", "/rollouts/kassa").status == 404
    for order in (
        {**ORDER, "duration_seconds": 0},
        {**ORDER, "target_version": ""},
        {**ORDER, "service": "nobody"},
        {"service": "kassa"},
    ):
        assert decided(site, 0, "POST", "/rollouts", order).status == 400
    assert decided(site, 0, "POST", "/rollouts", ORDER).status == 200
    assert decided(site, 1, "POST", "/rollouts", ORDER).status == 200
    other = {**ORDER, "target_version": "v3"}
    assert decided(site, 2, "POST", "/rollouts", other).status == 409
    read = decided(site, 2, "GET", "/rollouts/kassa")
    assert read.json == {"state": "running", "target_version": "v2"}
    served(site, site.nodes[0], "kassa")
    shown = run(site, "status", "kassa")
    assert (shown["state"], shown["target_version"]) == ("running", "v2")
    assert 0.0 < shown["share"] < 0.2
    assert run(site, "abort", "kassa") == {"service": "kassa"}
    read = decided(site, 0, "GET", "/rollouts/kassa")
    assert read.json == {"state": "rolled_back", "target_version": "v2"}
    served(site, site.nodes[0], "kassa")


def test_the_command_line_shows_a_roll_out_as_text(site: Site) -> None:
    order = {**ORDER, "target_version": "v4"}
    assert decided(site, 0, "POST", "/rollouts", order).status == 200
    at = ("--at", site.hubs[0].control)
    done = CliRunner().invoke(main, ["rollout", "status", "kassa", *at])
    assert done.exit_code == 0
    assert "kassa to v4: running" in done.output
    missing = CliRunner().invoke(main, ["rollout", "status", "nobody", *at])
    assert missing.exit_code != 0
    assert "there was no roll-out" in missing.output


@pytest.mark.parametrize("body", [b"", b"{", b"[" * 9_000, b"\xff"])
def test_garbage_is_refused(site: Site, body: bytes) -> None:
    connection = http.client.HTTPConnection(site.hubs[0].control, timeout=15)
    connection.request("POST", "/rollouts", body)
    assert connection.getresponse().status == 400
    connection.close()
