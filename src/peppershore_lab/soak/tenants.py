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
"""By so much limits may be passed: the settings of hubs and nodes say the same."""

STRANGER_SHARE = 0.02
"""Part of the requests that come with a key that no configuration ever held."""

NEWEST_KEY_SHARE = 0.2
"""Part of the requests that come with the key of the newest version."""

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
"""One of them asks for several times its limit all the while."""

BY_NAME = {tenant.name: tenant for tenant in TENANTS}


class KeyUsed(msgspec.Struct, frozen=True):
    """The key of one request, and whose it is; "" for nobody's."""

    key: str
    tenant: str


def lasting_key(tenant: str) -> str:
    """Give the key that a tenant has in every version."""
    return f"soak-key-{tenant}"


def key_of_version(tenant: str, version: int) -> str:
    """Give the key that a tenant has in this version only."""
    return f"soak-key-{tenant}-{version}"


def definitions(version: int) -> dict[str, Any]:
    """Give the tenants as a configuration holds them."""
    return {
        tenant.name: {
            "keys": [lasting_key(tenant.name), key_of_version(tenant.name, version)],
            "rate_per_second": tenant.rate_per_second,
            "burst": tenant.burst,
        }
        for tenant in TENANTS
    }


def draw_key(random: Random, newest: int) -> KeyUsed:
    """Draw who sends a request and by which of its keys."""
    if random.random() < STRANGER_SHARE:
        return KeyUsed(STRANGER_KEY, "")
    weights = [tenant.weight for tenant in TENANTS]
    tenant = random.choices(TENANTS, weights)[0]
    if random.random() < NEWEST_KEY_SHARE:
        return KeyUsed(key_of_version(tenant.name, newest), tenant.name)
    return KeyUsed(lasting_key(tenant.name), tenant.name)


def authorization(key: str) -> tuple[str, str]:
    """Give the header field that carries a key."""
    return (AUTHORIZATION, f"Bearer {key}")
