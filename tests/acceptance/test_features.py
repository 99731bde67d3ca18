"""Steps of the features: they edit, kill, pause and stop real processes."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import jwt
import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from tests.acceptance.backend import Answer, Callers, call
from tests.acceptance.cluster import ZONE, Cluster, CommandDone, Member, wait_until

from peppershore.command.exit_codes import ExitCode
from peppershore.connection.codec import encode_message
from peppershore.connection.link import Link, open_link
from peppershore.connection.messages.operators import SubmitEdit
from peppershore.process.configuration_page import CONFIGURATION_PATH
from peppershore.version.model import Edit, ExpectedRevision, Overrides, SetOverrides

scenarios(".")

ROUTE = "/kassa/*/desk"
PATH = "/desk"
OK = 200
SECRET = "members"
OLD_KEY = "o" * 32
NEW_KEY = "n" * 32
WORK_SECONDS = 1.5
BEHIND_SECONDS = 3.0
SHORT_TIMEOUT_MILLISECONDS = 500
FORBIDDEN = 403
CALLS_BEFORE_AND_AFTER = 20


class Story:
    """What the steps of one scenario tell each other."""

    def __init__(self) -> None:
        self.version = 0
        self.before = 0
        self.stopped: list[Member] = []
        self.killed: list[Member] = []
        self.commands: list[CommandDone] = []
        self.answer: Answer | None = None
        self.exit_code: int | None = None
        self.callers: Callers | None = None


@pytest.fixture
def story() -> Iterator[Story]:
    told = Story()
    yield told
    if told.callers is not None:
        told.callers.stop()


@pytest.fixture(autouse=True)
def no_step_back(cluster: Cluster) -> Iterator[None]:
    """Whatever a scenario does: no proxy goes back to an older version."""
    yield
    for node in cluster.nodes.values():
        versions = node.versions_applied()
        assert versions == sorted(versions), (node.name, versions)


# --- given -------------------------------------------------------------------


@given(parsers.re(r"a cluster of (?P<replicas>\d) replicas? and (?P<relays>\d) relays?"))
def start_cluster(cluster: Cluster, replicas: str, relays: str) -> None:
    cluster.start_replicas(int(replicas))
    cluster.ok("zone", "set", ZONE, "uusimaa")
    for service in ("kassa", "kuitti"):
        cluster.ok("tree", "set", f"/{service}", "slots=20")
    settings = ("audience=public", "repeatable=yes")
    cluster.edit("tree", "set", ROUTE, f"path_prefix={PATH}", *settings)
    cluster.start_relays(int(relays))


@given(
    parsers.re(
        r"(?P<kassa>\d) prox(y|ies) of kassa and (?P<kuitti>\d) prox(y|ies) of kuitti"
    )
)
def start_proxies(cluster: Cluster, kassa: str, kuitti: str) -> None:
    cluster.start_nodes("kassa", int(kassa))
    cluster.start_nodes("kuitti", int(kuitti))
    wait_until_served(cluster)


@given("1 proxy of kassa without a disk")
def start_proxy_without_disk(cluster: Cluster) -> None:
    cluster.start_nodes("kassa", 1, with_disk=False)
    wait_until_served(cluster)


@given("calls to kassa need a member's token")
def need_token(cluster: Cluster) -> None:
    cluster.ok("secret", "put", SECRET, "--from-file", "-", text=OLD_KEY)
    settings = (
        "audience=member",
        f"verify_secret={SECRET}",
        f"timeout_milliseconds={SHORT_TIMEOUT_MILLISECONDS}",
    )
    version = cluster.edit("tree", "set", ROUTE, *settings)
    for node in cluster.nodes.values():
        wait_until(lambda node=node: held_version(node) >= version, lambda: "no key")


@given("members that call with the old key all the time")
def start_members(cluster: Cluster, story: Story) -> None:
    assert call(callers_address(cluster), PATH).status != OK
    story.callers = Callers([callers_address(cluster)], PATH, token_of(OLD_KEY))


@given("callers that call kassa-1 all the time")
def start_callers(cluster: Cluster, story: Story) -> None:
    story.callers = Callers([callers_address(cluster)] * 3, PATH)
    wait_for_calls(story)


# --- edits -------------------------------------------------------------------


@when("an operator routes the calls of kassa to kuitti")
def route_to_kuitti(cluster: Cluster, story: Story) -> None:
    story.version = cluster.edit("tree", "set", ROUTE, "target=kuitti")


@when(parsers.parse("an operator sets the timeout to {milliseconds:d}"))
def set_timeout(cluster: Cluster, story: Story, milliseconds: int) -> None:
    setting = f"timeout_milliseconds={milliseconds}"
    story.version = cluster.edit("tree", "set", ROUTE, setting)


@when("two operators set the timeout at the same time with equal revisions")
def race(cluster: Cluster, story: Story) -> None:
    revision = cluster.ok("tree", "get", ROUTE, "--json").json["revision"]
    arguments = [
        (
            *("tree", "set", ROUTE, f"timeout_milliseconds={600 + number}", "--json"),
            *("--change-id", f"race-{number}", "--expected-revision", str(revision)),
        )
        for number in (1, 2)
    ]
    story.commands = cluster.commands_at_once(arguments)


@when("a change is sent and its answer is lost")
def lose_answer(cluster: Cluster, story: Story) -> None:
    revision = cluster.ok("tree", "get", ROUTE, "--json").json["revision"]
    asyncio.run(submit_raw(cluster.leader().link_address, "lost", 700, revision))
    wait_until(lambda: bool(versions_of(cluster, "lost")), lambda: "the change never came")
    (story.version,) = versions_of(cluster, "lost")


@when("another operator changes the same setting")
def change_again(cluster: Cluster) -> None:
    cluster.ok("tree", "set", ROUTE, "timeout_milliseconds=900")


@when("the change is sent again with its change id")
def send_again(cluster: Cluster, story: Story) -> None:
    arguments = ("tree", "set", ROUTE, "timeout_milliseconds=700", "--change-id", "lost")
    story.commands = [cluster.ok(*arguments, "--json")]


@when("an operator sends one edit with a good and a dangling setting")
def send_dangling(cluster: Cluster, story: Story) -> None:
    story.before = cluster.ok("tree", "show", "--json").json["version"]
    arguments = ("tree", "set", ROUTE, "timeout_milliseconds=700", "target=nowhere")
    story.commands = [cluster.command(*arguments, "--json")]


# --- failures ----------------------------------------------------------------


@when("the leader is killed")
def kill_leader(cluster: Cluster, story: Story) -> None:
    story.killed = [cluster.leader()]
    story.killed[0].kill()


@when("the relay of kassa-1 is killed")
def kill_relay(cluster: Cluster, story: Story) -> None:
    story.killed = [relay_of(cluster, "kassa-1")]
    story.killed[0].kill()


@when("the relay of kassa-1 is cut off in silence")
def pause_relay(cluster: Cluster, story: Story) -> None:
    story.stopped = [relay_of(cluster, "kassa-1")]
    story.stopped[0].pause()


@when("kassa-2 is cut off in silence")
def pause_kassa(cluster: Cluster) -> None:
    cluster.nodes["kassa-2"].pause()


@when("kassa-2 goes on")
def resume_kassa(cluster: Cluster) -> None:
    cluster.nodes["kassa-2"].resume()


@when("every process but the silent relay is killed")
def kill_all_but_silent(cluster: Cluster, story: Story) -> None:
    kill_control(cluster, story)
    cluster.nodes["kassa-1"].kill()


@when("every replica and relay is killed")
def kill_control(cluster: Cluster, story: Story) -> None:
    running = (*cluster.replicas.values(), *cluster.relays.values())
    story.killed = [member for member in running if member not in story.stopped]
    for member in story.killed:
        member.kill()


@when("the silent relay goes on")
def resume_relay(story: Story) -> None:
    story.stopped[0].resume()


@when("kassa-1 starts again without memory")
def start_without_memory(cluster: Cluster) -> None:
    restart(cluster.nodes["kassa-1"])


@when("the replicas and relays start again")
def restart_control(story: Story) -> None:
    for member in story.killed:
        restart(member)


@when("the leader is stopped in a planned way")
def stop_leader(cluster: Cluster, story: Story) -> None:
    assert cluster.leader().stop() == 0
    wait_for_calls(story)


@when("the relay of kassa-1 is stopped in a planned way")
def stop_relay(cluster: Cluster, story: Story) -> None:
    assert relay_of(cluster, "kassa-1").stop() == 0
    wait_for_calls(story)


@when("kassa-2 is stopped in a planned way")
def stop_kassa(cluster: Cluster, story: Story) -> None:
    assert cluster.nodes["kassa-2"].stop() == 0
    wait_for_calls(story)


@when("kassa-1 is stopped in a planned way while a call runs")
def stop_during_call(cluster: Cluster, story: Story) -> None:
    node, backend = cluster.nodes["kassa-1"], cluster.backends["kassa-1"]
    backend.work_seconds = WORK_SECONDS
    before = backend.runs
    with ThreadPoolExecutor() as threads:
        called = threads.submit(call, node.callers_address, PATH)
        wait_until(lambda: backend.runs > before, lambda: "the call never ran")
        node.begin_stop()
        story.answer = called.result()
    story.exit_code = node.end()


@when("the key is rotated")
def rotate_key(cluster: Cluster, story: Story) -> None:
    arguments = ("secret", "rotate", SECRET, "--from-file", "-")
    cluster.ok(*arguments, text=NEW_KEY)


# --- then --------------------------------------------------------------------


@then("every proxy of kassa holds that version")
def holds_version(cluster: Cluster, story: Story) -> None:
    for name, node in cluster.nodes.items():
        if name.startswith("kassa"):
            wait_until(
                lambda node=node: held_version(node) >= story.version,
                lambda node=node: f"{node.name} holds {held_version(node)}: {node.log}",
            )


@then("status says that a proxy of kassa waits for a ready endpoint of kuitti")
def status_says_held(cluster: Cluster) -> None:
    wanted = "route:kassa/desk waits for a ready endpoint of kuitti"
    seen: list[str] = []

    def is_said() -> bool:
        seen[:] = [cluster.ok("status").output]
        return wanted in seen[0]

    wait_until(is_said, lambda: f"status never said it: {seen}")


@then("no proxy was ever without a relay")
def no_gap(cluster: Cluster) -> None:
    for node in cluster.nodes.values():
        assert len(node.events("relay_chosen")) >= 1
        assert node.events("relay_left") == []


@then("the operator's watch tells that it is in force")
def watch_ends(cluster: Cluster, story: Story) -> None:
    watched = cluster.ok("watch", str(story.version), "--json").json["in_force"]
    assert watched["in_force"] >= story.version
    assert watched["nodes"] == len(cluster.nodes)


@given(parsers.parse("calls to kassa are answered by {service}"))
@then(parsers.parse("calls to kassa are answered by {service}"))
def answered_by(cluster: Cluster, service: str) -> None:
    for _ in range(CALLS_BEFORE_AND_AFTER):
        answer = call(callers_address(cluster), PATH)
        assert answer.status == OK
        assert answer.body.startswith(service)


@then("explain names the edited node of the tree as the origin")
def origin_is_route(cluster: Cluster) -> None:
    admin = cluster.nodes["kassa-1"].admin_address
    arguments = ("explain", "kassa", ZONE, "desk", "--node", admin, "--json")
    settings = cluster.ok(*arguments).json["settings"]
    target = next(item for item in settings if item["name"] == "target")
    assert (target["value"], target["path"], target["held"]) == ("kuitti", ROUTE, "kuitti")


@then("one edit is accepted and the other is a conflict that names the winner")
def one_wins(story: Story) -> None:
    codes = sorted(done.exit_code for done in story.commands)
    assert codes == [ExitCode.DONE, ExitCode.CONFLICT]
    failed = loser(story)
    assert failed["kind"] == "conflict"
    assert failed["winner_change_id"] == winner(story)


@then("the timeout is the winner's")
def timeout_of_winner(cluster: Cluster, story: Story) -> None:
    number = int(winner(story).removeprefix("race-"))
    overrides = cluster.ok("tree", "get", ROUTE, "--json").json["overrides"]
    assert overrides["timeout_milliseconds"] == 600 + number


@then("it has its first outcome and did not run again")
def first_outcome(cluster: Cluster, story: Story) -> None:
    (done,) = story.commands
    assert done.json["accepted"]["version"] == story.version
    assert done.json["repeated"] is True
    assert versions_of(cluster, "lost") == [story.version]
    overrides = cluster.ok("tree", "get", ROUTE, "--json").json["overrides"]
    assert overrides["timeout_milliseconds"] == 900


@then("the edit is refused and nothing of it is in the tree or on a proxy")
def refused_whole(cluster: Cluster, story: Story) -> None:
    (done,) = story.commands
    assert done.exit_code == ExitCode.INVALID
    assert [problem["subject"] for problem in done.json["failed"]["problems"]] == [ROUTE]
    assert cluster.ok("tree", "show", "--json").json["version"] == story.before
    assert held_version(cluster.nodes["kassa-1"]) <= story.before


@then("the killed replica catches up after its restart")
def replica_catches_up(cluster: Cluster, story: Story) -> None:
    (member,) = story.killed
    restart(member)

    def is_level() -> bool:
        rows = cluster.ok("status", "--json").json["replicas"]
        held = {row["replica"]: row["match_version"] for row in rows}
        return held[member.name] >= story.version

    wait_until(is_level, lambda: cluster.ok("status").output)


@then("kassa-1 takes nothing from the relay that is behind")
def takes_nothing(cluster: Cluster, story: Story) -> None:
    node = cluster.nodes["kassa-1"]
    relay = story.stopped[0].name
    wait_until(
        lambda: node.name in nodes_connected(story.stopped[0]),
        lambda: f"{node.name} never reached {relay}",
    )
    time.sleep(BEHIND_SECONDS)
    assert held_version(node) == 0


@then("no call was cut or refused")
def nothing_cut(story: Story) -> None:
    assert story.callers is not None
    story.callers.stop()
    assert story.callers.broken == []
    assert {answer.status for answer in story.callers.answers} == {OK}


@then("the call gets its whole answer")
def whole_answer(story: Story) -> None:
    assert story.answer is not None
    assert (story.answer.status, story.answer.body) == (OK, "kassa-1")


@then("the process ends with code 0")
def ended_well(story: Story) -> None:
    assert story.exit_code == 0


@then("status says that the rotation waits for kassa-2")
def rotation_waits(cluster: Cluster) -> None:
    wait_until(
        lambda: "kassa-2" in "".join(cluster.ok("status", "--json").json["rotations"]),
        lambda: cluster.ok("status").output,
    )
    assert "rotation waits: members to generation 2" in cluster.ok("status").output


@then("signers still use the old key")
def old_key_signs(cluster: Cluster) -> None:
    assert signing_generation(cluster) == 1


@then("signers use the new key")
def new_key_signs(cluster: Cluster) -> None:
    wait_until(
        lambda: signing_generation(cluster) == 2, lambda: cluster.ok("status").output
    )


@then("a token of the new key is taken by every proxy")
def new_key_verifies(cluster: Cluster) -> None:
    for node in cluster.nodes.values():
        assert call(node.callers_address, PATH, token_of(NEW_KEY)).status == OK


@then("no member was refused")
def members_served(story: Story) -> None:
    """A call may end as unknown while its back end's proxy is silent; none is refused."""
    assert story.callers is not None
    wait_for_calls(story)
    story.callers.stop()
    statuses = [answer.status for answer in story.callers.answers]
    assert FORBIDDEN not in statuses
    assert statuses.count(OK) > CALLS_BEFORE_AND_AFTER


# --- helpers -----------------------------------------------------------------


def wait_until_served(cluster: Cluster) -> None:
    """Wait until every proxy has a ready back end and answers."""
    for name, node in cluster.nodes.items():
        if name.startswith("kassa"):
            wait_until(
                lambda node=node: call(node.callers_address, PATH).status == OK,
                lambda node=node: node.log,
            )


def wait_for_calls(story: Story) -> None:
    """Let some calls go by."""
    assert story.callers is not None
    answers = story.callers.answers
    wanted = len(answers) + CALLS_BEFORE_AND_AFTER
    wait_until(lambda: len(answers) >= wanted, lambda: f"{len(answers)} answers")


def callers_address(cluster: Cluster) -> str:
    return cluster.nodes["kassa-1"].callers_address


def relay_of(cluster: Cluster, node: str) -> Member:
    return cluster.relays[cluster.nodes[node].events("relay_chosen")[-1]["relay"]]


def nodes_connected(relay: Member) -> set[str]:
    last: dict[str, str] = {}
    for line in map(json.loads, relay.log.splitlines()):
        if line["event"] in ("node_connected", "node_disconnected"):
            last[line["node"]] = line["event"]
    return {node for node, event in last.items() if event == "node_connected"}


def held_version(node: Member) -> int:
    """Give the version that a running node holds by its own page."""
    try:
        body = call(node.admin_address, CONFIGURATION_PATH).body
    except OSError:
        return -1
    version: int = json.loads(body)["version"]
    return version


def restart(member: Member) -> None:
    member.start()
    member.ready()


def signing_generation(cluster: Cluster) -> int:
    secrets = cluster.ok("secret", "list", "--json").json["secrets"]
    number: int = secrets[0]["signing_generation"]
    return number


def token_of(key: str) -> dict[str, str]:
    claims = {"aud": "member", "sub": "till-7", "exp": int(time.time()) + 600}
    return {"authorization": f"Bearer {jwt.encode(claims, key, 'HS256')}"}


def winner(story: Story) -> str:
    won = [done for done in story.commands if done.exit_code == ExitCode.DONE]
    name: str = won[0].json["accepted"]["change_id"]
    return name


def loser(story: Story) -> dict[str, object]:
    lost = [done for done in story.commands if done.exit_code == ExitCode.CONFLICT]
    failed: dict[str, object] = lost[0].json["failed"]
    return failed


def versions_of(cluster: Cluster, change_id: str) -> list[int]:
    changes = cluster.ok("tree", "history", "--json").json["changes"]
    return [each["version"] for each in changes if each["change_id"] == change_id]


async def submit_raw(
    address: str, change_id: str, milliseconds: int, revision: int
) -> None:
    """Send an edit to the leader and hang up without reading the answer."""
    overrides = Overrides(timeout_milliseconds=milliseconds)
    expected = (ExpectedRevision(ROUTE, revision),)
    edit = Edit(change_id, (SetOverrides(ROUTE, overrides),), expected, "outside")
    link = await open_link(address, None)
    assert isinstance(link, Link)
    link.send(encode_message(SubmitEdit(edit)))
    link.close()
