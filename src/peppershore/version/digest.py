"""Digests of resources and snapshots.

A snapshot's digest is the sum, modulo 2**64, of a digest of its scope and the
digests of its resources.  The sum does not depend on order, so a change of one
resource is a subtraction and an addition.  It guards against damage and
disagreement, not against forgery: links are authenticated for that.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from peppershore.version.model import Digest, Resource, Scope

NOTHING_HELD: Digest = 0
"""Digest of a holder that holds nothing at all, not even an empty snapshot."""

_MODULUS = 1 << 64
_SEPARATOR = b"\0"


def resource_digest(resource: Resource) -> Digest:
    """Give the digest of one resource: its name and its payload."""
    return xxhash.xxh3_64_intdigest(resource.name.encode() + _SEPARATOR + resource.payload)


def scope_digest(scope: Scope) -> Digest:
    """Give the digest of an empty snapshot of a scope."""
    return xxhash.xxh3_64_intdigest(f"{scope.service}/{scope.zone}".encode())


def combine(scope: Scope, digests: Iterable[Digest]) -> Digest:
    """Give the digest of a snapshot from the digests of its resources."""
    return (scope_digest(scope) + sum(digests)) % _MODULUS


def snapshot_digest(scope: Scope, resources: Iterable[Resource]) -> Digest:
    """Give the digest of a snapshot from its resources."""
    return combine(scope, (resource_digest(resource) for resource in resources))


def changed_digest(
    former: Digest, gone: Iterable[Resource], came: Iterable[Resource]
) -> Digest:
    """Give the digest of a snapshot after some resources went and others came."""
    lost = sum(resource_digest(resource) for resource in gone)
    won = sum(resource_digest(resource) for resource in came)
    return (former - lost + won) % _MODULUS
