"""Tokens that a node signs for its local back end's calls to other services.

The configuration determines which generation (key) of a secret signs: a rotation lets
signers use a new key only once all verifiers hold it.
"""

from __future__ import annotations

from peppershore.request.audience import BEARER, sign_token
from peppershore.version.active import ActiveConfiguration

INTERNAL = "internal"
TOKEN_SECONDS = 60
RENEW_BEFORE_SECONDS = 30


class TokenSigner:
    """Signs tokens with which one service identifies itself to other services.

    A token is reused until shortly before it expires, while its key is the signing one.
    """

    def __init__(self, service: str) -> None:
        """Start without a token; ``service`` is the service that calls others."""
        self._service = service
        self._key: tuple[str, int] = ("", 0)
        self._expires = 0
        self._authorization = b""

    def authorization(self, configuration: ActiveConfiguration, now_unix: float) -> bytes:
        """Return the authorization header's value, empty if there is no signing secret."""
        settings = configuration.services.get(self._service)
        name = settings.sign_secret if settings is not None else ""
        secret = configuration.secrets.get(name) if name else None
        if secret is None:
            return b""
        key = (secret.name, secret.signing_generation)
        if key != self._key or now_unix > self._expires - RENEW_BEFORE_SECONDS:
            self._key = key
            self._expires = int(now_unix) + TOKEN_SECONDS
            token = sign_token(secret, INTERNAL, self._service, self._expires)
            self._authorization = BEARER + token.encode("ascii")
        return self._authorization
