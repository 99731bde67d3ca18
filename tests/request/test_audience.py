"""Access control of callers: tokens, audiences, key rotation."""

from __future__ import annotations

import jwt
import pytest
from returns.result import Success

from peppershore.request.audience import AudienceCheck, Caller, sign_token
from peppershore.version.model import RouteSettings, SecretGeneration, SecretResource

OLD, NEW = b"o" * 32, b"n" * 32
NOW = 1_700_000_000
MEMBERS = RouteSettings(audience=("member", "internal"), verify_secret="site")


def _secret(signing: int = 1, *materials: bytes) -> SecretResource:
    generations = tuple(
        SecretGeneration(number, material)
        for number, material in enumerate(materials or (OLD, NEW), 1)
    )
    return SecretResource("site", generations, signing)


def _check(
    token: str, route: RouteSettings = MEMBERS, now: float = NOW, check: object = None
) -> str | Caller:
    used = check if isinstance(check, AudienceCheck) else AudienceCheck()
    header = f"Bearer {token}".encode() if token else b""
    checked = used.check(route, {"site": _secret()}, header, now)
    return checked.unwrap() if isinstance(checked, Success) else checked.failure().reason


def _signed(key: bytes = NEW, algorithm: str = "HS256", **changes: object) -> str:
    claims = {"aud": "member", "sub": "till-7", "exp": NOW + 60} | changes
    return jwt.encode({k: v for k, v in claims.items() if v is not None}, key, algorithm)


def test_public_route_needs_no_token() -> None:
    assert _check("", RouteSettings(audience=("public",))) == Caller("public")


def test_internal_route_without_a_secret_serves_nobody() -> None:
    route = RouteSettings(audience=("internal",))
    assert _check(_signed(), route) == "audience-not-verifiable"


@pytest.mark.parametrize("signing", [1, 2])
def test_every_held_generation_verifies(signing: int) -> None:
    token = sign_token(_secret(signing), "internal", "kassa", NOW + 30)
    assert _check(token) == Caller("internal", "kassa")


REFUSED = {
    "none": ("", "token-missing"),
    "garbage": ("not.a.token", "token-invalid"),
    "foreign key": (_signed(b"x" * 32), "token-invalid"),
    "expired": (_signed(exp=NOW - 60), "token-invalid"),
    "not yet": (_signed(nbf=NOW + 60), "token-invalid"),
    "no expiry": (_signed(exp=None), "token-invalid"),
    "no audience": (_signed(aud=None), "token-invalid"),
    "audience list": (_signed(aud=["member"]), "token-invalid"),
    "public audience": (_signed(aud="public"), "audience-refused"),
    "other algorithm": (_signed(NEW * 2, algorithm="HS512"), "token-invalid"),
    "unsigned": (
        jwt.encode({"aud": "member", "exp": NOW + 60}, None, "none"),
        "token-invalid",
    ),
}


@pytest.mark.parametrize("name", REFUSED)
def test_refused_tokens(name: str) -> None:
    token, reason = REFUSED[name]
    assert _check(token) == reason


def test_cached_token_expires_and_is_dropped_with_its_key() -> None:
    check = AudienceCheck()
    token = _signed(OLD)
    assert _check(token, check=check) == Caller("member", "till-7")
    assert _check(token, now=NOW + 66, check=check) == "token-invalid"
    assert _check(token, check=check) == Caller("member", "till-7")
    rotated = {"site": SecretResource("site", (SecretGeneration(2, NEW),), 2)}
    checked = check.check(MEMBERS, rotated, f"Bearer {token}".encode(), NOW)
    assert checked.failure().reason == "token-invalid"


def test_unconfirmed_node_refuses_an_unknown_key_only_temporarily() -> None:
    check = AudienceCheck()
    secrets = {"site": _secret()}
    unknown = f"Bearer {_signed(b'x' * 32)}".encode()
    refusal = check.check(MEMBERS, secrets, unknown, NOW, is_confirmed=False).failure()
    assert (refusal.status, refusal.reason) == (503, "configuration-not-confirmed")
    assert refusal.retry_after_milliseconds > 0
    known = f"Bearer {_signed()}".encode()
    assert check.check(MEMBERS, secrets, known, NOW, is_confirmed=False).unwrap()
