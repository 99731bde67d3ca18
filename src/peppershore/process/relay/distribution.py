"""Decide which node session needs which configuration update, and when it is sent.

At most one update per session is unanswered. Changes that arrive in the meantime are
sent together after the answer, so a slow node uses no extra memory.

While a node moves between two relays it may receive versions from both, so its messages
and this relay's updates can be reordered. A message about an older version does not
answer a newer update. A node counts as current only if it reported the right digest
together with a high enough version.
"""

from __future__ import annotations

from collections.abc import Iterable

from peppershore.connection.codec import encode_message
from peppershore.connection.messages.node import (
    Current,
    Freshness,
    UpdateApplied,
    UpdateOffered,
)
from peppershore.process.commands import Command, SendEncoded
from peppershore.process.events import LinkId
from peppershore.process.relay.endpoint_fanout import EndpointFanout
from peppershore.process.relay.hold import HoldTracker
from peppershore.process.relay.packed_updates import PackedUpdates
from peppershore.process.relay.session import NodeSession
from peppershore.version.catalog import ScopeCatalog
from peppershore.version.model import Digest, Scope, Version

IDLE_SCOPE_SECONDS = 600.0


class Distributor:
    """The node sessions of a relay and the updates each of them needs."""

    def __init__(
        self, catalog: ScopeCatalog, holds: HoldTracker, fanout: EndpointFanout
    ) -> None:
        """Serve the scopes of ``catalog``, except those that ``holds`` delays.

        ``fanout`` sends the endpoints of services that an update adds to a node.
        """
        self.sessions: dict[LinkId, NodeSession] = {}
        self.sessions_by_scope: dict[Scope, dict[LinkId, NodeSession]] = {}
        self.behind: dict[LinkId, NodeSession] = {}
        self.unconfirmed: dict[LinkId, NodeSession] = {}
        self.bytes_sent = 0
        self.packed_updates = PackedUpdates()
        self._catalog = catalog
        self._holds = holds
        self._fanout = fanout
        self._ahead: dict[LinkId, NodeSession] = {}
        """Sessions whose node has a later version than this relay, from another relay."""
        self._idle_scopes: dict[Scope, float] = {}
        self._by_node: dict[str, NodeSession] = {}
        self._version: Version = 0

    @property
    def version(self) -> Version:
        """Version of the tree being distributed."""
        return self._version

    def tree_changed(self, version: Version, affected: Iterable[Scope]) -> frozenset[Scope]:
        """Record a new tree version and return the scopes that may need an update.

        Several edits may arrive together, so a node may lack any version since the
        previous one. Nodes that were ahead of this relay are included even if their
        scope is unchanged: it may have changed and changed back, and such a node may
        hold the intermediate state.
        """
        for scope in affected:
            for session in self.sessions_of(scope):
                self._mark_behind(session, self._version + 1)
        ahead = list(self._ahead.values())
        for session in ahead:
            self._mark_behind(session, self._version + 1)
        self._version = version
        return frozenset(affected).union(session.scope for session in ahead)

    def sessions_of(self, scope: Scope) -> tuple[NodeSession, ...]:
        """Return the sessions of one scope."""
        return tuple(self.sessions_by_scope.get(scope, {}).values())

    def has_node(self, node: str) -> bool:
        """Return whether the node has an open session."""
        return node in self._by_node

    def add(self, session: NodeSession) -> None:
        """Register a session after its hello, without sending anything yet."""
        self.sessions[session.link] = session
        self.sessions_by_scope.setdefault(session.scope, {})[session.link] = session
        self._by_node[session.node] = session
        self._idle_scopes.pop(session.scope, None)
        self._catalog.use(session.scope)
        self._holds.use(session.scope)
        self._mark_behind(session, session.version + 1)
        if session.needs_confirmation:
            self.unconfirmed[session.link] = session

    def remove(self, link: LinkId, now: float) -> NodeSession | None:
        """Remove a session; its scope stays in the catalog for ``IDLE_SCOPE_SECONDS``.

        Return the session, or None if the link has none.
        """
        session = self.sessions.pop(link, None)
        if session is None:
            return None
        self.behind.pop(link, None)
        self._ahead.pop(link, None)
        self.unconfirmed.pop(link, None)
        if self._by_node.get(session.node) is session:
            del self._by_node[session.node]
        of_scope = self.sessions_by_scope[session.scope]
        del of_scope[link]
        if not of_scope:
            del self.sessions_by_scope[session.scope]
            self._idle_scopes[session.scope] = now
        return session

    def drop_idle_scopes(self, now: float) -> list[Scope]:
        """Remove and return the scopes without a node for ``IDLE_SCOPE_SECONDS``.

        This way no memory is used for deltas of scopes that no node needs.
        """
        dropped = [
            scope
            for scope, since in self._idle_scopes.items()
            if now - since >= IDLE_SCOPE_SECONDS
        ]
        for scope in dropped:
            del self._idle_scopes[scope]
            self._catalog.forget(scope)
            self._holds.forget(scope)
        return dropped

    def confirm(self, confirmed_at: float) -> list[NodeSession]:
        """End the wait of sessions whose hello is no later than ``confirmed_at``.

        Return these sessions; updates may now be sent to them.
        """
        ready = [
            session
            for session in self.unconfirmed.values()
            if session.hello_at <= confirmed_at
        ]
        for session in ready:
            session.needs_confirmation = False
            del self.unconfirmed[session.link]
        return ready

    def unanswered(self) -> list[NodeSession]:
        """Return the sessions whose hello has not been answered yet."""
        return [session for session in self.behind.values() if not session.answered]

    def offer_all(
        self, sessions: Iterable[NodeSession], confirmed_at: float | None
    ) -> list[Command]:
        """Send each session the update it needs; pack identical updates only once.

        ``confirmed_at`` is when a quorum confirmed the version, in monotonic seconds.
        """
        packed: dict[tuple[Scope, Digest], bytes] = {}
        out: list[Command] = []
        for session in sessions:
            if self._may_be_sent(session):
                out.extend(self._offer(session, confirmed_at, packed))
        return out

    def applied(self, session: NodeSession, message: UpdateApplied) -> bool:
        """Handle a node's report of an applied version.

        Return whether the node needs another update.
        """
        is_older = message.version < session.outstanding_version
        session.version = max(session.version, message.version)
        if is_older:
            return False
        session.outstanding_version = 0
        session.digest = message.digest
        if self._is_current(session):
            self._mark_current(session)
            return False
        session.behind_since = session.version + 1
        self.behind[session.link] = session
        return True

    def refused(
        self, session: NodeSession, version: Version, is_unconfirmed: bool, now: float
    ) -> bool:
        """Handle a refused update; return whether to send the full state now.

        If ``is_unconfirmed``, the node needs an update confirmed after ``now``.
        """
        if version != session.outstanding_version:
            return False
        session.outstanding_version = 0
        session.digest = 0
        if not is_unconfirmed:
            return True
        session.needs_confirmation = True
        session.hello_at = now
        self.unconfirmed[session.link] = session
        return False

    def in_force(self) -> Version:
        """Return the version up to which every connected node has all changes.

        Nodes without a configuration do not count.
        """
        lowest = self._version
        for session in self.behind.values():
            if session.version:
                lowest = min(lowest, session.behind_since - 1)
        return lowest

    def effective_version(self, session: NodeSession) -> Version:
        """Return the highest version that is in effect at a node."""
        if session.behind_since:
            return session.version
        return max(session.version, self._version)

    def freshness(self, session: NodeSession, confirmed_at: float | None) -> Freshness:
        """Return the heartbeat of a session.

        Its digest is 0 for a node that is behind, so that it confirms nothing.
        """
        digest = 0 if session.behind_since else session.digest
        version = self.effective_version(session)
        return Freshness(version, session.confirmed_at(confirmed_at), digest)

    def _may_be_sent(self, session: NodeSession) -> bool:
        if session.outstanding_version or session.needs_confirmation:
            return False
        return self._version > 0 and session.lowest_acceptable <= self._version

    def _offer(
        self,
        session: NodeSession,
        confirmed_at: float | None,
        packed: dict[tuple[Scope, Digest], bytes],
    ) -> list[Command]:
        scope = session.scope
        update = self._catalog.update_since(scope, session.version, session.digest)
        if update is None:
            return self._answer_current(session, confirmed_at)
        if update.version <= session.version or self._must_wait(session):
            return []
        key = (scope, session.digest)
        if key not in packed:
            packed[key] = self.packed_updates.packed(update)
        session.answered = True
        session.outstanding_version = update.version
        out = self._fanout.before_update(session, update)
        offer = UpdateOffered(packed[key], session.confirmed_at(confirmed_at))
        out.append(self._send(session, encode_message(offer)))
        return out

    def _must_wait(self, session: NodeSession) -> bool:
        return session.scope in self._holds.held and not session.holds_nothing

    def _is_current(self, session: NodeSession) -> bool:
        """Return whether the node reported all that this relay knows.

        An equal digest alone is not enough. If a scope changed and changed back, a
        node with the original state may still receive the intermediate version from
        another relay.
        """
        if session.version > self._version:
            return True
        if session.digest != self._catalog.digest(session.scope):
            return False
        return session.version >= self._catalog.changed_at(session.scope)

    def _answer_current(
        self, session: NodeSession, confirmed_at: float | None
    ) -> list[Command]:
        """Report to a node that it lacks no change.

        The node counts as current once its own reports show the same.
        """
        is_current = self._is_current(session)
        version = max(session.version, self._version)
        if is_current:
            self._mark_current(session)
            session.version = version
        is_reported = session.answered and (
            is_current or session.current_reported == version
        )
        if is_reported:
            return []
        session.answered = True
        session.current_reported = version
        if session.services_sent is None:
            self._fanout.mark_services_sent(session)
        current = Current(version, session.confirmed_at(confirmed_at), session.digest)
        return [self._send(session, encode_message(current))]

    def _send(self, session: NodeSession, payload: bytes) -> Command:
        self.bytes_sent += len(payload)
        return SendEncoded(session.link, payload)

    def _mark_behind(self, session: NodeSession, version: Version) -> None:
        if session.behind_since == 0:
            session.behind_since = version
        self.behind[session.link] = session
        self._ahead.pop(session.link, None)

    def _mark_current(self, session: NodeSession) -> None:
        session.behind_since = 0
        self.behind.pop(session.link, None)
        if session.version > self._version:
            self._ahead[session.link] = session
