"""What a fleet consists of: zones, services, and how many processes of each role.

The two users' deployments of today are given as values.
"""

from __future__ import annotations

from typing import Literal

import msgspec

from peppershore_lab.calls.plan import CallKind
from peppershore_lab.standin.behaviour import Behaviour

EmulatedLinks = Literal["none", "between-zones", "all"]


class SpecValue(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of the values that describe a deployment."""


class ZoneSpec(SpecValue, frozen=True, kw_only=True):
    """A zone and its region."""

    name: str
    region: str


class RouteSpec(SpecValue, frozen=True, kw_only=True):
    """A route of a service, as callers use it."""

    name: str
    path: str
    method: str = "GET"
    call_class: str = "normal"
    repeatable: bool = True
    keyed: bool = False
    hop: str = "direct"


class ServiceSpec(SpecValue, frozen=True, kw_only=True):
    """A service: its upstreams (spread over the zones in turn) and its routes."""

    name: str
    upstreams: int
    behaviour: Behaviour
    routes: tuple[RouteSpec, ...]


class Deployment(SpecValue, frozen=True, kw_only=True):
    """A whole deployment.

    ``zone_delay_milliseconds`` is the one-way delay between zones, put on the
    emulated links between the system's own processes.  ``emulated_links``
    "all" also emulates those within a zone, so that faults can reach them.
    """

    name: str
    cluster: str
    zones: tuple[ZoneSpec, ...]
    services: tuple[ServiceSpec, ...]
    replicas: int = 3
    relays_per_zone: int = 1
    edges_per_zone: int = 1
    claims_replicas: int = 0
    zone_delay_milliseconds: float = 0.0
    emulated_links: EmulatedLinks = "between-zones"
    batching_milliseconds: int = 0
    edge_service: str = "edge"


def call_kinds(deployment: Deployment, resends: int = 3) -> tuple[CallKind, ...]:
    """Give one kind of call for each route of each service, in equal shares."""
    return tuple(
        CallKind(
            name=f"{service.name}/{route.name}",
            method=route.method,
            path=route.path,
            repeatable=route.repeatable,
            keyed=route.keyed,
            resends=resends if route.keyed else 0,
            deadline_milliseconds=5_000,
            service=service.name,
        )
        for service in deployment.services
        for route in service.routes
    )


_REFUND_BEHAVIOUR = Behaviour(
    slots=20, connections=130, connect_milliseconds=1.0, work_milliseconds=4.0
)

REFUND_NETWORK = Deployment(
    name="refund-network",
    cluster="refund-network",
    zones=(
        ZoneSpec(name="vantaa-t2", region="uusimaa"),
        ZoneSpec(name="lansisatama", region="uusimaa"),
        ZoneSpec(name="pasila", region="uusimaa"),
        ZoneSpec(name="keilaniemi", region="uusimaa"),
    ),
    services=(
        ServiceSpec(
            name="statusdesk",
            upstreams=4,
            behaviour=_REFUND_BEHAVIOUR,
            routes=(RouteSpec(name="status", path="/statusdesk/status"),),
        ),
        ServiceSpec(
            name="kassa",
            upstreams=4,
            behaviour=_REFUND_BEHAVIOUR,
            routes=(
                RouteSpec(
                    name="payout",
                    path="/kassa/payout",
                    method="POST",
                    call_class="critical",
                    repeatable=False,
                    keyed=True,
                    hop="owner",
                ),
            ),
        ),
        ServiceSpec(
            name="kuitti",
            upstreams=4,
            behaviour=_REFUND_BEHAVIOUR,
            routes=(
                RouteSpec(name="receipt", path="/kuitti/receipt"),
                RouteSpec(name="check", path="/kuitti/check", call_class="critical"),
            ),
        ),
    ),
    zone_delay_milliseconds=1.5,
    claims_replicas=3,
)

_GUILD_BEHAVIOUR = Behaviour(
    slots=10, connections=120, connect_milliseconds=1.0, work_milliseconds=4.0
)

GUILD = Deployment(
    name="guild",
    cluster="guild",
    zones=(
        ZoneSpec(name="hobart", region="tasmania"),
        ZoneSpec(name="launceston", region="tasmania"),
        ZoneSpec(name="burnie", region="tasmania"),
    ),
    services=(
        ServiceSpec(
            name="registry",
            upstreams=4,
            behaviour=_GUILD_BEHAVIOUR,
            routes=(
                RouteSpec(name="profile", path="/registry/profile"),
                RouteSpec(name="extract", path="/registry/extract", call_class="bulk"),
            ),
        ),
        ServiceSpec(
            name="lodgement",
            upstreams=3,
            behaviour=_GUILD_BEHAVIOUR,
            routes=(
                RouteSpec(
                    name="signoff",
                    path="/lodgement/signoff",
                    method="POST",
                    call_class="critical",
                    repeatable=False,
                    keyed=True,
                    hop="owner",
                ),
            ),
        ),
        ServiceSpec(
            name="logbook",
            upstreams=3,
            behaviour=_GUILD_BEHAVIOUR,
            routes=(RouteSpec(name="hours", path="/logbook/hours"),),
        ),
    ),
    zone_delay_milliseconds=1.0,
    claims_replicas=3,
    batching_milliseconds=1_000,
)

DEPLOYMENTS = {deployment.name: deployment for deployment in (REFUND_NETWORK, GUILD)}
"""The known deployments by name."""
