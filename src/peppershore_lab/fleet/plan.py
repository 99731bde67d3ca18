"""Lays a deployment out: names, addresses and zones of all its processes."""

from __future__ import annotations

import msgspec

from peppershore_lab.fleet.addresses import AddressBlock
from peppershore_lab.fleet.deployment import Deployment
from peppershore_lab.fleet.members import BackendMember, Member, NodeMember


class FleetLayout(msgspec.Struct, frozen=True):
    """All members of a fleet; ``nodes[i]`` stands beside ``backends[i]``."""

    deployment: Deployment
    replicas: tuple[Member, ...]
    claims: tuple[Member, ...]
    relays: tuple[Member, ...]
    backends: tuple[BackendMember, ...]
    nodes: tuple[NodeMember, ...]
    edges: tuple[NodeMember, ...]

    @property
    def proxies(self) -> tuple[NodeMember, ...]:
        """All nodes: those beside back ends and those at the edge."""
        return self.nodes + self.edges


def lay_out(deployment: Deployment, block: AddressBlock) -> FleetLayout:
    """Place the processes: replicas, relays and upstreams over the zones in turn."""
    backends = _backends(deployment, block)
    return FleetLayout(
        deployment=deployment,
        replicas=_group("control", deployment.replicas, deployment, block),
        claims=_group("claims", deployment.claims_replicas, deployment, block),
        relays=tuple(
            Member(
                name=f"relay-{zone.name}-{number}", host=block.next_host(), zone=zone.name
            )
            for zone in deployment.zones
            for number in range(1, deployment.relays_per_zone + 1)
        ),
        backends=backends,
        nodes=tuple(_node_beside(backend, block) for backend in backends),
        edges=tuple(
            NodeMember(
                name=f"edge-{zone.name}-{number}",
                host=block.next_host(),
                zone=zone.name,
                service=deployment.edge_service,
            )
            for zone in deployment.zones
            for number in range(1, deployment.edges_per_zone + 1)
        ),
    )


def _group(
    prefix: str, size: int, deployment: Deployment, block: AddressBlock
) -> tuple[Member, ...]:
    return tuple(
        Member(
            name=f"{prefix}-{number + 1}",
            host=block.next_host(),
            zone=deployment.zones[number % len(deployment.zones)].name,
        )
        for number in range(size)
    )


def _backends(deployment: Deployment, block: AddressBlock) -> tuple[BackendMember, ...]:
    return tuple(
        BackendMember(
            name=f"backend-{service.name}-{number + 1}",
            host=block.next_host(),
            zone=deployment.zones[number % len(deployment.zones)].name,
            service=service.name,
            behaviour=service.behaviour,
        )
        for service in deployment.services
        for number in range(service.upstreams)
    )


def _node_beside(backend: BackendMember, block: AddressBlock) -> NodeMember:
    return NodeMember(
        name=backend.name.replace("backend-", "node-", 1),
        host=block.next_host(),
        zone=backend.zone,
        service=backend.service,
        backend=backend.http_address,
    )
