"""Operators of an experiment: races share a revision, resends share a change id."""

import asyncio
import time

from returns.result import Failure, Success

from peppershore.version.model import EditAccepted, EditConflict
from peppershore_lab.experiments.definition import EditLoad
from peppershore_lab.experiments.edits import Operators
from peppershore_lab.fleet.deployment import REFUND_NETWORK
from peppershore_lab.journal import JournalReader
from peppershore_lab.operator_client import Unreachable

FIRST_VERSION = 3


class ControlGroup:
    """Accepts edits whose expected revision is the newest; knows change ids."""

    def __init__(self, answers_lost=0):
        self.version = FIRST_VERSION
        self.revisions = {}
        self.outcomes = {}
        self.edits = []
        self.answers_lost = answers_lost

    async def submit(self, edit):
        self.edits.append(edit)
        outcome = self.outcomes.get(edit.change_id) or self.decide(edit)
        self.outcomes[edit.change_id] = outcome
        if self.answers_lost:
            self.answers_lost -= 1
            return Failure(Unreachable("the answer was lost"))
        return Success(outcome)

    def decide(self, edit):
        path = edit.operations[0].path
        revision = self.revisions.get(path, FIRST_VERSION)
        for expected in edit.expected:
            if expected.revision != revision:
                return EditConflict(edit.change_id, path, expected.revision, revision)
        self.version += 1
        self.revisions[path] = self.version
        return EditAccepted(edit.change_id, self.version)


def run(tmp_path, group, **load):
    fields = {"until_seconds": 0.1, "per_second": 100.0} | load
    journal = tmp_path / "edits.jsonl"
    operators = Operators(
        EditLoad(**fields), REFUND_NETWORK, (group, group), journal, seed=1
    )
    told = []
    operators.listeners.append(lambda edit, version: told.append((edit, version)))
    asyncio.run(operators.run(time.monotonic(), FIRST_VERSION))
    return operators.records, told


def test_steady_edits_are_all_accepted_and_told_once(tmp_path):
    group = ControlGroup()
    records, told = run(tmp_path, group, resend_share=1.0)
    firsts = [record for record in records if not record.resend]
    assert len(records) == 2 * len(firsts)
    assert {record.outcome for record in records} == {"accepted"}
    assert len(told) == len(group.outcomes) == len(firsts)
    values = {edit.operations[0].overrides.timeout_milliseconds for edit, _ in told}
    assert len(values) == len(told)


def test_of_every_race_one_wins_also_after_earlier_races_on_the_path(tmp_path):
    records, told = run(
        tmp_path, ControlGroup(), race_share=1.0, paths=("/kassa/*/payout",)
    )
    races = {record.race for record in records}
    for race in races:
        outcomes = [record.outcome for record in records if record.race == race]
        assert sorted(outcomes) == ["accepted", "conflict"]
    assert len(told) == len(races) > 1


def test_an_edit_whose_answer_was_lost_is_sent_again_with_its_change_id(tmp_path):
    group = ControlGroup(answers_lost=1)
    records, told = run(tmp_path, group)
    lost, again = records[0], records[1]
    assert (lost.outcome, again.outcome) == ("unanswered", "accepted")
    assert lost.change_id == again.change_id and again.resend
    assert len(told) == len(group.outcomes)


def test_the_journal_holds_every_answer(tmp_path):
    records, _ = run(tmp_path, ControlGroup(), race_share=0.5)
    reader = JournalReader(type(records[0]))
    assert reader.read(tmp_path / "edits.jsonl") == records
