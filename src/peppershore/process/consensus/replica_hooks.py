"""Hooks that the cores of control and claims replicas override to handle events."""

from __future__ import annotations

from peppershore.connection.messages.base import Message
from peppershore.process import events
from peppershore.process.events import LinkId


class ReplicaHooks:
    """Hooks that ``ReplicaCore`` calls; the default of each does nothing."""

    def on_event(self, event: events.Event) -> None:
        """Handle an event that only this kind of replica (control or claims) receives."""

    def on_timer(self, timer: str) -> None:
        """Handle a timer that the core of a control or claims replica set."""

    def on_tick(self) -> None:
        """Run periodic work, once per heartbeat interval."""

    def on_link_opened(self, link: LinkId, identity: str) -> None:
        """Handle an opened link; its first message shows whether it is to a replica."""

    def on_link_closed(self, link: LinkId) -> None:
        """Handle a closed link."""

    def may_be_replica(self, link: LinkId, name: str) -> bool:
        """Return whether the remote end of the link may be the replica of that name."""
        return True

    def on_client_message(self, link: LinkId, message: Message) -> None:
        """Handle a message of a client."""

    def on_peer_message(self, peer: str, message: Message) -> None:
        """Handle a message of another replica, other than a consensus message."""

    def on_applied(self) -> None:
        """Handle that entries were applied to the state machine."""

    def on_state_installed(self) -> None:
        """Handle that the state was replaced by that of a snapshot."""

    def on_leadership_gained(self) -> None:
        """Start to accept proposals; all entries of earlier terms are applied."""

    def on_leadership_lost(self) -> None:
        """Stop accepting proposals; pending ones may be committed or not."""

    def on_leader_changed(self) -> None:
        """Handle that another leader, or none, is known."""

    def on_disk_refused(self) -> None:
        """Handle a failed write; no new entries arrive here until a write succeeds."""

    def on_read(self, request: int, confirmed: bool) -> None:
        """Answer a read from the current state, or fail it if it is not confirmed."""

    def has_unanswered(self) -> bool:
        """Return whether a planned stop must wait for pending answers."""
        return False

    def client_links(self) -> tuple[LinkId, ...]:
        """Return the client links to notify of a planned stop."""
        return ()
