"""Derives the settings of the replica and the relay in a hub from the hub's settings.

A replica's name is the address where it accepts links. The relay of a hub listens on the
same IP address at the relay port, which is the same on all hubs of a cluster.
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
"""Longest time between heartbeats of a relay to a node.

It is a share of ``apply_milliseconds``, the time within which nodes apply changes.

A node searches for another relay after three fifths of that time without a confirmation,
so it must have received two by then.
"""
MIN_HEARTBEAT_MILLISECONDS = 20
"""Minimum time between heartbeats to a node that the settings of a relay allow."""


class HubPlan(msgspec.Struct, frozen=True):
    """Settings of the control replica and the relay of a hub."""

    control: ControlSettings
    relay: RelaySettings


def plan_hub(settings: HubSettings) -> HubPlan:
    """Return the settings of the hub's control replica and of its relay.

    ``seeds`` are addresses of hubs, where the replica looks for the group. It waits to be
    admitted, unless its store was made at the cluster's very first start.
    """
    address = f"{settings.host}:{settings.replica_port}"
    seeds = seed_addresses(settings.seeds, settings.replica_port)
    control = ControlSettings(
        cluster=settings.cluster,
        replica=address,
        listen=address,
        data_folder=settings.data_folder,
        replicas=(),
        join=True,
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
    """Return the milliseconds between a relay's heartbeats to a node.

    They are limited by the time within which changes must apply.
    """
    longest = int(HEARTBEAT_SHARE * settings.apply_milliseconds)
    return min(settings.freshness_milliseconds, max(MIN_HEARTBEAT_MILLISECONDS, longest))


def relay_name(replica_address: str, settings: HubSettings) -> str:
    """Return the address of the relay in a replica's hub, which is also its name."""
    host = replica_address.rpartition(":")[0]
    return f"{host}:{settings.relay_port}"
