"""Only the leader reports edits, each one once: as accepted or as refused."""

from __future__ import annotations

from typing import TypeVar

from tests.consensus.control_cluster import ControlCluster

from peppershore.connection.messages.base import Message
from peppershore.connection.messages.operators import SubmitEdit
from peppershore.process.control.notices import EditAccepted, EditRefused
from peppershore.version.model import (
    Edit,
    ExpectedRevision,
    Overrides,
    SetOverrides,
)

NoticeKind = TypeVar("NoticeKind", EditAccepted, EditRefused)


def _submit(cluster: ControlCluster, edit: Edit) -> None:
    answers: list[Message] = []
    leader = cluster.leader()
    assert leader is not None
    link = cluster.connect(leader, answers.append)
    assert link is not None
    cluster.send(leader, link, SubmitEdit(edit))
    cluster.run_until(lambda: bool(answers))


def _noticed(cluster: ControlCluster, kind: type[NoticeKind]) -> list[NoticeKind]:
    return [
        notice
        for replica in cluster.replicas.values()
        for notice in replica.notices
        if isinstance(notice, kind)
    ]


def _cluster() -> ControlCluster:
    cluster = ControlCluster(("a", "b", "c"), seed=3)
    cluster.run_until(lambda: cluster.leader() is not None)
    return cluster


def test_an_accepted_edit_is_reported_once_with_its_version() -> None:
    cluster = _cluster()
    slots = SetOverrides("/kassa", Overrides(slots=9))
    edit = Edit("one", (slots,), author="maija")
    _submit(cluster, edit)
    _submit(cluster, edit)
    cluster.run(1.0)
    leader = cluster.leader()
    assert leader is not None
    version = cluster.core(leader).state.tree.version
    expected = EditAccepted(version, "one", "maija", leader)
    assert _noticed(cluster, EditAccepted) == [expected]


def test_a_refused_edit_is_reported_with_its_reason() -> None:
    cluster = _cluster()
    slots = SetOverrides("/kassa", Overrides(slots=9))
    _submit(cluster, Edit("won", (slots,)))
    lost = Edit("lost", (slots,), expected=(ExpectedRevision("/kassa", 0),))
    _submit(cluster, lost)
    bad = SetOverrides("/kassa", Overrides(slots=-1))
    _submit(cluster, Edit("bad", (bad,)))
    _submit(cluster, Edit("", (slots,)))
    cluster.run(1.0)
    reasons = [(each.change_id, each.reason) for each in _noticed(cluster, EditRefused)]
    assert reasons == [("lost", "conflict"), ("bad", "invalid"), ("", "invalid")]
