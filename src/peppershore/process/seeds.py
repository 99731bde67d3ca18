"""Seeds: a few addresses of hubs through which a process finds the cluster.

A listed hub may lag, be down or have been replaced. Only the hosts of the addresses are
used; each kind of link has its own port, the same on every hub.
"""

from __future__ import annotations

from peppershore.process.settings import PeerRelay


def seed_addresses(seeds: tuple[str, ...], port: int) -> tuple[str, ...]:
    """Return the distinct hosts of the seed addresses, each with ``port`` as its port."""
    hosts = dict.fromkeys(seed.rpartition(":")[0] for seed in seeds)
    return tuple(f"{host}:{port}" for host in hosts)


def seed_relays(seeds: tuple[str, ...], port: int) -> tuple[PeerRelay, ...]:
    """Return one relay for each distinct host of the seed addresses, at ``port``.

    Its name is its address; its zone is empty until the relay itself reports it.
    """
    return tuple(
        PeerRelay(name=address, zone="", address=address)
        for address in seed_addresses(seeds, port)
    )
