"""How the leader accepts edits.

It answers an edit whose outcome is known, and refuses one whose change id may belong to an
outcome that is no longer retained. It validates and proposes all others. The horizon is the
version up to which outcomes have been dropped; see ``change_ids``.
"""

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
"""Link number of edits that a control replica composed itself, e.g. steps of roll-outs."""


class EditIntake:
    """Edits in progress on the leader.

    Each is validated on the tree as it will be after the edits proposed before it.
    """

    def __init__(self, state: ControlState) -> None:
        """Accept edits of the tree in ``state``; call ``begin`` before ``submit``."""
        self._state = state
        self._tree: Tree = state.tree
        self._waiting: dict[str, list[LinkId]] = {}

    def begin(self) -> None:
        """Start to accept edits; all log entries before this leadership are applied."""
        self._tree = self._state.tree

    def end(self) -> list[LinkId]:
        """Stop accepting edits; return the links that still wait for an outcome."""
        links = [link for waiting in self._waiting.values() for link in waiting]
        self._waiting.clear()
        self._state.forget_prepared()
        return links

    @property
    def waiting_edits(self) -> int:
        """Number of edits in progress, which have no outcome yet."""
        return len(self._waiting)

    def known_outcome(self, edit: Edit) -> EditOutcome | None:
        """Return an outcome that needs no new log entry, or None.

        It is a recorded one, a refusal because the change id may have been used before the
        horizon, or a refusal because the change id is empty or too long.
        """
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
        """Propose an edit that ``link`` sent, or the record of its refusal.

        ``propose`` appends a command to the log, at ``next_index``. An edit under the same
        change id that is already in progress is not proposed again. The outcome follows
        when the log entry is applied.
        """
        waiting = self._waiting.get(edit.change_id)
        if waiting is not None:
            if link not in waiting:
                waiting.append(link)
            return
        self._waiting[edit.change_id] = [link]
        stamped = msgspec.structs.replace(
            edit, accepted_unix_milliseconds=accepted_unix_milliseconds
        )
        result = apply_edit(self._tree, stamped, next_index)
        if not isinstance(result, Success):
            propose(OutcomeNoted(result.failure()))
            return
        applied = result.unwrap()
        index = propose(EditAdmitted(stamped))
        assert index == next_index
        self._tree = applied.tree
        self._state.prepare(index, applied)

    def links_waiting_for(self, change_id: str) -> list[LinkId]:
        """Remove and return the links that wait for the outcome of ``change_id``."""
        return self._waiting.pop(change_id, [])
