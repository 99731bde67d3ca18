"""Convergence by the logs: who needs a version, when it is held, steps back."""

import logging

import msgspec
import pytest

from peppershore.connection.messages.relay import CommittedEdit
from peppershore.process.control.notices import EditAccepted
from peppershore.process.logging import JsonLineFormatter, LogIdentity, event_name
from peppershore.process.node.notices import VersionApplied, VersionRestored
from peppershore.version.model import Edit, Overrides, SetOverrides
from peppershore_lab.convergence import (
    VersionHeld,
    accepted_at,
    convergence,
    steps_back,
    versions_held,
)
from peppershore_lab.fleet.addresses import AddressBlock
from peppershore_lab.fleet.deployment import REFUND_NETWORK
from peppershore_lab.fleet.plan import lay_out
from peppershore_lab.fleet.tree_edit import creating_edit
from peppershore_lab.reference import Reference, needed_by, scope_of
from peppershore_lab.simulator.violations import PromiseBrokenError

MOVE = Edit("move", (SetOverrides("/statusdesk/*/status", Overrides(target="kuitti")),))


def log_line(seconds, notice):
    """The line a process writes for a notice, with the time given."""
    record = logging.LogRecord("t", logging.INFO, "", 0, "", (), None)
    record.msg = event_name(type(notice))
    record.created = seconds
    record.peppershore_fields = notice
    return JsonLineFormatter(LogIdentity("role", "name")).format(record)


def write_log(folder, name, *lines):
    text = "".join(f"{log_line(seconds, notice)}\n" for seconds, notice in lines)
    (folder / f"{name}.log").write_text(text)


def proxies():
    block = AddressBlock()
    layout = lay_out(REFUND_NETWORK, block)
    block.close()
    return layout.proxies


def reference(*later):
    first = CommittedEdit(3, creating_edit(REFUND_NETWORK))
    scopes = sorted({scope_of(proxy) for proxy in proxies()})
    return Reference(REFUND_NETWORK.cluster, scopes, (first, *later))


def test_acceptance_and_holding_are_read_from_the_notices_the_processes_write(tmp_path):
    write_log(tmp_path, "control-1", (10.0, EditAccepted(4, "move", "ann", "control-1")))
    write_log(
        tmp_path, "edge", (9.0, VersionRestored(3)), (10.25, VersionApplied(4, 7, 11))
    )
    held = versions_held(tmp_path, ["edge", "never-started"])
    assert held == [VersionHeld("edge", 9.0, 3), VersionHeld("edge", 10.25, 4, 11)]
    assert accepted_at(tmp_path, ["control-1", "control-2"], 4) == 10.0
    assert accepted_at(tmp_path, ["control-1"], 5) is None


def test_only_proxies_whose_content_changes_need_a_version():
    needed = needed_by(reference(CommittedEdit(5, MOVE)), 5, proxies())
    assert needed == tuple(
        proxy.name for proxy in proxies() if proxy.service in ("statusdesk", "edge")
    )
    unchanged = msgspec.structs.replace(MOVE, change_id="same again")
    assert needed_by(reference(CommittedEdit(5, unchanged)), 4, proxies()) == ()


def test_a_history_that_says_two_things_of_one_version_is_refused():
    again = msgspec.structs.replace(MOVE, change_id="another")
    with pytest.raises(PromiseBrokenError):
        reference(CommittedEdit(5, MOVE), CommittedEdit(5, again))


def test_convergence_counts_those_that_need_it_and_names_those_that_lack_it():
    held = [
        VersionHeld("a", 9.0, 4),
        VersionHeld("a", 10.1, 6),
        VersionHeld("a", 30.0, 7),
        VersionHeld("b", 10.3, 5),
        VersionHeld("not needed", 40.0, 5),
    ]
    reached = convergence(5, 10.0, ["a", "b", "c"], held)
    assert reached.proxies == 3
    assert reached.missing == ("c",)
    assert reached.by_proxy == pytest.approx({"a": 100.0, "b": 300.0})
    assert reached.max_milliseconds == pytest.approx(300.0)


def test_steps_back_are_found_for_each_proxy_apart():
    held = [
        VersionHeld("a", 1.0, 7),
        VersionHeld("b", 2.0, 5),
        VersionHeld("a", 3.0, 7),
        VersionHeld("a", 4.0, 6),
    ]
    assert steps_back(held) == ["a: 6 after 7"]
