"""Specification of distributing a version: replicas' log to relays to one node.

Versions are accepted one after the other; two relays follow at any distance,
so a relay may be cut off for as long as it takes.  The node has a session with
each relay at once.  Each direction of a session carries one message at a time,
which may arrive at any moment after others overtook it on the other session, or
be lost with the session.  The node crashes and comes back with what its disk
held, or with nothing; relays come back with nothing.

What a relay sends and whether the node takes it are worked out by the product's
own functions (``distribution_values``).
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

from peppershore.process.node.configuration import NOT_NEWER
from peppershore.version.model import Update, Version
from spec.distribution_values import (
    NEWEST,
    NOTHING,
    Holding,
    damaged,
    digest_at,
    is_whole_and_closed,
    last_change,
    refusal,
    same_content,
    update_between,
)
from spec.specification import Mutant, Specification

RELAYS = 2
NO_RELAY = -1
FIRST: Version = 1

GUARD_NEWER = "a node takes only versions above its own"
GUARD_CONFIRMED = "a node without memory waits for a confirmation asked after its hello"
GUARD_SYNCED = "a node with a disk syncs a version before it uses it"
GUARD_DIGEST = "a node checks the digest of what it put together"
GUARD_NAMED = "a relay's word counts only for the content that it names"
GUARD_SAID_SO = "a node that skipped a change counts as current once it has said so"

NO_STEP_BACK = "the node never goes back to an older version"
WHOLE = "the node holds all of a version, closed, or nothing of it"
IN_EFFECT = "the node holds the content of the version it says is in effect"
REPORTED = "a node that a relay counts as current holds that relay's version"

CLOSED = 0
HELLO = 1
OPEN = 2

READY: Version = 0
UNASKED: Version = -1
"""Of ``Session.required``: no confirmation is needed, or none is asked for yet."""


class ToNode(NamedTuple):
    """A message on its way to the node: an update if ``update`` is set.

    Else a word (``Current``, ``Freshness``) on the content that the node is believed to
    hold: that it is right up to the version.
    """

    version: Version
    update: Update | None = None
    content: Version = NOTHING


class ToRelay(NamedTuple):
    """The node's word that it holds a content, or that it refused an update."""

    effective: Version
    content: Version
    is_refusal: bool = False


class Session(NamedTuple):
    """One session.  What the relay believes, what the node noted, what is under way."""

    phase: int = CLOSED
    believed_effective: Version = NOTHING
    believed_content: Version = NOTHING
    required: Version = READY
    outstanding: Version = NOTHING
    answered: bool = False
    to_node: ToNode | None = None
    to_relay: ToRelay | None = None


NO_SESSION = Session()


class Pending(NamedTuple):
    """A version that is being stored, and the relay that sent it."""

    version: Version
    relay: int


class State(NamedTuple):
    """Everything."""

    accepted: Version
    relays: tuple[Version, ...]
    sessions: tuple[Session, ...]
    holding: Holding
    pending: Pending | None
    stored: Version
    highest: Version
    went_back: bool
    is_whole: bool
    was_damaged: bool


Successors = list[tuple[str, State]]


def _start(was_damaged: bool) -> State:
    return State(
        accepted=FIRST,
        relays=(FIRST,) * RELAYS,
        sessions=(NO_SESSION,) * RELAYS,
        holding=Holding(),
        pending=None,
        stored=NOTHING,
        highest=NOTHING,
        went_back=False,
        is_whole=True,
        was_damaged=was_damaged,
    )


def build(without: str, has_disk: bool) -> Protocol:
    """Give the model without the named guard, for a node with or without a disk.

    Damaged updates come only in the model without a disk, which is the smaller.
    """
    return Protocol(
        name="distribution to a node with a disk" if has_disk else "distribution",
        candidate=False,
        fields=State._fields,
        initial=_start(was_damaged=has_disk),
        transitions=_Transitions(without, has_disk),
        invariants={
            NO_STEP_BACK: lambda state: not state["went_back"],
            WHOLE: lambda state: state["is_whole"],
            IN_EFFECT: lambda state: _is_in_effect(state["holding"]),
            REPORTED: lambda state: _is_reported(state, without),
        },
    )


def _is_in_effect(holding: Holding) -> bool:
    if holding.content == NOTHING:
        return True
    return same_content(holding.content, holding.effective)


def _is_reported(state: dict[str, object], without: str) -> bool:
    relays = state["relays"]
    sessions = state["sessions"]
    holding = state["holding"]
    assert isinstance(relays, tuple)
    assert isinstance(sessions, tuple)
    assert isinstance(holding, Holding)
    return all(
        _holds(holding, version)
        for version, session in zip(relays, sessions, strict=True)
        if _counts_as_current(session, version, without)
    )


def _counts_as_current(session: Session, version: Version, without: str) -> bool:
    if session.phase != OPEN or session.believed_content == NOTHING:
        return False
    if session.outstanding or not same_content(session.believed_content, version):
        return False
    said_so = session.believed_effective >= last_change(version)
    return said_so or without == GUARD_SAID_SO


def _holds(holding: Holding, version: Version) -> bool:
    return holding.content > version or same_content(holding.content, version)


def _with_session(state: State, relay: int, session: Session) -> State:
    sessions = state.sessions
    changed = (*sessions[:relay], session, *sessions[relay + 1 :])
    return state._replace(sessions=changed)


def _without_session(state: State, relay: int) -> State:
    """The session is lost; a version of it that is being stored has no origin left."""
    pending = state.pending
    if pending is not None and pending.relay == relay:
        state = state._replace(pending=Pending(pending.version, NO_RELAY))
    return _with_session(state, relay, NO_SESSION)


def _with_relay(state: State, relay: int, version: Version) -> State:
    relays = state.relays
    return state._replace(relays=(*relays[:relay], version, *relays[relay + 1 :]))


class _Transitions:
    """All that may happen next."""

    def __init__(self, without: str, has_disk: bool) -> None:
        self._without = without
        self._has_disk = has_disk

    def _has(self, guard: str) -> bool:
        return self._without != guard

    def __call__(self, state: State) -> Successors:
        state = State(*state)
        successors: Successors = []
        if state.accepted < NEWEST:
            after = state._replace(accepted=state.accepted + 1)
            successors.append((f"version {after.accepted} is accepted", after))
        for relay in range(RELAYS):
            successors += self._relay_moves(state, relay)
            successors += self._session_moves(state, relay)
            successors += self._node_receives(state, relay)
        successors += self._node_moves(state)
        return successors

    # --- relays ------------------------------------------------------------------

    def _relay_moves(self, state: State, relay: int) -> Successors:
        version = state.relays[relay]
        successors: Successors = []
        if version < state.accepted:
            after = _with_relay(state, relay, version + 1)
            successors.append((f"relay {relay} reaches version {version + 1}", after))
        if version > NOTHING:
            after = _with_relay(state, relay, NOTHING)
            after = _without_session(after, relay)
            successors.append((f"relay {relay} restarts", after))
        return successors

    def _session_moves(self, state: State, relay: int) -> Successors:
        session = state.sessions[relay]
        if session.phase == CLOSED:
            return self._connect(state, relay)
        lost = _without_session(state, relay)
        successors: Successors = [(f"the session with relay {relay} is lost", lost)]
        if session.phase == HELLO:
            return [*successors, self._hello_arrives(state, relay, session)]
        if session.to_relay is not None:
            successors.append(self._word_arrives(state, relay, session))
        if session.required == UNASKED:
            asked = session._replace(required=state.accepted)
            after = _with_session(state, relay, asked)
            successors.append(
                (f"relay {relay} has version {state.accepted} confirmed", after)
            )
        elif READY < session.required <= state.relays[relay]:
            after = _with_session(state, relay, session._replace(required=READY))
            successors.append((f"relay {relay} has reached what was confirmed", after))
        if session.to_node is None:
            successors += self._offer(state, relay, session)
            successors += self._heartbeat(state, relay, session)
        return successors

    def _connect(self, state: State, relay: int) -> Successors:
        holding = state.holding
        forgetful = holding.content == NOTHING and holding.floor == NOTHING
        session = Session(
            phase=HELLO,
            believed_effective=holding.effective,
            believed_content=holding.content,
            required=UNASKED if forgetful and self._has(GUARD_CONFIRMED) else READY,
        )
        return [
            (f"the node connects to relay {relay}", _with_session(state, relay, session))
        ]

    def _hello_arrives(
        self, state: State, relay: int, session: Session
    ) -> tuple[str, State]:
        after = _with_session(state, relay, session._replace(phase=OPEN))
        return f"the hello reaches relay {relay}", after

    def _word_arrives(
        self, state: State, relay: int, session: Session
    ) -> tuple[str, State]:
        word = session.to_relay
        assert word is not None
        believed = max(session.believed_effective, word.effective)
        is_older = word.effective < session.outstanding
        if word.is_refusal:
            heard = session._replace(to_relay=None, outstanding=0, believed_content=0)
        elif is_older:
            heard = session._replace(to_relay=None, believed_effective=believed)
        else:
            heard = session._replace(
                to_relay=None,
                outstanding=0,
                believed_effective=believed,
                believed_content=word.content,
            )
        return f"the node's word reaches relay {relay}", _with_session(state, relay, heard)

    def _offer(self, state: State, relay: int, session: Session) -> Successors:
        version = state.relays[relay]
        believed = session.believed_effective
        if session.outstanding or session.required != READY:
            return []
        if version == NOTHING or believed > version:
            return []
        digest = digest_at(session.believed_content)
        update = update_between(believed, digest, version)
        if update is None:
            return self._answer_current(state, relay, session, version)
        if update.version <= believed:
            return []
        sent = session._replace(outstanding=version, to_node=ToNode(version, update))
        successors: Successors = [
            (f"relay {relay} offers version {version}", _with_session(state, relay, sent))
        ]
        if not state.was_damaged:
            broken = sent._replace(to_node=ToNode(version, damaged(update)))
            after = _with_session(state, relay, broken)._replace(was_damaged=True)
            successors.append((f"relay {relay} offers version {version}, damaged", after))
        return successors

    def _answer_current(
        self, state: State, relay: int, session: Session, version: Version
    ) -> Successors:
        if session.answered:
            return []
        content = session.believed_content
        told = session._replace(to_node=ToNode(version, content=content))
        after = _with_session(state, relay, told)
        return [(f"relay {relay} answers that nothing changed up to {version}", after)]

    def _heartbeat(self, state: State, relay: int, session: Session) -> Successors:
        version = state.relays[relay]
        current = same_content(session.believed_content, version)
        if not current or session.outstanding or version <= session.believed_effective:
            return []
        content = session.believed_content
        told = session._replace(to_node=ToNode(version, content=content))
        after = _with_session(state, relay, told)
        return [(f"relay {relay} says that version {version} is in effect", after)]

    # --- the node ------------------------------------------------------------------

    def _node_receives(self, state: State, relay: int) -> Successors:
        session = state.sessions[relay]
        message = session.to_node
        if message is None:
            return []
        taken = session._replace(to_node=None, answered=True)
        if message.update is not None:
            after = self._take_update(state, relay, taken, message.update)
            return [(f"the node receives an update from relay {relay}", after)]
        after = self._take_word(state, relay, taken, message)
        return [(f"the node hears of version {message.version} from relay {relay}", after)]

    def _take_update(
        self, state: State, relay: int, session: Session, update: Update
    ) -> State:
        holding = state.holding
        reason = self._refusal(state, relay, update)
        if reason == NOT_NEWER:
            word = ToRelay(holding.effective, holding.content)
        else:
            word = ToRelay(NOTHING, NOTHING, is_refusal=True)
        if reason:
            return _with_session(state, relay, session._replace(to_relay=word))
        after = _with_session(state, relay, session)
        if not self._has(GUARD_DIGEST):
            whole = is_whole_and_closed(holding.content, update)
            after = after._replace(is_whole=after.is_whole and whole)
        pending = Pending(update.version, relay)
        if self._has_disk:
            after = after._replace(pending=pending)
            return after if self._has(GUARD_SYNCED) else self._use(after, pending)
        return self._use(after, pending)

    def _refusal(self, state: State, relay: int, update: Update) -> str:
        if state.pending is not None and state.pending.relay != relay:
            return "another version is being stored"
        holding = state.holding
        if not self._has(GUARD_NEWER):
            base_fits = update.full or update.base_digest == digest_at(holding.content)
            return "" if base_fits else "other-base"
        reason = refusal(holding, update)
        if reason == "digest-mismatch" and not self._has(GUARD_DIGEST):
            return ""
        return reason

    def _take_word(
        self, state: State, relay: int, session: Session, message: ToNode
    ) -> State:
        holding = state.holding
        is_named = same_content(message.content, holding.content)
        agrees = is_named or not self._has(GUARD_NAMED)
        if state.pending is None and holding.content != NOTHING and agrees:
            effective = max(holding.effective, message.version)
            holding = Holding(holding.content, effective, effective)
        word = session.to_relay
        if word is None or not word.is_refusal:
            word = ToRelay(holding.effective, holding.content)
        session = session._replace(to_relay=word)
        return _with_session(state, relay, session)._replace(holding=holding)

    def _use(self, state: State, pending: Pending) -> State:
        version = pending.version
        effective = max(state.holding.effective, version)
        sessions = tuple(
            self._told(session, pending, effective) for session in state.sessions
        )
        return state._replace(
            sessions=sessions,
            holding=Holding(version, effective, version),
            highest=max(state.highest, version),
            went_back=state.went_back or version < state.highest,
        )

    def _told(self, session: Session, pending: Pending, effective: Version) -> Session:
        if session.phase != OPEN or not session.answered:
            return session
        return session._replace(to_relay=ToRelay(effective, pending.version))

    def _node_moves(self, state: State) -> Successors:
        successors: Successors = []
        pending = state.pending
        if pending is not None:
            after = state._replace(pending=None, stored=pending.version)
            if self._has(GUARD_SYNCED):
                after = self._use(after, pending)
            successors.append((f"version {pending.version} is synced", after))
        restarted = state._replace(
            sessions=(NO_SESSION,) * RELAYS,
            holding=Holding(state.stored, state.stored, state.stored),
            pending=None,
            went_back=state.went_back or NOTHING < state.stored < state.highest,
        )
        if restarted != state:
            successors.append(("the node crashes and restarts", restarted))
        return successors


def _build_without_disk(without: str) -> Protocol:
    return build(without, has_disk=False)


def _build_with_disk(without: str) -> Protocol:
    return build(without, has_disk=True)


SPECIFICATION = Specification(
    name="distribution",
    summary="relays and a node without memory; crossing, loss, cut-off relays",
    build=_build_without_disk,
    mutants=(
        Mutant(GUARD_NEWER, NO_STEP_BACK),
        Mutant(GUARD_CONFIRMED, NO_STEP_BACK),
        Mutant(GUARD_DIGEST, WHOLE),
        Mutant(GUARD_NAMED, IN_EFFECT),
        Mutant(GUARD_SAID_SO, REPORTED),
    ),
    max_states=600_000,
)

WITH_DISK = Specification(
    name="distribution-disk",
    summary="the same for a node whose disk keeps its last version",
    build=_build_with_disk,
    mutants=(
        Mutant(GUARD_NEWER, NO_STEP_BACK),
        Mutant(GUARD_SYNCED, NO_STEP_BACK),
        Mutant(GUARD_NAMED, IN_EFFECT),
        Mutant(GUARD_SAID_SO, REPORTED),
    ),
    max_states=600_000,
)
