"""What a hub's settings mean for the replica and the relay inside it.

A replica's name is the address of its links.  The relay of a hub listens at the same
IP number on the relay port, which is the same on all hubs of a cluster.
"""

from __future__ import annotations

import msgspec

from peppershore.process.seeds import seed_addresses
from peppershore.process.settings import (
    ControlSettings,
    HubSettings,
    PeerReplica,
    RelaySettings,
)

HEARTBEAT_SHARE = 0.25
"""Part of the time in which changes come into force between two heartbeats to a node: it
looks for another relay after three fifths, and must have heard of a confirmation twice."""
LEAST_HEARTBEAT_MILLISECONDS = 20
"""The least that a relay's settings allow."""


class HubPlan(msgspec.Struct, frozen=True):
    """The settings of the two parts of a hub."""

    control: ControlSettings
    relay: RelaySettings


def plan_hub(settings: HubSettings) -> HubPlan:
    """Give the settings of both parts.

    On the first start of a cluster the seeds, equal everywhere, are the founders; a
    replica that is not among them, or starts later, waits to be taken in.
    """
    address = f"{settings.host}:{settings.replica_port}"
    seeds = seed_addresses(settings.seeds, settings.replica_port)
    founds = settings.first_start and address in seeds
    founders = tuple(PeerReplica(name=seed, address=seed) for seed in seeds)
    control = ControlSettings(
        cluster=settings.cluster,
        replica=address,
        listen=address,
        data_folder=settings.data_folder,
        replicas=founders if founds else (),
        join=not founds,
        admin_listen=settings.admin_listen,
        heartbeat_milliseconds=settings.heartbeat_milliseconds,
        election_milliseconds=settings.election_milliseconds,
        seeds=tuple(seed for seed in seeds if seed != address),
        wanted_voters=2 * settings.tolerated_losses + 1,
        rollout_exposure_share=settings.rollout_exposure_share,
        apply_milliseconds=settings.apply_milliseconds,
        quotas=settings.quotas,
        tls=settings.tls,
    )
    relay_address = relay_name(address, settings)
    relay = RelaySettings(
        cluster=settings.cluster,
        relay=relay_address,
        zone=settings.zone,
        listen=relay_address,
        replicas=(PeerReplica(name=address, address=address),),
        relays=(),
        freshness_milliseconds=_heartbeat_milliseconds(settings),
        stale_after_milliseconds=settings.stale_after_milliseconds,
        hold_milliseconds=0,
        lists_relays=True,
        quotas=settings.quotas,
        tls=settings.relay_tls,
    )
    return HubPlan(control, relay)


def _heartbeat_milliseconds(settings: HubSettings) -> int:
    """Give the time between heartbeats: no longer than the bound on changes bears."""
    most = int(HEARTBEAT_SHARE * settings.apply_milliseconds)
    return min(settings.freshness_milliseconds, max(LEAST_HEARTBEAT_MILLISECONDS, most))


def relay_name(replica_address: str, settings: HubSettings) -> str:
    """Give the address of the relay beside a replica, which is its name too."""
    host = replica_address.rpartition(":")[0]
    return f"{host}:{settings.relay_port}"
