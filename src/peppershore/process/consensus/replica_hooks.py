"""What the core of a role overrides to take part in its replica's life."""

from __future__ import annotations

from peppershore.connection.messages.base import Message
from peppershore.process import events
from peppershore.process.events import LinkId


class ReplicaHooks:
    """Hooks that ``ReplicaCore`` calls; by default each does nothing."""

    def on_event(self, event: events.Event) -> None:
        """Take an event that only the role knows."""

    def on_timer(self, timer: str) -> None:
        """Take a timer that the role set."""

    def on_tick(self) -> None:
        """Do what is due at every heartbeat."""

    def on_link_opened(self, link: LinkId, identity: str) -> None:
        """A link is usable; whether a client or a peer is there shows later."""

    def on_link_closed(self, link: LinkId) -> None:
        """A link is gone."""

    def may_be_replica(self, link: LinkId, name: str) -> bool:
        """Whether whoever is on this link may be the replica of that name."""
        return True

    def on_client_message(self, link: LinkId, message: Message) -> None:
        """Take a message of a client."""

    def on_peer_message(self, peer: str, message: Message) -> None:
        """Take a message of another replica that isn't consensus."""

    def on_applied(self) -> None:
        """The state machine moved on."""

    def on_state_installed(self) -> None:
        """The state machine was replaced by a snapshot's state."""

    def on_leadership_gained(self) -> None:
        """Proposals are taken from now on; the state is that of all earlier terms."""

    def on_leadership_lost(self) -> None:
        """Proposals without outcome may still commit; nothing is known here."""

    def on_leader_changed(self) -> None:
        """Another leader, or none, is known."""

    def on_disk_refused(self) -> None:
        """The disk refuses writes: nothing new will be seen here until it takes one."""

    def on_read(self, request: int, confirmed: bool) -> None:
        """A read may be answered from the state now, or could not be confirmed."""

    def has_unanswered(self) -> bool:
        """Whether a planned stop should wait for answers."""
        return False

    def client_links(self) -> tuple[LinkId, ...]:
        """Links of clients that should hear of a planned stop."""
        return ()
