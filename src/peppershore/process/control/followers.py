"""Relays that follow the committed edits of this replica."""

from __future__ import annotations

from peppershore.connection.codec import encode_message
from peppershore.connection.messages.relay import (
    CommittedEdit,
    EditsCommitted,
    FollowRequest,
    TreeState,
)
from peppershore.process.commands import Command, SendEncoded, SendMessage
from peppershore.process.control.state import ControlState
from peppershore.process.events import LinkId
from peppershore.version.model import Version

MAX_EDITS_IN_MESSAGE = 200
MAX_EDITS_TO_CATCH_UP = 50
"""A relay that lacks more edits is sent the complete tree: applying edits one by one costs
it some milliseconds each, just when its nodes wait for it."""


class Followers:
    """Sends every following relay each accepted edit once, in log order."""

    def __init__(self, state: ControlState) -> None:
        """Start without relays; those added later follow the tree in ``state``."""
        self._state = state
        self._sent: dict[LinkId, Version] = {}

    def follow(self, link: LinkId, request: FollowRequest) -> list[Command]:
        """Add a relay and return the messages that bring it up to date."""
        version = self._state.tree.version
        after = request.after_version
        self._sent[link] = max(after, version)
        if after >= version:
            return []
        if after == 0 or after < self._state.history.base_version:
            return [SendMessage(link, TreeState(self._state.tree))]
        edits = self._state.history.edits_after(after)
        if len(edits) > MAX_EDITS_TO_CATCH_UP:
            return [SendMessage(link, TreeState(self._state.tree))]
        return [SendMessage(link, message) for message in _messages(edits)]

    def leave(self, link: LinkId) -> None:
        """Remove the relay on a closed link."""
        self._sent.pop(link, None)

    def advance(self, edits: list[CommittedEdit]) -> list[Command]:
        """Return the messages that send newly accepted edits to all relays that lack them.

        A relay that has received nothing yet is sent the complete tree instead of several
        edits.
        """
        if not edits:
            return []
        commands: list[Command] = []
        encoded = [encode_message(message) for message in _messages(tuple(edits))]
        first = edits[0].version
        last = edits[-1].version
        for link, sent in self._sent.items():
            if sent == 0 and len(edits) > 1:
                commands.append(SendMessage(link, TreeState(self._state.tree)))
            elif sent < first:
                commands += [SendEncoded(link, payload) for payload in encoded]
            elif sent < last:
                missing = tuple(edit for edit in edits if edit.version > sent)
                commands += [SendMessage(link, each) for each in _messages(missing)]
            self._sent[link] = max(sent, last)
        return commands

    def state_replaced(self) -> list[Command]:
        """Return the messages that send the complete tree to relays that lack edits.

        To be called after the state was replaced by that of a snapshot.
        """
        version = self._state.tree.version
        behind = [link for link, sent in self._sent.items() if sent < version]
        for link in behind:
            self._sent[link] = version
        return [SendMessage(link, TreeState(self._state.tree)) for link in behind]

    def links(self) -> tuple[LinkId, ...]:
        """Return the links of all relays that follow this replica."""
        return tuple(self._sent)


def _messages(edits: tuple[CommittedEdit, ...]) -> list[EditsCommitted]:
    starts = range(0, len(edits), MAX_EDITS_IN_MESSAGE)
    return [EditsCommitted(edits[start : start + MAX_EDITS_IN_MESSAGE]) for start in starts]
