"""Tenants: callers who share keys and a limit; what may stand in one, what it means.

Keys are key material.  Nodes hold the digest of each, people are shown a short
fingerprint, and no text that is made here holds a key.
"""

from __future__ import annotations

import hashlib
import math
import re
from collections.abc import Iterable, Mapping
from typing import Any, Protocol

from msgspec import UNSET, UnsetType

from peppershore.version.model import (
    ROOT_PATH,
    Figure,
    Overrides,
    Problem,
    Tree,
    Value,
)
from peppershore.version.path import NAME_RULE, is_name
from peppershore.version.resolve import BUILT_IN, Origin

MAXIMUM_KEYS_OF_TENANT = 1_024
MAXIMUM_KEY_BYTES = 4_096
MAXIMUM_FIGURE = 1e9
"""Calls, or calls a second: above all that a fleet serves, and exact as a float."""

MAXIMUM_SHOWN = 1e18
"""Numbers beyond it are not shown digit by digit."""

FIGURE_RULE = f"a number from 0 to {MAXIMUM_FIGURE:.0f}"
PRIORITIES = (0, 100)
"""The lowest and the highest priority, 0 the most urgent."""

FINGERPRINT_SIGNS = 8
"""Hexadecimal signs of a key's digest that people are shown to tell keys apart."""

FINGERPRINT_FORM = re.compile(rf"sha256:[0-9a-f]{{{FINGERPRINT_SIGNS}}}", re.ASCII)

HIDDEN_MARK = "\0"
"""Begins what stands in a key's place where operators see a tree.  No key holds such a
sign, so that it can't be taken for a key, nor be set as one."""


class GivenLimits(Protocol):
    """What limits a tenant as it is given: in a tree, an edit, a whole configuration."""

    @property
    def rate_per_second(self) -> Figure | UnsetType:
        """Calls a second."""

    @property
    def burst(self) -> Figure | UnsetType:
        """Calls on top."""

    @property
    def priority(self) -> int | UnsetType:
        """What goes before the priority of a route."""


class GivenTenant(GivenLimits, Protocol):
    """What is given of a tenant, in a tree or in a whole configuration."""

    @property
    def keys(self) -> tuple[str, ...]:
        """The keys its callers show."""


class TenantLimits(Value, frozen=True):
    """What holds for a tenant; ``rate_per_second`` 0: no limit, ``priority`` None: the
    route's."""

    rate_per_second: Figure = 0
    burst: Figure = 0
    priority: int | None = None


_ROOT_NAMES = {
    "rate_per_second": "tenant_rate_per_second",
    "burst": "tenant_burst",
    "priority": "tenant_priority",
}
"""Settings of the root that tenants inherit, by the name of what they give."""

LIMIT_NAMES = tuple(_ROOT_NAMES)
"""What a tenant may set, or else inherits."""


def key_digest(key: bytes) -> bytes:
    """Give the digest (SHA-256, 32 bytes) by which nodes know a key."""
    return hashlib.sha256(key).digest()


def key_digests(keys: Iterable[str]) -> tuple[bytes, ...]:
    """Give the digest of each key once, in an order that tells nothing."""
    return tuple(sorted({key_digest(key.encode()) for key in keys}))


def key_fingerprint(key: str) -> str:
    """Give the text by which people tell a key; also of one that is hidden already."""
    if is_hidden(key):
        return key.removeprefix(HIDDEN_MARK)
    return f"sha256:{key_digest(key.encode()).hex()[:FINGERPRINT_SIGNS]}"


def is_fingerprint(text: str) -> bool:
    """Whether this has the form of a key's fingerprint, so that no key is taken for one."""
    return FINGERPRINT_FORM.fullmatch(text) is not None


def is_hidden(key: str) -> bool:
    """Whether this stands in the place of a key that was hidden."""
    return key.startswith(HIDDEN_MARK)


def hidden_keys(keys: Iterable[str]) -> tuple[str, ...]:
    """Give what stands in place of keys where operators see them."""
    return tuple(HIDDEN_MARK + key_fingerprint(key) for key in keys)


def limits_of(tree: Tree, name: str) -> TenantLimits:
    """Give what holds for a tenant of the tree, after inheritance from the root."""
    return inherited_limits(tree.tenants[name], tree.nodes[ROOT_PATH].overrides)


def given_limits(tenant: GivenLimits) -> dict[str, Any]:
    """Give what a tenant sets itself, by name."""
    values = {name: getattr(tenant, name) for name in _ROOT_NAMES}
    return {name: value for name, value in values.items() if value is not UNSET}


def inherited_limits(tenant: GivenLimits, root: Overrides) -> TenantLimits:
    """Give what a tenant sets, else what the root sets, else the built-in limits."""
    inherited = {name: getattr(root, setting) for name, setting in _ROOT_NAMES.items()}
    found = {name: value for name, value in inherited.items() if value is not UNSET}
    return TenantLimits(**{**found, **given_limits(tenant)})


def limit_origins(tree: Tree, name: str) -> tuple[Origin, ...]:
    """Give what holds for a tenant, and whether the tenant, the root or none sets it."""
    limits = limits_of(tree, name)
    own = given_limits(tree.tenants[name])
    root = tree.nodes[ROOT_PATH].overrides
    origins: list[Origin] = []
    for limit, setting in _ROOT_NAMES.items():
        path = BUILT_IN
        if limit in own:
            path = f"tenant:{name}"
        elif getattr(root, setting) is not UNSET:
            path = ROOT_PATH
        origins.append(Origin(limit, getattr(limits, limit), path))
    return tuple(origins)


def is_figure(value: Any) -> bool:
    """Whether a value is a rate or a burst that can be counted with."""
    if type(value) not in (int, float):
        return False
    return 0 <= value <= MAXIMUM_FIGURE and math.isfinite(value)


def check_tenant(name: str, tenant: GivenTenant) -> list[Problem]:
    """Give what is wrong with a tenant, taken alone."""
    subject = f"tenant:{name}"
    problems: list[Problem] = []
    if not is_name(name):
        problems.append(Problem(subject, "not a tenant's name", NAME_RULE))
    problems += _check_figures(subject, tenant)
    if len(tenant.keys) > MAXIMUM_KEYS_OF_TENANT:
        reason = f"the tenant has {len(tenant.keys)} keys"
        problems.append(Problem(subject, reason, f"at most {MAXIMUM_KEYS_OF_TENANT}"))
    for number, key in enumerate(tenant.keys, 1):
        problems += _check_key(subject, number, key)
    return problems


def shared_keys(keys_of: Mapping[str, tuple[str, ...]]) -> list[Problem]:
    """Give one problem for each two tenants that share a key; no key is named."""
    holders: dict[str, str] = {}
    pairs: set[tuple[str, str]] = set()
    for name in sorted(keys_of):
        for key in keys_of[name]:
            holder = holders.setdefault(key, name)
            if holder != name:
                pairs.add((holder, name))
    return [
        Problem(
            f"tenant:{name}",
            f"shares a key with the tenant {holder}",
            "keys of its own: a key tells whose call it is",
        )
        for holder, name in sorted(pairs)
    ]


def _check_figures(subject: str, tenant: GivenLimits) -> list[Problem]:
    problems: list[Problem] = []
    for name in ("rate_per_second", "burst"):
        value = getattr(tenant, name)
        if value is not UNSET and not is_figure(value):
            problems.append(Problem(subject, f"{name} is {_shown(value)}", FIGURE_RULE))
    priority = tenant.priority
    if priority is not UNSET and not PRIORITIES[0] <= priority <= PRIORITIES[1]:
        allowed = f"{PRIORITIES[0]} to {PRIORITIES[1]}"
        problems.append(Problem(subject, f"priority is {_shown(priority)}", allowed))
    return problems


def _shown(value: Figure) -> str:
    """Give a number as text; one of thousands of digits has none."""
    return repr(value) if abs(value) <= MAXIMUM_SHOWN else "out of all bounds"


def _check_key(subject: str, number: int, key: str) -> list[Problem]:
    """Check one key; callers send it in a header field."""
    if not key:
        return [Problem(subject, f"key {number} is empty", "at least one character")]
    size = len(key.encode(errors="surrogatepass"))
    if size > MAXIMUM_KEY_BYTES:
        reason = f"key {number} has {size} bytes"
        return [Problem(subject, reason, f"at most {MAXIMUM_KEY_BYTES}")]
    if any(_is_unsendable(sign) for sign in key):
        reason = f"key {number} holds a control character"
        return [Problem(subject, reason, "what a header field can carry")]
    return []


def _is_unsendable(sign: str) -> bool:
    return sign < " " or sign == "\x7f" or "\ud800" <= sign <= "\udfff"
