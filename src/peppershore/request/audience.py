"""Access control of routes: callers present a signed token unless the route is public.

Tokens are JWTs, signed with HS256 and one generation (key) of the route's verify secret;
their ``aud`` claim names the audience. A route without a verify secret serves either the
public or nobody, so that a missing setting never opens an internal route.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from hashlib import sha256

import msgspec
from returns.result import Failure, Result, Success

from peppershore.request.confirmation import NOT_CONFIRMED
from peppershore.request.outcome import STATUS_FORBIDDEN, NotRun
from peppershore.version.model import RouteSettings, SecretResource

ALGORITHM = "HS256"
BEARER = b"Bearer "
PUBLIC = "public"
MAX_TOKEN_BYTES = 8 * 1024
MAX_REMEMBERED_TOKENS = 4_096
CLOCK_LEEWAY_SECONDS = 5

REFUSAL_FRESHNESS_SECONDS = 6.0
"""A node whose configuration was last confirmed longer ago than this may lack a key that
signers already use, so it can't tell an invalid token from one signed with an unknown key.
This is shorter than every interval after which a key rotation stops waiting for a silent
node."""


class Caller(msgspec.Struct, frozen=True):
    """The identity of a caller: ``name`` is the token's subject, empty for the public."""

    audience: str
    name: str = ""


class _Verified(msgspec.Struct, frozen=True):
    caller: Caller
    expires_unix: float
    generation: int


class AudienceCheck:
    """Verifies tokens; caches verified ones until they expire or their key is removed."""

    def __init__(self) -> None:
        """Start with an empty cache."""
        self._verified: OrderedDict[tuple[str, bytes], _Verified] = OrderedDict()

    def check(
        self,
        route: RouteSettings,
        secrets: Mapping[str, SecretResource],
        authorization: bytes,
        now_unix: float,
        *,
        is_confirmed: bool = True,
    ) -> Result[Caller, NotRun]:
        """Return the caller, or the refusal; ``now_unix`` is wall-clock time in seconds.

        ``is_confirmed`` says whether the configuration was confirmed within the last
        REFUSAL_FRESHNESS_SECONDS. If it was not, an unknown key does not lead to a refusal
        that the caller would treat as final.
        """
        if PUBLIC in route.audience:
            return Success(Caller(PUBLIC))
        secret = secrets.get(route.verify_secret) if route.verify_secret else None
        if secret is None:
            return _refused("audience-not-verifiable")
        if not authorization.startswith(BEARER) or len(authorization) > MAX_TOKEN_BYTES:
            return _refused("token-missing")
        verified = self._verify(secret, authorization[len(BEARER) :], now_unix)
        if verified is None:
            return _refused("token-invalid") if is_confirmed else Failure(NOT_CONFIRMED)
        if verified.caller.audience not in route.audience:
            return _refused("audience-refused")
        return Success(verified.caller)

    def _verify(
        self, secret: SecretResource, token: bytes, now_unix: float
    ) -> _Verified | None:
        name = (secret.name, sha256(token).digest())
        known = self._verified.get(name)
        if known is not None and _still_valid(known, secret, now_unix):
            return known
        verified = _decode(secret, token, now_unix)
        if verified is None:
            self._verified.pop(name, None)
            return None
        self._verified[name] = verified
        if len(self._verified) > MAX_REMEMBERED_TOKENS:
            self._verified.popitem(last=False)
        return verified


def load_token_library() -> None:
    """Import the token library now, so that the first token does not delay other calls."""
    import jwt  # noqa: F401, PLC0415 - it takes long to import, and few sites need tokens


def sign_token(secret: SecretResource, audience: str, subject: str, expires: int) -> str:
    """Return a token signed with the secret's signing generation."""
    material = next(
        held.material
        for held in secret.generations
        if held.generation == secret.signing_generation
    )
    import jwt  # noqa: PLC0415 - it takes long to import, and few sites need tokens

    claims = {"aud": audience, "sub": subject, "exp": expires}
    return jwt.encode(claims, material, algorithm=ALGORITHM)


def _still_valid(known: _Verified, secret: SecretResource, now_unix: float) -> bool:
    held = any(key.generation == known.generation for key in secret.generations)
    return held and now_unix < known.expires_unix


def _decode(secret: SecretResource, token: bytes, now_unix: float) -> _Verified | None:
    import jwt  # noqa: PLC0415 - it takes long to import, and few sites need tokens

    for key in reversed(secret.generations):
        try:
            claims = jwt.decode(
                token,
                key.material,
                algorithms=[ALGORITHM],
                options={
                    "require": ["exp", "aud"],
                    "verify_aud": False,
                    "verify_exp": False,
                    "verify_nbf": False,
                    "verify_iat": False,
                },
            )
        except (jwt.InvalidTokenError, UnicodeError):
            continue
        return _from_claims(claims, key.generation, now_unix)
    return None


def _from_claims(
    claims: Mapping[str, object], generation: int, now_unix: float
) -> _Verified | None:
    audience = claims.get("aud")
    expires = claims.get("exp")
    not_before = claims.get("nbf", 0)
    subject = claims.get("sub", "")
    if not isinstance(audience, str) or not isinstance(subject, str):
        return None
    if not isinstance(expires, int | float) or not isinstance(not_before, int | float):
        return None
    if now_unix >= expires + CLOCK_LEEWAY_SECONDS:
        return None
    if now_unix < not_before - CLOCK_LEEWAY_SECONDS:
        return None
    return _Verified(
        Caller(audience, subject), float(expires) + CLOCK_LEEWAY_SECONDS, generation
    )


def _refused(reason: str) -> Result[Caller, NotRun]:
    return Failure(NotRun(STATUS_FORBIDDEN, reason))
