"""The tree of a deployment, as the one edit that creates it."""

from __future__ import annotations

from typing import cast

from peppershore.version.model import (
    Audience,
    CallClass,
    Edit,
    HopMode,
    Operation,
    Overrides,
    SetOverrides,
    SetZone,
)
from peppershore_lab.fleet.deployment import Deployment, RouteSpec, ServiceSpec

ANYONE: tuple[Audience, ...] = ("public", "member", "internal")


def creating_edit(deployment: Deployment, change_id: str = "create") -> Edit:
    """Give the edit that declares all zones, services and routes of a deployment."""
    operations: list[Operation] = [
        SetZone(name=zone.name, region=zone.region) for zone in deployment.zones
    ]
    operations.append(SetOverrides("/", Overrides(audience=ANYONE)))
    for service in deployment.services:
        operations += _service_operations(service)
    names = tuple(service.name for service in deployment.services)
    operations.append(SetOverrides(f"/{deployment.edge_service}", Overrides(calls=names)))
    return Edit(change_id=change_id, operations=tuple(operations), author="lab")


def _service_operations(service: ServiceSpec) -> list[Operation]:
    behaviour = service.behaviour
    overrides = Overrides(
        target=service.name, slots=behaviour.slots, connections=behaviour.connections
    )
    operations: list[Operation] = [SetOverrides(f"/{service.name}", overrides)]
    for route in service.routes:
        path = f"/{service.name}/*/{route.name}"
        operations.append(SetOverrides(path, _route_overrides(route)))
    return operations


def _route_overrides(route: RouteSpec) -> Overrides:
    return Overrides(
        path_prefix=route.path,
        methods=(route.method,),
        call_class=cast(CallClass, route.call_class),
        repeatable=route.repeatable,
        hop=cast(HopMode, route.hop),
    )
