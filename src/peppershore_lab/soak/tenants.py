"""The tenants of a soak: their keys, their limits, and who sends how much."""

from __future__ import annotations

from random import Random
from typing import Any

import msgspec

TENANT_FIELD = "x-soak-tenant"
AUTHORIZATION = "authorization"

WINDOW_SECONDS = 5.0
OVERSHOOT = 0.1
SLACK = 20.0
"""How far limits may be exceeded, as in the settings of hubs and nodes."""

STRANGER_SHARE = 0.02
"""Share of the requests with a key that no configuration ever held."""

NEWEST_KEY_SHARE = 0.2
"""Share of the requests with the key of the newest version."""

STRANGER_KEY = "soak-stranger-key"


class SoakTenant(msgspec.Struct, frozen=True):
    """A tenant: its limit (0: none) and its part of all requests, by weight."""

    name: str
    weight: float
    rate_per_second: float = 0.0
    burst: float = 0.0

    @property
    def allowance(self) -> float:
        """Requests that may run in any window of ``WINDOW_SECONDS``."""
        within = self.rate_per_second * WINDOW_SECONDS + self.burst
        return within * (1.0 + OVERSHOOT) + SLACK


TENANTS = (
    SoakTenant("large", weight=8.0, rate_per_second=400.0, burst=400.0),
    SoakTenant("greedy", weight=8.0, rate_per_second=8.0, burst=8.0),
    SoakTenant("small", weight=2.0, rate_per_second=50.0, burst=20.0),
    SoakTenant("tiny", weight=0.5, rate_per_second=5.0, burst=5.0),
    SoakTenant("unlimited", weight=4.0),
)
"""One of them always sends several times its limit."""

BY_NAME = {tenant.name: tenant for tenant in TENANTS}


class KeyUsed(msgspec.Struct, frozen=True):
    """The key of one request, and the tenant that holds it ("" for none)."""

    key: str
    tenant: str


def lasting_key(tenant: str) -> str:
    """Return the key that a tenant has in every version."""
    return f"soak-key-{tenant}"


def key_of_version(tenant: str, version: int) -> str:
    """Return the key that a tenant has in this version only."""
    return f"soak-key-{tenant}-{version}"


def definitions(version: int) -> dict[str, Any]:
    """Return the tenants as a configuration contains them."""
    return {
        tenant.name: {
            "keys": [lasting_key(tenant.name), key_of_version(tenant.name, version)],
            "rate_per_second": tenant.rate_per_second,
            "burst": tenant.burst,
        }
        for tenant in TENANTS
    }


def draw_key(random: Random, newest: int) -> KeyUsed:
    """Choose at random which tenant sends a request, with which of its keys."""
    if random.random() < STRANGER_SHARE:
        return KeyUsed(STRANGER_KEY, "")
    weights = [tenant.weight for tenant in TENANTS]
    tenant = random.choices(TENANTS, weights)[0]
    if random.random() < NEWEST_KEY_SHARE:
        return KeyUsed(key_of_version(tenant.name, newest), tenant.name)
    return KeyUsed(lasting_key(tenant.name), tenant.name)


def authorization(key: str) -> tuple[str, str]:
    """Return the header field that carries a key."""
    return (AUTHORIZATION, f"Bearer {key}")
