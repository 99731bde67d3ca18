"""What a relay is sent that begins to follow a replica."""

from __future__ import annotations

from peppershore.connection.messages import EditsCommitted, FollowRequest, TreeState
from peppershore.process.commands import SendMessage
from peppershore.process.control.followers import MAX_EDITS_TO_CATCH_UP, Followers
from peppershore.process.control.state import ControlState, EditAdmitted, encode_command
from peppershore.version.model import Edit, Overrides, SetOverrides

EDITS = MAX_EDITS_TO_CATCH_UP + 30


def followers() -> Followers:
    state = ControlState("test", 1_000, 1_000)
    for number in range(1, EDITS + 1):
        change = SetOverrides("/kassa", Overrides(timeout_milliseconds=number))
        edit = Edit(f"e{number}", (change,))
        state.apply(number, encode_command(EditAdmitted(edit)))
    return Followers(state)


def sent(after: int) -> list[object]:
    commands = followers().follow(2, FollowRequest("test", "r1", "pasila", after))
    return [each.message for each in commands if isinstance(each, SendMessage)]


def test_a_relay_without_memory_gets_the_tree_and_no_edits() -> None:
    (message,) = sent(0)
    assert isinstance(message, TreeState)
    assert message.tree.version == EDITS


def test_a_relay_that_lacks_many_edits_gets_the_tree() -> None:
    (message,) = sent(10)
    assert isinstance(message, TreeState)


def test_a_relay_that_lacks_few_gets_just_those() -> None:
    (message,) = sent(EDITS - 3)
    assert isinstance(message, EditsCommitted)
    assert [each.version for each in message.edits] == [EDITS - 2, EDITS - 1, EDITS]
    assert sent(EDITS) == []
