"""Look-up of tenants by the digests of their keys."""

from __future__ import annotations

from collections.abc import Mapping

from peppershore.connection.http_head import HeaderList
from peppershore.request.outcome import AUTHORIZATION_HEADER
from peppershore.version.model import TenantResource

KEY_SCHEME = b"bearer"
MAX_KEY_BYTES = 1024
"""A longer value is not a key; no digest is computed over arbitrarily long input."""


def shows_key(value: bytes) -> bool:
    """Report whether an authorization field's value may hold a key, in whatever form."""
    return value[: len(KEY_SCHEME)].lower() == KEY_SCHEME


def shown_key(headers: HeaderList) -> bytes:
    """Return the key that a caller presents; empty if there is no well-formed one.

    If the field occurs twice, there is no key: the node and a back end might each use a
    different one.
    """
    values = [value for name, value in headers if name == AUTHORIZATION_HEADER]
    if len(values) != 1:
        return b""
    scheme, _, rest = values[0].partition(b" ")
    key = rest.strip(b" \t")
    is_key = scheme.lower() == KEY_SCHEME and len(key) <= MAX_KEY_BYTES
    return key if is_key and not any(space in key for space in (b" ", b"\t")) else b""


class TenantKeys:
    """Finds a tenant by the digest of its key.

    The digest of a guessed key says nothing about digests close to it, so the duration of
    the look-up reveals nothing about the existing keys.
    """

    def __init__(self) -> None:
        """Start without tenants."""
        self._tenants: Mapping[str, TenantResource] = {}
        self._holders: dict[bytes, TenantResource] = {}

    @property
    def in_force(self) -> bool:
        """Whether there are tenants at all."""
        return bool(self._tenants)

    def use(self, tenants: Mapping[str, TenantResource]) -> None:
        """Apply the tenants of another configuration, by their differences."""
        former = self._tenants
        if tenants is former:
            return
        self._tenants = tenants
        removed = [held for name, held in former.items() if tenants.get(name) != held]
        added = [held for name, held in tenants.items() if former.get(name) != held]
        for tenant in removed:
            for digest in tenant.key_digests:
                self._holders.pop(digest, None)
        for tenant in added:
            for digest in tenant.key_digests:
                self._holders[digest] = tenant

    def holder(self, digest: bytes) -> TenantResource | None:
        """Return the tenant that holds the key with this digest, or None."""
        return self._holders.get(digest)

    def tenant(self, name: str) -> TenantResource | None:
        """Return a tenant by its name, or None."""
        return self._tenants.get(name)
