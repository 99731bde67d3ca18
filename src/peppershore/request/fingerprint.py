"""Fingerprints by which a request is recognised when its caller sends it again.

A retry has another id and another deadline, and may arrive at any node. Host, method, path
with query, caller and body stay the same. The service is left out, since a route that
splits its calls may choose another one.
"""

from __future__ import annotations

from hashlib import blake2b

from peppershore.connection.http_head import RequestHead
from peppershore.request.classification import host_of

DIGEST_BYTES = 16
"""Size of a fingerprint's digest. Two requests share a digest by chance once in 2^64 pairs,
and nobody can produce such a pair on purpose."""

BODY_BYTES = 64 * 1024
"""Number of body bytes that are hashed. With this bound, the fingerprint of a larger body
is known before its end, and costs at most 0.1 ms of processor time."""


def identity_of(head: RequestHead, caller: str) -> bytes:
    """Return the digest of everything that stays the same in a retry, except the body.

    ``caller`` is the subject of the caller's token, empty for the public.
    """
    host = host_of(head).encode()
    lengths = b"%d %d %d " % (len(host), len(head.method), len(head.target))
    named = b"".join((lengths, host, head.method, head.target, caller.encode()))
    return blake2b(named, digest_size=DIGEST_BYTES).digest()


class Fingerprint:
    """The digest of one request, computed while its body arrives."""

    __slots__ = ("_body", "_taken", "identity", "is_known")

    def __init__(self, identity: bytes = b"") -> None:
        """Start before the body; ``identity`` is empty as long as it is not known."""
        self.identity = identity
        self.is_known = False
        """Whether all body bytes that are hashed have arrived."""
        self._body: blake2b | None = None
        self._taken = 0

    def add(self, data: bytes) -> None:
        """Add the next chunk of the body."""
        counted = data[: BODY_BYTES - self._taken]
        if not counted:
            return
        if self._body is None:
            self._body = blake2b(digest_size=DIGEST_BYTES)
        self._body.update(counted)
        self._taken += len(counted)
        self.is_known = self.is_known or self._taken == BODY_BYTES

    def end(self) -> None:
        """Record that the body is complete."""
        self.is_known = True

    @property
    def key(self) -> bytes:
        """The digest that identifies the request; that of its head if it has no body."""
        if self._body is None:
            return self.identity
        combined = blake2b(self.identity + self._body.digest(), digest_size=DIGEST_BYTES)
        return combined.digest()

    @property
    def name(self) -> str:
        """Hexadecimal name for logs and operators; that of the head until all is known."""
        return (self.key if self.is_known else self.identity).hex()
