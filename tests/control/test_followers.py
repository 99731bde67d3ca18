"""What a replica sends to a relay that starts to follow it."""

from __future__ import annotations

from peppershore.connection.codec import decode_message
from peppershore.connection.messages.relay import EditsCommitted, FollowRequest, TreeState
from peppershore.process.commands import SendEncoded, SendMessage
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


def _sent_while_a_restarted_replica_catches_up(after: int, at_once: int) -> list[object]:
    """Return what a relay is sent that follows a replica just after its restart.

    The replica knows what is committed only after it has heard from a leader; it then
    applies ``at_once`` edits together.
    """
    state = ControlState("test", 1_000, 1_000)
    relays = Followers(state)
    relays.follow(2, FollowRequest("test", "r1", "pasila", after))
    for number in range(1, at_once + 1):
        edit = Edit(f"e{number}", (SetOverrides("/kassa", Overrides(slots=number)),))
        state.apply(number, encode_command(EditAdmitted(edit)))
    commands = relays.advance(state.take_new_edits())
    again = SetOverrides("/kassa", Overrides(slots=1))
    state.apply(at_once + 1, encode_command(EditAdmitted(Edit("later", (again,)))))
    commands += relays.advance(state.take_new_edits())
    return [_message(each) for each in commands]


def _message(command: object) -> object:
    if isinstance(command, SendEncoded):
        return decode_message(command.payload).unwrap()
    assert isinstance(command, SendMessage)
    return command.message


def test_a_relay_without_memory_gets_the_tree_once_the_replica_knows_it() -> None:
    tree, later = _sent_while_a_restarted_replica_catches_up(0, 36)
    assert isinstance(tree, TreeState)
    assert tree.tree.version == 36
    assert isinstance(later, EditsCommitted)
    assert [each.version for each in later.edits] == [37]


def test_a_relay_with_memory_gets_just_the_edits_it_lacks() -> None:
    edits, _ = _sent_while_a_restarted_replica_catches_up(30, 36)
    assert isinstance(edits, EditsCommitted)
    assert [each.version for each in edits.edits] == [31, 32, 33, 34, 35, 36]
