"""Which links of a fleet are emulated, and the address each process uses for them."""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Iterator

from peppershore_lab.fleet.members import Member
from peppershore_lab.fleet.plan import FleetLayout
from peppershore_lab.links.model import Direction, LinkSpec, link_name

FIRST_LINK_PORT = 10_000


class LinkTable:
    """The emulated links between the system's own processes of one fleet.

    Calls between nodes and back ends go direct: nodes learn those addresses
    from each other.
    """

    def __init__(self, layout: FleetLayout, emulator_host: str) -> None:
        """Decide on the links of a deployment; they listen on ``emulator_host``."""
        self._layout = layout
        self._host = emulator_host
        self._ports = itertools.count(FIRST_LINK_PORT)
        wanted = layout.deployment.emulated_links
        self._shared: dict[str, str] = {}
        if wanted != "none":
            for member in layout.replicas + layout.claims:
                self._shared[member.name] = self._next_address()
        self._specs = {
            link_name(source.name, target.name): self._spec(source, target)
            for source, target in _pairs(layout)
            if self._is_shared(source, target)
            or wanted == "all"
            or (wanted == "between-zones" and source.zone != target.zone)
        }

    @property
    def specs(self) -> tuple[LinkSpec, ...]:
        """All emulated links."""
        return tuple(self._specs.values())

    def address(self, source: Member, target: Member) -> str:
        """Give the address at which ``source`` reaches ``target``.

        All members of a consensus group get the same one for a member, itself
        included: the group's log holds it.
        """
        if self._is_shared(source, target):
            return self._shared[target.name]
        spec = self._specs.get(link_name(source.name, target.name))
        return target.link_address if spec is None else spec.listen

    def _spec(self, source: Member, target: Member) -> LinkSpec:
        between_zones = self._layout.deployment.zone_delay_milliseconds
        delay = between_zones if source.zone != target.zone else 0.0
        direction = Direction(delay_milliseconds=delay)
        shared = self._is_shared(source, target)
        return LinkSpec(
            name=link_name(source.name, target.name),
            listen=self._shared[target.name] if shared else self._next_address(),
            target=target.link_address,
            by_hello=shared,
            to_target=direction,
            to_source=direction,
        )

    def _is_shared(self, source: Member, target: Member) -> bool:
        return source.name in self._shared and target.name in self._shared

    def _next_address(self) -> str:
        return f"{self._host}:{next(self._ports)}"


def _pairs(layout: FleetLayout) -> Iterator[tuple[Member, Member]]:
    yield from _between(layout.replicas, layout.replicas)
    yield from _between(layout.claims, layout.claims)
    yield from _between(layout.relays, layout.replicas)
    yield from _between(layout.relays, layout.relays)
    yield from _between(layout.proxies, layout.relays)
    yield from _between(layout.proxies, layout.claims)


def _between(
    sources: Iterable[Member], targets: Iterable[Member]
) -> Iterator[tuple[Member, Member]]:
    for source, target in itertools.product(sources, targets):
        if source.name != target.name:
            yield source, target
