"""Tenants, callers who share keys and a rate limit: their rules and effective limits.

Keys are key material. Nodes hold only the digest of each key, operators are shown a
short fingerprint, and no text that this module produces contains a key.
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
"""Largest burst (calls) or rate (calls per second).

It is above what all nodes together serve, and exact as a float.
"""

MAXIMUM_SHOWN = 1e18
"""Largest absolute value of a number that the text of a ``Problem`` shows in digits."""

RATE_OR_BURST_RULE = f"a number from 0 to {MAXIMUM_FIGURE:.0f}"
PRIORITIES = (0, 100)
"""Lowest and highest number of a priority; 0 is the most urgent."""

FINGERPRINT_DIGITS = 8
"""Number of hexadecimal digits of a key's digest that its fingerprint shows."""

FINGERPRINT_PATTERN = re.compile(rf"sha256:[0-9a-f]{{{FINGERPRINT_DIGITS}}}", re.ASCII)

HIDDEN_MARK = "\0"
"""First character of the text that replaces a key in trees shown to operators.

Keys must not contain this character, so the text is never taken for a key and can't be
set as one.
"""


class GivenLimits(Protocol):
    """Limits that a tenant sets in a tree, an edit or a complete configuration."""

    @property
    def rate_per_second(self) -> Figure | UnsetType:
        """Admitted calls per second, over all nodes; 0 for no limit."""

    @property
    def burst(self) -> Figure | UnsetType:
        """Calls admitted in a burst above the rate."""

    @property
    def priority(self) -> int | UnsetType:
        """Priority of the tenant's calls; it overrides that of the route."""


class GivenTenant(GivenLimits, Protocol):
    """Limits and keys of a tenant, in a tree or in a complete configuration."""

    @property
    def keys(self) -> tuple[str, ...]:
        """Keys that the tenant's callers send."""


class TenantLimits(Value, frozen=True):
    """Effective limits of a tenant, after inheritance.

    ``rate_per_second`` 0 means no limit, ``priority`` None the priority of the route.
    """

    rate_per_second: Figure = 0
    burst: Figure = 0
    priority: int | None = None


_ROOT_NAMES = {
    "rate_per_second": "tenant_rate_per_second",
    "burst": "tenant_burst",
    "priority": "tenant_priority",
}
"""Settings of the root that tenants inherit, by the name of the tenant's limit."""

LIMIT_NAMES = tuple(_ROOT_NAMES)
"""Limits that a tenant sets or else inherits."""


def key_digest(key: bytes) -> bytes:
    """Return the digest (SHA-256, 32 bytes) by which nodes recognize a key."""
    return hashlib.sha256(key).digest()


def key_digests(keys: Iterable[str]) -> tuple[bytes, ...]:
    """Return the distinct digests of keys, sorted so as to hide the order of the keys."""
    return tuple(sorted({key_digest(key.encode()) for key in keys}))


def key_fingerprint(key: str) -> str:
    """Return the text that identifies a key to operators.

    For the replacement of a hidden key it is the fingerprint of that key.
    """
    if is_hidden(key):
        return key.removeprefix(HIDDEN_MARK)
    return f"sha256:{key_digest(key.encode()).hex()[:FINGERPRINT_DIGITS]}"


def is_fingerprint(text: str) -> bool:
    """Report whether a text has the form of a key's fingerprint.

    A key that was sent in place of a fingerprint does not have it, so that the key can
    be refused and is not repeated in a text.
    """
    return FINGERPRINT_PATTERN.fullmatch(text) is not None


def is_hidden(key: str) -> bool:
    """Report whether a text is the replacement of a hidden key."""
    return key.startswith(HIDDEN_MARK)


def hidden_keys(keys: Iterable[str]) -> tuple[str, ...]:
    """Return the texts that replace keys in trees shown to operators."""
    return tuple(HIDDEN_MARK + key_fingerprint(key) for key in keys)


def limits_of(tree: Tree, name: str) -> TenantLimits:
    """Return the effective limits of a tenant of the tree."""
    return inherited_limits(tree.tenants[name], tree.nodes[ROOT_PATH].overrides)


def given_limits(tenant: GivenLimits) -> dict[str, Any]:
    """Return the limits that the tenant itself sets, by name."""
    values = {name: getattr(tenant, name) for name in _ROOT_NAMES}
    return {name: value for name, value in values.items() if value is not UNSET}


def inherited_limits(tenant: GivenLimits, root: Overrides) -> TenantLimits:
    """Return the effective limits of a tenant.

    A limit that the tenant does not set is that of the root, else the built-in one.
    """
    inherited = {name: getattr(root, setting) for name, setting in _ROOT_NAMES.items()}
    found = {name: value for name, value in inherited.items() if value is not UNSET}
    return TenantLimits(**{**found, **given_limits(tenant)})


def limit_origins(tree: Tree, name: str) -> tuple[Origin, ...]:
    """Return a tenant's effective limits, and for each where it is set.

    That is the tenant, the root, or BUILT_IN.
    """
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


def is_rate_or_burst(value: Any) -> bool:
    """Report whether a value is a valid rate or burst: finite, from 0 to MAXIMUM_FIGURE."""
    if type(value) not in (int, float):
        return False
    return 0 <= value <= MAXIMUM_FIGURE and math.isfinite(value)


def check_tenant(name: str, tenant: GivenTenant) -> list[Problem]:
    """Return the problems of one tenant, regardless of the others."""
    subject = f"tenant:{name}"
    problems: list[Problem] = []
    if not is_name(name):
        problems.append(Problem(subject, "not a tenant's name", NAME_RULE))
    problems += _check_limits(subject, tenant)
    if len(tenant.keys) > MAXIMUM_KEYS_OF_TENANT:
        reason = f"the tenant has {len(tenant.keys)} keys"
        problems.append(Problem(subject, reason, f"at most {MAXIMUM_KEYS_OF_TENANT}"))
    for number, key in enumerate(tenant.keys, 1):
        problems += _check_key(subject, number, key)
    return problems


def shared_keys(keys_of: Mapping[str, tuple[str, ...]]) -> list[Problem]:
    """Return one problem for each pair of tenants that share a key.

    If more than two share a key, each is paired with the first of them by name. The
    texts do not contain the key.
    """
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


def _check_limits(subject: str, tenant: GivenLimits) -> list[Problem]:
    problems: list[Problem] = []
    for name in ("rate_per_second", "burst"):
        value = getattr(tenant, name)
        if value is not UNSET and not is_rate_or_burst(value):
            problems.append(
                Problem(subject, f"{name} is {_number_text(value)}", RATE_OR_BURST_RULE)
            )
    priority = tenant.priority
    if priority is not UNSET and not PRIORITIES[0] <= priority <= PRIORITIES[1]:
        allowed = f"{PRIORITIES[0]} to {PRIORITIES[1]}"
        problems.append(Problem(subject, f"priority is {_number_text(priority)}", allowed))
    return problems


def _number_text(value: Figure) -> str:
    """Return a number as text, without digits if it is beyond MAXIMUM_SHOWN.

    An integer of thousands of digits can't be converted to text.
    """
    return repr(value) if abs(value) <= MAXIMUM_SHOWN else "out of all bounds"


def _check_key(subject: str, number: int, key: str) -> list[Problem]:
    """Return the problems of one key; it must fit in a header field."""
    if not key:
        return [Problem(subject, f"key {number} is empty", "at least one character")]
    size = len(key.encode(errors="surrogatepass"))
    if size > MAXIMUM_KEY_BYTES:
        reason = f"key {number} has {size} bytes"
        return [Problem(subject, reason, f"at most {MAXIMUM_KEY_BYTES}")]
    if any(_is_unsendable(character) for character in key):
        reason = f"key {number} holds a control character"
        return [Problem(subject, reason, "what a header field can carry")]
    return []


def _is_unsendable(character: str) -> bool:
    return character < " " or character == "\x7f" or "\ud800" <= character <= "\udfff"
