"""The real processes, started through the adapter, serve a stand-in of the platform."""

from __future__ import annotations

import shutil
import socket
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from tests.platform_adapter.stand_in import (
    ATTEMPT_ID,
    CALLING_PATH,
    HELD_PATH,
    SIGNATURE,
    SLOTS,
    Machine,
    Reply,
    Site,
    ask,
    until,
)

HOST = "pay.example"

pytestmark = pytest.mark.xdist_group("platform-stand-in")


def configuration(version: int, base: int, service: str = "kassa") -> dict[str, Any]:
    route = {
        "host": HOST,
        "path_prefix": "/",
        "runs": "repeatable",
        "timeout_milliseconds": 2_000,
        "attempts": 3,
        "target_latency_milliseconds": 400,
        "service": service,
    }
    return {
        "version": version,
        "base": base,
        "routes": {"pay": route},
        "services": {"kassa": {}, "kuitti": {}},
    }


@pytest.fixture(scope="module")
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Site]:
    """Give a site that serves version 1."""
    made = Site(tmp_path_factory.mktemp("site"), ("kassa", "kassa", "kuitti"))
    try:
        made.start()
        assert made.replace(made.hubs[0], configuration(1, 0)).json == {"version": 1}
        for node in made.nodes:
            served(made, node, "kassa")
        yield made
    finally:
        made.stop()


def served(site: Site, node: Machine, service: str) -> Reply:
    """Wait until a request at a node is answered by a service."""
    found: list[Reply] = []

    def is_answered() -> bool:
        headers = {"host": HOST, ATTEMPT_ID: "a-1"}
        found.append(ask(node.clients, "GET", "/x", headers=headers))
        return (found[-1].status, found[-1].body) == (200, service.encode())

    until(is_answered, lambda: f"{found[-1:]} {node.output[-4_000:]}")
    return found[-1]


def newest(site: Site, hub: Machine) -> int:
    """Read the newest version at a hub, as soon as it is proven there."""
    found: list[Reply] = []

    def is_read() -> bool:
        found.append(site.read(hub))
        return found[-1].status == 200

    until(is_read, lambda: f"{found[-1:]} {hub.output[-4_000:]}")
    version: int = found[-1].json["version"]
    return version


def test_request_is_answered_with_the_servers_signature_and_its_id(site: Site) -> None:
    answer = served(site, site.nodes[2], "kassa")
    assert answer.headers[SIGNATURE] in {each.instance for each in site.upstreams[:2]}
    assert answer.headers[ATTEMPT_ID] == "a-1"


def test_upstream_calls_on_for_a_request_it_runs(site: Site) -> None:
    headers = {"host": HOST, ATTEMPT_ID: "a-outer"}
    answer = ask(site.nodes[2].clients, "GET", CALLING_PATH, headers=headers)
    assert (answer.status, answer.body) == (200, b"kassa")
    runs = [run for upstream in site.upstreams for run in upstream.runs]
    assert runs.count("a-outer") == 1
    assert runs.count("a-outer.1") == 1


def test_pipelined_requests_are_answered_in_their_order(site: Site) -> None:
    ids = [f"a-pipe-{number}" for number in range(8)]
    sent = "".join(
        f"GET /x HTTP/1.1\r\nhost: {HOST}\r\n{ATTEMPT_ID}: {each}\r\n\r\n" for each in ids
    )
    host, _, port = site.nodes[2].clients.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=15.0) as connection:
        connection.sendall(sent.encode())
        answers = connection.makefile("rb")
        answered = []
        for _ in ids:
            fields = dict[bytes, bytes]()
            assert answers.readline().startswith(b"HTTP/1.1 200")
            while line := answers.readline().strip():
                name, _, value = line.partition(b":")
                fields[name.lower()] = value.strip()
            answers.read(int(fields[b"content-length"]))
            answered.append(fields[ATTEMPT_ID.encode()].decode())
    assert answered == ids


def test_what_finds_no_slot_is_refused_at_once_and_never_runs(site: Site) -> None:
    holding = [each for each in site.upstreams if each.service == "kassa"]
    count = len(holding) * SLOTS + 4
    answers: dict[str, Reply] = {}

    def send(request_id: str) -> None:
        headers = {"host": HOST, ATTEMPT_ID: request_id}
        answers[request_id] = ask(site.nodes[2].clients, "GET", HELD_PATH, None, headers)

    senders = [
        threading.Thread(target=send, args=(f"a-held-{number}",)) for number in range(count)
    ]
    for sender in senders:
        sender.start()
    until(
        lambda: len(answers) + sum(each.running for each in holding) == count,
        lambda: f"{answers} {site.nodes[2].output[-4_000:]}",
    )
    refused = dict(answers)
    assert len(refused) >= 4
    for each in holding:
        each.may_answer.set()
    for sender in senders:
        sender.join()
    ran = [run for each in holding for run in each.runs if run.startswith("a-held-")]
    assert {each.status for each in refused.values()} == {503}
    assert all(float(each.headers["retry-after"]) > 0 for each in refused.values())
    assert sorted(ran) == sorted(answers.keys() - refused.keys())
    assert max(each.most_running for each in holding) <= SLOTS


def test_unknown_host_has_no_route(site: Site) -> None:
    assert ask(site.nodes[0].clients, "GET", "/", headers={"host": "x"}).status == 404


def test_the_very_same_has_the_first_outcome_at_any_hub(site: Site) -> None:
    base = newest(site, site.hubs[1])
    sent = configuration(base + 1, base)
    answers = [site.replace(hub, sent) for hub in site.hubs]
    assert [answer.json for answer in answers] == [{"version": base + 1}] * 3
    assert {newest(site, hub) for hub in site.hubs} == {base + 1}


def test_of_two_on_the_same_base_one_wins(site: Site) -> None:
    base = newest(site, site.hubs[0])
    answers: dict[int, Reply] = {}

    def send(number: int) -> None:
        sent = configuration(base + 1 + number, base)
        answers[number] = site.replace(site.hubs[number], sent)

    racing = [threading.Thread(target=send, args=(number,)) for number in range(2)]
    for thread in racing:
        thread.start()
    for thread in racing:
        thread.join()
    assert sorted(answer.status for answer in answers.values()) == [200, 412]
    winner = next(each for each in answers.values() if each.status == 200)
    loser = next(each for each in answers.values() if each.status == 412)
    assert loser.json["current"] == winner.json["version"]
    assert newest(site, site.hubs[2]) == winner.json["version"]


def test_invalid_configuration_changes_nothing(site: Site) -> None:
    before = newest(site, site.hubs[0])
    wrong = configuration(before + 1, before, service="nowhere")
    assert site.replace(site.hubs[0], wrong).status == 400
    assert newest(site, site.hubs[1]) == before


def test_server_that_left_gets_no_call_and_its_node_serves_others(site: Site) -> None:
    leaving = site.upstreams[0]
    assert leaving.leave() == 200
    node = site.nodes[0]
    until(
        lambda: any(
            line["state"] in {"leaving", "gone"}
            for line in node.lines("back_end_view_changed")
        ),
        lambda: node.output[-4_000:],
    )
    until(
        lambda: (
            served(site, node, "kassa").headers[SIGNATURE] == site.upstreams[1].instance
        ),
        lambda: node.output[-4_000:],
    )
    leaving.state = "ready"
    assert leaving.report() == 200


def test_hub_with_an_emptied_disk_is_taken_in_again(site: Site, tmp_path: Path) -> None:
    lost = site.hubs[0]
    lost.kill()
    base = newest(site, site.hubs[1])
    shutil.rmtree(lost.folder / f"data-{lost.name}")
    lost.start("", site.seeds)
    taken = site.replace(site.hubs[2], configuration(base + 1, base, "kuitti"))
    assert taken.json == {"version": base + 1}
    assert newest(site, lost) == base + 1
    for node in site.nodes:
        served(site, node, "kuitti")
    back = site.replace(lost, configuration(base + 2, base + 1))
    assert back.json == {"version": base + 2}
    for node in site.nodes:
        served(site, node, "kassa")


def test_refusal_has_its_line_on_standard_output_and_says_it_has_not_run(
    site: Site,
) -> None:
    node = site.nodes[2]
    headers = {"host": HOST, ATTEMPT_ID: "a-spent", "x-peppershore-deadline-remaining": "0"}
    answer = ask(node.clients, "GET", "/x", headers=headers)
    assert answer.status == 503
    assert answer.headers["peppershore-outcome"] == "not-run"
    assert answer.headers[ATTEMPT_ID] == "a-spent"
    until(
        lambda: any(line["request_id"] == "a-spent" for line in node.lines("call_story")),
        lambda: node.output[-4_000:],
    )


def test_node_stops_in_a_planned_way(site: Site) -> None:
    node = site.nodes[1]
    site.upstreams[1].leave()
    assert node.stop() == 0
    assert node.lines("process_stopped")
    node.start("kassa", site.seeds)
    site.upstreams[1].state = "ready"
    served(site, node, "kassa")


def test_of_three_on_the_same_base_at_three_hubs_one_wins(site: Site) -> None:
    base = newest(site, site.hubs[0])
    answers: dict[int, Reply] = {}

    def send(number: int) -> None:
        sent = configuration(base + 1 + number, base)
        answers[number] = site.replace(site.hubs[number], sent)

    racing = [threading.Thread(target=send, args=(number,)) for number in range(3)]
    for thread in racing:
        thread.start()
    for thread in racing:
        thread.join()
    assert sorted(answer.status for answer in answers.values()) == [200, 412, 412]
    winner = next(each for each in answers.values() if each.status == 200)
    assert {newest(site, hub) for hub in site.hubs} == {winner.json["version"]}


def test_all_hubs_killed_at_once_hold_what_was_taken_and_go_on(site: Site) -> None:
    base = newest(site, site.hubs[0])
    assert site.replace(site.hubs[0], configuration(base + 1, base)).status == 200
    for hub in site.hubs:
        hub.kill()
    for hub in site.hubs:
        hub.start("", site.seeds)
    assert {newest(site, hub) for hub in site.hubs} == {base + 1}
    assert site.replace(site.hubs[2], configuration(base + 2, base + 1)).status == 200
    for node in site.nodes:
        served(site, node, "kassa")
