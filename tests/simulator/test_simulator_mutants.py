"""Cores that lack one guard each are found out: the simulator's checks bite."""

from __future__ import annotations

import math
from collections.abc import Callable

import msgspec
import pytest
from returns.result import Success

from peppershore.connection.messages.claims import ClaimGranted, ClaimRequest
from peppershore.connection.messages.node import Freshness
from peppershore.process.claims.core import ClaimsCore
from peppershore.process.claims.table import ClaimTable
from peppershore.process.consensus.core import Consensus
from peppershore.process.consensus.durability import DurabilityQueue
from peppershore.process.control.core import ControlCore, PendingRead
from peppershore.process.control.edit_intake import EditIntake
from peppershore.process.control.rotation import RotationBarrier
from peppershore.process.node import configuration
from peppershore.process.node.core import NodeCore
from peppershore.process.relay import core as relay_core
from peppershore.process.relay import node_service
from peppershore.process.relay.distribution import Distributor
from peppershore.version.model import Snapshot
from peppershore_lab.simulator import (
    accepted_log,
    checks,
    payout_calls,
    rotation_check,
    run,
    timeliness,
)
from peppershore_lab.simulator.host_clock import HostClock
from peppershore_lab.simulator.profiles import profile_named
from peppershore_lab.simulator.run import run_seed

SEEDS_FOR_A_MUTANT = 40

Drop = Callable[[pytest.MonkeyPatch], None]


def read_without_quorum(patch: pytest.MonkeyPatch) -> None:
    def ask_read(self, link, request):  # type: ignore[no-untyped-def]
        self._pending_reads[0] = PendingRead(link, request)
        self.on_read(0, confirmed=True)

    patch.setattr(ControlCore, "_ask_read", ask_read)


def forget_change_ids(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(EditIntake, "known_outcome", lambda self, edit: None)


def answer_before_the_sync(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(DurabilityQueue, "when_durable", lambda self, action: action())


def serve_forgetful_nodes_unconfirmed(patch: pytest.MonkeyPatch) -> None:
    welcome = node_service._session

    def session(link, hello, now):  # type: ignore[no-untyped-def]
        made = welcome(link, hello, now)
        made.needs_confirmation = False
        return made

    patch.setattr(node_service, "_session", session)
    patch.setattr(NodeCore, "_is_acceptable", lambda self, session, offer: True)


def apply_in_part(patch: pytest.MonkeyPatch) -> None:
    def apply_update(current, update):  # type: ignore[no-untyped-def]
        kept = {} if update.full else dict(current.resources)
        kept.update({each.name: each for each in update.changed[:-1]})
        return Success(Snapshot(update.scope, update.version, update.digest, kept))

    patch.setattr(configuration, "apply_update", apply_update)


def report_all_in_force(patch: pytest.MonkeyPatch) -> None:
    make_report = relay_core.make_report

    def report(*parts):  # type: ignore[no-untyped-def]
        made = make_report(*parts)
        return msgspec.structs.replace(made, in_force=made.version)

    patch.setattr(relay_core, "make_report", report)


def count_any_word_as_current(patch: pytest.MonkeyPatch) -> None:
    def applied(self, session, message):  # type: ignore[no-untyped-def]
        session.version = self._version
        session.digest = self._catalog.digest(session.scope)
        session.outstanding_version = 0
        self._mark_current(session)
        return False

    patch.setattr(Distributor, "applied", applied)


def take_and_count_any_word(patch: pytest.MonkeyPatch) -> None:
    def still_current(self, message):  # type: ignore[no-untyped-def]
        self.holder.confirm_current(message.version)

    count_any_word_as_current(patch)
    patch.setattr(NodeCore, "_still_current", still_current)


def confirm_what_is_behind(patch: pytest.MonkeyPatch) -> None:
    def freshness(self, session, confirmed_at):  # type: ignore[no-untyped-def]
        at = session.confirmed_at(confirmed_at)
        return Freshness(self.effective_version(session), at, session.digest)

    patch.setattr(Distributor, "freshness", freshness)


def count_the_way_as_fresh(patch: pytest.MonkeyPatch) -> None:
    def confirm(self, at_milliseconds):  # type: ignore[no-untyped-def]
        if at_milliseconds is not None and not self.holder.holds_nothing:
            self._confirmed_at = self._now

    patch.setattr(NodeCore, "_confirm", confirm)


def report_nothing(patch: pytest.MonkeyPatch) -> None:
    make_report = relay_core.make_report

    def report(*parts):  # type: ignore[no-untyped-def]
        return msgspec.structs.replace(make_report(*parts), in_force=0)

    patch.setattr(relay_core, "make_report", report)


def promote_without_waiting(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(RotationBarrier, "_obstacle", lambda self, secret, now: "")


def refuse_although_stale(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(rotation_check, "REFUSAL_FRESHNESS_SECONDS", math.inf)


def forget_the_vote(patch: pytest.MonkeyPatch) -> None:
    def enter_term(self, term, voted_for):  # type: ignore[no-untyped-def]
        self.term, self.voted_for = term, voted_for

    patch.setattr(Consensus, "enter_term", enter_term)


def grant_before_the_quorum(patch: pytest.MonkeyPatch) -> None:
    ask = ClaimsCore._ask

    def granted_at_once(self, link, asked):  # type: ignore[no-untyped-def]
        if self.leads and isinstance(asked, ClaimRequest):
            self.send(link, ClaimGranted(asked.request, 0))
        ask(self, link, asked)

    patch.setattr(ClaimsCore, "_ask", granted_at_once)


def forget_claims_with_the_snapshot(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ClaimTable, "restore", lambda self, data: self._clear())


def release_for_anybody(patch: pytest.MonkeyPatch) -> None:
    release = ClaimTable._release

    def unguarded(self, entry):  # type: ignore[no-untyped-def]
        record = self._find(entry.key)
        if record is not None:
            entry = msgspec.structs.replace(entry, attempt=record.attempt)
        release(self, entry)

    patch.setattr(ClaimTable, "_release", unguarded)


MUTANTS = [
    pytest.param(read_without_quorum, "control", checks.READ_CURRENT),
    pytest.param(forget_change_ids, "control", accepted_log.APPLIED_ONCE),
    pytest.param(answer_before_the_sync, "disks", checks.READ_CURRENT),
    pytest.param(serve_forgetful_nodes_unconfirmed, "memory", checks.NO_STEP_BACK),
    pytest.param(apply_in_part, "distribution", checks.WHOLE),
    pytest.param(report_all_in_force, "reports", checks.IN_FORCE),
    pytest.param(count_any_word_as_current, "reports", checks.IN_FORCE),
    pytest.param(take_and_count_any_word, "reports", checks.IN_EFFECT),
    pytest.param(confirm_what_is_behind, "reports", timeliness.CONFIRMED),
    pytest.param(count_the_way_as_fresh, "distribution", timeliness.CONFIRMED),
    pytest.param(report_nothing, "reports", run.REPORTED),
    pytest.param(promote_without_waiting, "reports", rotation_check.KEY_IS_KNOWN),
    pytest.param(refuse_although_stale, "silent-verifiers", rotation_check.NOBODY_REFUSED),
    pytest.param(forget_the_vote, "disks", checks.ONE_LEADER),
    pytest.param(grant_before_the_quorum, "payouts", payout_calls.AT_MOST_ONCE),
    pytest.param(
        forget_claims_with_the_snapshot, "payout-losses", payout_calls.AT_MOST_ONCE
    ),
    pytest.param(release_for_anybody, "payouts", payout_calls.AT_MOST_ONCE),
]


@pytest.mark.parametrize(("drop", "profile_name", "promise"), MUTANTS)
def test_a_core_without_a_guard_is_found_out(
    drop: Drop, profile_name: str, promise: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    profile = profile_named(profile_name)
    assert profile is not None
    drop(monkeypatch)
    results = (run_seed(profile, seed) for seed in range(1, SEEDS_FOR_A_MUTANT + 1))
    assert any(result.promise == promise for result in results)


STALE_LEASE_SEEDS = (13, 76, 83)
FORMER_STALE_LEASE_SEEDS = (21, 26)
"""Showed it while relays asked less often, or answered a hello later; they pass still."""


def test_a_clock_that_stands_still_while_suspended_is_found_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A leader that wakes reads by a lease that another leader has overtaken."""
    profile = profile_named("suspended-leader")
    assert profile is not None
    for seed in (*FORMER_STALE_LEASE_SEEDS, *STALE_LEASE_SEEDS):
        assert run_seed(profile, seed).passed
    monkeypatch.setattr(HostClock, "counts_suspension", False)
    found = [run_seed(profile, seed).promise for seed in STALE_LEASE_SEEDS]
    assert checks.READ_CURRENT in found
