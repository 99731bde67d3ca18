"""The replicated state of the control group: tree, outcomes of edits, recent edits."""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.relay import CommittedEdit
from peppershore.connection.packing import pack_block, unpack_block
from peppershore.process.control.history import History, KeptEdit
from peppershore.process.control.outcomes import OutcomeTable, RecordedOutcome
from peppershore.version.model import Edit, EditAccepted, EditOutcome, Tree, Version
from peppershore.version.tree import AppliedEdit, empty_tree, replay_edit


class EditAdmitted(msgspec.Struct, frozen=True, tag=1, array_like=True):
    """Log command: the leader found this edit valid on the tree before it."""

    edit: Edit


class OutcomeNoted(msgspec.Struct, frozen=True, tag=2, array_like=True):
    """Log command: the leader refused an edit; a resend gets the same answer."""

    outcome: EditOutcome


ControlCommand = EditAdmitted | OutcomeNoted


class StateImage(msgspec.Struct, frozen=True, array_like=True):
    """The encoded form of the complete state."""

    tree: Tree
    horizon_version: Version
    outcomes: tuple[RecordedOutcome, ...]
    base_version: Version
    history: tuple[KeptEdit, ...]


_ENCODER = msgspec.msgpack.Encoder()
_COMMANDS: msgspec.msgpack.Decoder[ControlCommand] = msgspec.msgpack.Decoder(ControlCommand)
_IMAGES = msgspec.msgpack.Decoder(StateImage)


def encode_command(command: ControlCommand) -> bytes:
    """Encode a command as the payload of a log entry.

    A long payload is compressed, because it is sent to every replica.
    """
    return pack_block(_ENCODER.encode(command))


def decode_command(payload: bytes) -> ControlCommand:
    """Decode the payload of a log entry, compressed or not."""
    return _COMMANDS.decode(unpack_block(payload))


class ControlState:
    """Applies log commands; the same log gives the same state on every replica."""

    def __init__(self, cluster: str, outcome_capacity: int, history_capacity: int) -> None:
        """Start with the empty tree of ``cluster``, without outcomes and edits.

        The capacities are the numbers of edits' outcomes and of edits that are retained.
        """
        self.tree = empty_tree(cluster)
        self.outcomes = OutcomeTable(outcome_capacity)
        self.history = History(history_capacity)
        self._prepared: dict[int, AppliedEdit] = {}
        self._new_outcomes: list[EditOutcome] = []
        self._new_edits: list[CommittedEdit] = []

    def prepare(self, index: int, applied: AppliedEdit) -> None:
        """Store the result of the leader's own proposal at ``index`` for ``apply``."""
        self._prepared[index] = applied

    def forget_prepared(self) -> None:
        """Drop the stored results of own proposals.

        Another leader may now write other entries at their indexes.
        """
        self._prepared.clear()

    def apply(self, index: int, payload: bytes) -> None:
        """Apply the command of the entry at ``index``."""
        command = decode_command(payload)
        if isinstance(command, OutcomeNoted):
            self._record(index, command.outcome)
            return
        edit = command.edit
        applied = self._prepared.pop(index, None)
        if applied is None:
            applied = replay_edit(self.tree, edit, index)
        self.history.add(edit, self.tree, applied)
        self.tree = applied.tree
        self._new_edits.append(CommittedEdit(index, edit))
        self._record(index, EditAccepted(edit.change_id, index))

    def snapshot(self) -> bytes:
        """Return the complete state in encoded form."""
        image = StateImage(
            self.tree,
            self.outcomes.horizon_version,
            self.outcomes.all_recorded(),
            self.history.base_version,
            self.history.retained_edits(),
        )
        return pack_block(_ENCODER.encode(image))

    def restore(self, state: bytes) -> None:
        """Replace the complete state by an encoded one."""
        image = _IMAGES.decode(unpack_block(state))
        self.tree = image.tree
        self.outcomes.restore(image.horizon_version, image.outcomes)
        self.history.restore(image.base_version, image.history)
        self._prepared.clear()

    def begin_history(self, version: Version) -> None:
        """Set the version of the tree to ``version`` and drop all retained edits.

        A relay that followed before is sent the complete tree.
        """
        self.tree = msgspec.structs.replace(self.tree, version=version)
        self.history.restore(version, ())

    def take_new_outcomes(self) -> list[EditOutcome]:
        """Return the outcomes recorded since the last call, in log order."""
        taken = self._new_outcomes
        self._new_outcomes = []
        return taken

    def take_new_edits(self) -> list[CommittedEdit]:
        """Return the edits accepted since the last call, in log order."""
        taken = self._new_edits
        self._new_edits = []
        return taken

    def _record(self, index: int, outcome: EditOutcome) -> None:
        self.outcomes.record(index, outcome)
        self._new_outcomes.append(outcome)
