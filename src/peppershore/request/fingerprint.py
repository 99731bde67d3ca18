"""Which requests are the same one, sent again.

A caller that sends a request again gives it another id and another deadline, at any
node.  Host, method, path with query, caller and body stay the same; the service does not
count, since a route that splits its calls may draw another one.
"""

from __future__ import annotations

from hashlib import blake2b

from peppershore.connection.http_head import RequestHead
from peppershore.request.classification import host_of

DIGEST_BYTES = 16
"""Two requests share a digest by chance once in 2^64 pairs, and nobody can make them."""

BODY_BYTES = 64 * 1024
"""So much of a body counts.  A larger one is known before its end, and costs no more than
0.1 ms of processor time."""


def identity_of(head: RequestHead, caller: str) -> bytes:
    """Give the digest of all that is the same in a request sent again, but its body.

    ``caller`` is the subject of its token, empty for the public.
    """
    host = host_of(head).encode()
    lengths = b"%d %d %d " % (len(host), len(head.method), len(head.target))
    named = b"".join((lengths, host, head.method, head.target, caller.encode()))
    return blake2b(named, digest_size=DIGEST_BYTES).digest()


class Fingerprint:
    """One request's digest, worked out as its body comes."""

    __slots__ = ("_body", "_taken", "identity", "is_known")

    def __init__(self, identity: bytes = b"") -> None:
        """Begin before the body; ``identity`` is empty while it is not known."""
        self.identity = identity
        self.is_known = False
        """Whether all of the body that counts is in."""
        self._body: blake2b | None = None
        self._taken = 0

    def add(self, data: bytes) -> None:
        """Take the next piece of the body."""
        counted = data[: BODY_BYTES - self._taken]
        if not counted:
            return
        if self._body is None:
            self._body = blake2b(digest_size=DIGEST_BYTES)
        self._body.update(counted)
        self._taken += len(counted)
        self.is_known = self.is_known or self._taken == BODY_BYTES

    def end(self) -> None:
        """The body is whole."""
        self.is_known = True

    @property
    def key(self) -> bytes:
        """What tells the request from all others; that of its head without a body."""
        if self._body is None:
            return self.identity
        whole = blake2b(self.identity + self._body.digest(), digest_size=DIGEST_BYTES)
        return whole.digest()

    @property
    def name(self) -> str:
        """Its name in log lines and for operators; that of its head until it is known."""
        return (self.key if self.is_known else self.identity).hex()
