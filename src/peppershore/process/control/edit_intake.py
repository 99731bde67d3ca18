"""How the leader takes edits: first outcomes, horizon, validation, proposal."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from returns.result import Success

from peppershore.process.control.change_ids import (
    MAX_CHANGE_ID_CHARACTERS,
    may_have_run_before,
)
from peppershore.process.control.state import (
    ControlCommand,
    ControlState,
    EditAdmitted,
    OutcomeNoted,
)
from peppershore.process.events import LinkId
from peppershore.version.model import (
    Edit,
    EditExpired,
    EditInvalid,
    EditOutcome,
    Problem,
    Tree,
    Version,
)
from peppershore.version.tree import apply_edit

Propose = Callable[[ControlCommand], int | None]

INTERNAL_LINK: LinkId = 0
"""Stands for the control group itself as the sender of an edit."""


class EditIntake:
    """Edits under way on the leader, judged on the tree that they will meet."""

    def __init__(self, state: ControlState) -> None:
        """Take nothing before ``begin``."""
        self._state = state
        self._tree: Tree = state.tree
        self._waiting: dict[str, list[LinkId]] = {}

    def begin(self) -> None:
        """This replica leads: everything in the log before now is applied."""
        self._tree = self._state.tree

    def end(self) -> list[LinkId]:
        """This replica leads no more; give who waits without an outcome."""
        links = [link for waiting in self._waiting.values() for link in waiting]
        self._waiting.clear()
        self._state.forget_prepared()
        return links

    @property
    def waiting_edits(self) -> int:
        """Edits without outcome."""
        return len(self._waiting)

    def known_outcome(self, edit: Edit) -> EditOutcome | None:
        """An outcome that needs no new entry in the log."""
        recorded = self._state.outcomes.find(edit.change_id)
        if recorded is not None:
            return recorded
        horizon = self._state.outcomes.horizon_version
        if may_have_run_before(edit, horizon):
            return EditExpired(edit.change_id, horizon)
        if not 0 < len(edit.change_id) <= MAX_CHANGE_ID_CHARACTERS:
            allowed = f"1 to {MAX_CHANGE_ID_CHARACTERS} characters"
            problem = Problem("change_id", "bad length", allowed)
            return EditInvalid(edit.change_id[:MAX_CHANGE_ID_CHARACTERS], (problem,))
        return None

    def submit(
        self,
        link: LinkId,
        edit: Edit,
        accepted_unix_milliseconds: int,
        next_index: Version,
        propose: Propose,
    ) -> None:
        """Propose an edit, or its refusal, once; the outcome comes when applied."""
        waiting = self._waiting.get(edit.change_id)
        if waiting is not None:
            if link not in waiting:
                waiting.append(link)
            return
        self._waiting[edit.change_id] = [link]
        stamped = msgspec.structs.replace(
            edit, accepted_unix_milliseconds=accepted_unix_milliseconds
        )
        judged = apply_edit(self._tree, stamped, next_index)
        if not isinstance(judged, Success):
            propose(OutcomeNoted(judged.failure()))
            return
        applied = judged.unwrap()
        index = propose(EditAdmitted(stamped))
        assert index == next_index
        self._tree = applied.tree
        self._state.prepare(index, applied)

    def links_waiting_for(self, change_id: str) -> list[LinkId]:
        """Who waits for this outcome; they wait no more."""
        return self._waiting.pop(change_id, [])
