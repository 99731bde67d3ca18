"""Seeds: a few addresses of hubs, which may lag, be down or be exchanged.

Only their hosts count; each kind of link has its port, the same on every hub.
"""

from __future__ import annotations

from peppershore.process.settings import PeerRelay


def seed_addresses(seeds: tuple[str, ...], port: int) -> tuple[str, ...]:
    """Give addresses at the hosts of seeds, on another port, each once."""
    hosts = dict.fromkeys(seed.rpartition(":")[0] for seed in seeds)
    return tuple(f"{host}:{port}" for host in hosts)


def seed_relays(seeds: tuple[str, ...], port: int) -> tuple[PeerRelay, ...]:
    """Give relays at the hosts of seeds; their zones are learned from them."""
    return tuple(
        PeerRelay(name=address, zone="", address=address)
        for address in seed_addresses(seeds, port)
    )
