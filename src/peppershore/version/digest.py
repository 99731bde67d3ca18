"""Digests of resources and snapshots.

The digest of a snapshot is the sum, modulo 2**64, of a digest of its scope and the
digests of its resources. The sum does not depend on the order of resources, so that a
change of one resource costs one subtraction and one addition. The digest detects
damaged data and differing states. It does not protect against forgery; the
authentication of the links does.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from peppershore.version.model import Digest, Resource, Scope

NOTHING_HELD: Digest = 0
"""Digest of a holder that has received no snapshot yet, not even an empty one."""

_MODULUS = 1 << 64
_SEPARATOR = b"\0"


def resource_digest(resource: Resource) -> Digest:
    """Return the digest of one resource, over its name and its payload."""
    return xxhash.xxh3_64_intdigest(resource.name.encode() + _SEPARATOR + resource.payload)


def scope_digest(scope: Scope) -> Digest:
    """Return the digest of an empty snapshot of a scope."""
    return xxhash.xxh3_64_intdigest(f"{scope.service}/{scope.zone}".encode())


def combine(scope: Scope, digests: Iterable[Digest]) -> Digest:
    """Return the digest of a scope's snapshot from the digests of its resources."""
    return (scope_digest(scope) + sum(digests)) % _MODULUS


def snapshot_digest(scope: Scope, resources: Iterable[Resource]) -> Digest:
    """Return the digest of a scope's snapshot from its resources."""
    return combine(scope, (resource_digest(resource) for resource in resources))


def changed_digest(
    former: Digest, removed: Iterable[Resource], added: Iterable[Resource]
) -> Digest:
    """Return the digest of a snapshot after resources were removed and added.

    ``former`` is the digest before. A changed resource is in both: ``removed`` has its
    former content and ``added`` its new one.
    """
    removed_sum = sum(resource_digest(resource) for resource in removed)
    added_sum = sum(resource_digest(resource) for resource in added)
    return (former - removed_sum + added_sum) % _MODULUS
