"""Fake control replica that accepts every edit at once, for relay and node tests."""

from __future__ import annotations

from peppershore.connection.messages.relay import (
    CommittedEdit,
    ConfirmReply,
    ConfirmRequest,
    EditsCommitted,
    FollowRequest,
    ProgressReported,
    TreeState,
)
from peppershore.process import events
from peppershore.process.commands import Command, SendMessage
from peppershore.version.model import (
    Edit,
    Operation,
    Overrides,
    SetOverrides,
    SetZone,
    Tree,
)
from peppershore.version.tree import apply_edit, empty_tree

CLUSTER = "test"


class AcceptEdit(events.Event, frozen=True):
    """Make the replica accept an edit with these operations."""

    operations: tuple[Operation, ...]


class ScriptedReplica:
    """Holds the log and the tree; answers confirmation requests while ``has_quorum``."""

    def __init__(self) -> None:
        self.tree: Tree = empty_tree(CLUSTER)
        self.edits: list[CommittedEdit] = []
        self.followers: set[int] = set()
        self.reports: dict[str, ProgressReported] = {}
        self.has_quorum = True
        self.forgets_log = False
        self.loses_edits = False

    def step(self, event: events.Event, now: float) -> list[Command]:
        match event:
            case AcceptEdit():
                return self._accept(event)
            case events.LinkClosed():
                self.followers.discard(event.link)
            case events.MessageReceived():
                return self._message(event)
        return []

    def _accept(self, event: AcceptEdit) -> list[Command]:
        version = self.tree.version + 1
        edit = Edit(f"change-{version}", event.operations)
        self.tree = apply_edit(self.tree, edit, version).unwrap().tree
        committed = CommittedEdit(version, edit)
        self.edits.append(committed)
        message = EditsCommitted((committed,))
        if self.loses_edits:
            return []
        return [SendMessage(link, message) for link in sorted(self.followers)]

    def _message(self, event: events.MessageReceived) -> list[Command]:
        match event.message:
            case FollowRequest(after_version=after):
                self.followers.add(event.link)
                if self.forgets_log:
                    return [SendMessage(event.link, TreeState(self.tree))]
                missed = tuple(each for each in self.edits if each.version > after)
                return [SendMessage(event.link, EditsCommitted(missed))]
            case ConfirmRequest(nonce=nonce) if self.has_quorum:
                return [SendMessage(event.link, ConfirmReply(nonce, self.tree.version))]
            case ProgressReported():
                self.reports[event.message.relay] = event.message
        return []


def base_operations() -> tuple[Operation, ...]:
    """Return operations for two zones and "kassa" calling "kuitti", one route each."""
    return (
        SetZone("pasila", "uusimaa"),
        SetZone("vantaa", "uusimaa"),
        SetOverrides("/kuitti/*/find", Overrides(path_prefix="/find", target="kuitti")),
        SetOverrides("/kassa", Overrides(calls=("kuitti",))),
        SetOverrides("/kassa/*/pay", Overrides(path_prefix="/pay", target="kassa")),
    )


def timeout_change(service: str, route: str, milliseconds: int) -> tuple[Operation, ...]:
    """Return the operations that change the time-out of one route."""
    overrides = Overrides(timeout_milliseconds=milliseconds)
    return (SetOverrides(f"/{service}/*/{route}", overrides),)
