"""Encode endpoint messages and select the nodes that receive them.

A node receives the endpoints of the services in its snapshot. Changes that are sent
together (see ``fanout_scheduler``) are encoded once per scope.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from peppershore.connection.codec import encode_message
from peppershore.connection.endpoint_packing import pack_endpoints
from peppershore.connection.messages.endpoints import (
    Endpoint,
    EndpointsChanged,
    EndpointsHeld,
)
from peppershore.process.commands import Command, SendEncoded
from peppershore.process.endpoints.table import STATE_GONE, STATE_LEAVING, EndpointTable
from peppershore.process.events import LinkId
from peppershore.process.relay.session import NodeSession
from peppershore.version.catalog import ScopeCatalog
from peppershore.version.model import Scope, Update
from peppershore.version.resource_codec import service_name

FANOUT_TIMER = "endpoints.fanout"

URGENT_STATES = frozenset((STATE_LEAVING, STATE_GONE))


class NewServices(NamedTuple):
    """Encoded endpoints of services that are new to the nodes of a scope.

    ``digest`` is the digest of these endpoints when they were encoded.
    """

    services: frozenset[str]
    digest: int
    payload: bytes


class EndpointFanout:
    """Encodes endpoint messages for the nodes of a relay."""

    def __init__(self, catalog: ScopeCatalog, table: EndpointTable) -> None:
        """Send the endpoints of ``table`` to nodes, by the services of their scope."""
        self.bytes_sent = 0
        self._catalog = catalog
        self._table = table
        self._complete: dict[Scope, tuple[int, bytes]] = {}
        self._new_services: dict[Scope, NewServices] = {}

    def forget_scope(self, scope: Scope) -> None:
        """Drop the cached messages of a scope that has no nodes at this relay."""
        self._complete.pop(scope, None)
        self._new_services.pop(scope, None)

    def digest_for(self, session: NodeSession) -> Command:
        """Return a message with the digest of the endpoints a node should hold."""
        digest = self._table.digest(self._catalog.services_held(session.scope))
        return self._send(session, encode_message(EndpointsHeld(digest)))

    def answer_held(
        self, session: NodeSession, held: EndpointsHeld, is_settled: bool
    ) -> list[Command]:
        """Send a node all endpoints of its services if its digest differs.

        ``is_settled`` is reported to the node: whether this relay's table is complete.
        """
        services = self._catalog.services_held(session.scope)
        digest = self._table.digest(services)
        if held.digest == digest:
            return []
        return [
            self._send(session, self._encode_complete(session.scope, digest, is_settled))
        ]

    def before_update(self, session: NodeSession, update: Update) -> list[Command]:
        """Return messages with the endpoints of services that an update adds to a node.

        They are sent before the update, because a route must not become active before
        the node knows the endpoints of its target.
        """
        held = self._catalog.services_held(session.scope)
        missing = _missing_services(held, session.services_sent, update)
        session.services_sent = held
        if not missing:
            return []
        return [self._send(session, self._encode_new(session.scope, missing))]

    def mark_services_sent(self, session: NodeSession) -> None:
        """Record all services of a current node as sent.

        Nothing is sent: such a node itself compares its endpoints by digest.
        """
        session.services_sent = self._catalog.services_held(session.scope)

    def changes(
        self,
        changed: Iterable[Endpoint],
        sessions_by_scope: dict[Scope, dict[LinkId, NodeSession]],
    ) -> list[Command]:
        """Send changed endpoints to the sessions whose scopes may use them."""
        endpoints = tuple(changed)
        out: list[Command] = []
        for scope, sessions in sessions_by_scope.items():
            services = self._catalog.services_held(scope)
            wanted = tuple(each for each in endpoints if each.service in services)
            if not wanted:
                continue
            payload = _encode(EndpointsChanged(wanted))
            out.extend(self._send(session, payload) for session in sessions.values())
        return out

    def _encode_complete(self, scope: Scope, digest: int, is_settled: bool) -> bytes:
        key = digest if is_settled else ~digest
        known = self._complete.get(scope)
        if known is not None and known[0] == key:
            return known[1]
        services = tuple(sorted(self._catalog.services_held(scope)))
        shown = self._table.shown(services)
        payload = _encode(EndpointsChanged(shown, is_settled, services))
        self._complete[scope] = (key, payload)
        return payload

    def _encode_new(self, scope: Scope, services: frozenset[str]) -> bytes:
        digest = self._table.digest(services)
        known = self._new_services.get(scope)
        if known is None or (known.services, known.digest) != (services, digest):
            shown = self._table.shown(sorted(services))
            known = NewServices(services, digest, _encode(EndpointsChanged(shown)))
            self._new_services[scope] = known
        return known.payload

    def _send(self, session: NodeSession, payload: bytes) -> Command:
        self.bytes_sent += len(payload)
        return SendEncoded(session.link, payload)


def _missing_services(
    held: frozenset[str], sent: frozenset[str] | None, update: Update
) -> frozenset[str]:
    """Return the services that are new to a node.

    For a node that just connected, return the services named in its update.
    """
    if sent is not None:
        return held - sent
    named = frozenset(resource.name for resource in update.changed)
    return frozenset(service for service in held if service_name(service) in named)


def _encode(message: EndpointsChanged) -> bytes:
    return encode_message(pack_endpoints(message))


def is_urgent(endpoint: Endpoint) -> bool:
    """Return whether nodes must learn of an endpoint's state without delay."""
    return endpoint.state in URGENT_STATES
