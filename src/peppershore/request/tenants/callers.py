"""The tenant on whose behalf a call is made, and how long its key is trusted.

A caller presents its tenant's key. A back end presents none for the calls that it makes:
they are made on behalf of the tenant whose call it runs.
"""

from __future__ import annotations

import math

import msgspec
from returns.result import Failure, Result, Success

from peppershore.connection.http_head import HeaderList
from peppershore.request.audience import PUBLIC
from peppershore.request.confirmation import RETRY_AFTER_MILLISECONDS
from peppershore.request.outcome import (
    AUTHORIZATION_HEADER,
    STATUS_UNAUTHORIZED,
    STATUS_UNAVAILABLE,
    NotRun,
)
from peppershore.request.tenants.keys import TenantKeys, shown_key, shows_key
from peppershore.version.model import RouteSettings
from peppershore.version.tenants import key_digest

OWNER_WAIT_SHARE = 0.5
"""Share of the time in which a change comes into force for which a call with a key may wait
at a back end's local node, which holds no keys. The rest of the time is for the change to
reach the node that sent the call there."""

NO_KEY = NotRun(STATUS_UNAUTHORIZED, "no-key")
UNKNOWN_KEY = NotRun(STATUS_UNAUTHORIZED, "unknown-key")
KEY_CHANGED = NotRun(STATUS_UNAVAILABLE, "key-changed-hands", RETRY_AFTER_MILLISECONDS)
"""Refusal: another tenant holds the call's key by now, or no call needs a key any more: the
call must be checked again."""

KEYS_NOT_CONFIRMED = NotRun(
    STATUS_UNAVAILABLE, "keys-not-confirmed", RETRY_AFTER_MILLISECONDS
)
PARENT_NOT_KNOWN = NotRun(STATUS_UNAVAILABLE, "parent-not-known")
"""Refusal: a back end makes a call for a request that this node does not know, or no
longer. It is not final, since no key is missing; and nobody waits for the call's result."""


class OnBehalf(msgspec.Struct, frozen=True):
    """The tenant on whose behalf a call is made; ``tenant`` is "" if there is none.

    ``priority`` None means the route's priority. ``digest`` is that of the key which the
    caller presented, empty for a call that a back end makes.
    """

    tenant: str = ""
    priority: int | None = None
    digest: bytes = b""

    def __repr__(self) -> str:
        """Return a text without the digest, to keep it out of logs and tracebacks."""
        return f"OnBehalf(tenant={self.tenant!r}, priority={self.priority})"


NOBODY = OnBehalf()


class Parentage(msgspec.Struct, frozen=True):
    """Whether a call is made by the local back end for a request that it runs.

    ``tenant`` is that of the running request, or None if there is no such request.
    ``may_be_child`` says that the call's address and the form of its id allow it.
    ``is_repeat``: the running request may have run before.
    """

    tenant: str | None = None
    may_be_child: bool = False
    is_repeat: bool = False


NO_PARENT = Parentage()


class KeyTerms(msgspec.Struct, frozen=True):
    """How long keys are trusted by a node that receives no confirmations.

    A change is in force within ``apply_seconds``. With ``fails_closed``, a configuration
    confirmed longer than ``revocation_seconds`` ago admits no caller by a key.
    """

    apply_seconds: float
    revocation_seconds: float
    fails_closed: bool

    def allow(self, age_seconds: float) -> bool:
        """Report whether a configuration confirmed this long ago admits callers by keys."""
        return not self.fails_closed or age_seconds <= self.revocation_seconds

    def longest_wait(self, age_seconds: float) -> float:
        """Return the seconds that a call with a key may wait at a node without keys."""
        wait = self.apply_seconds * OWNER_WAIT_SHARE
        if not self.fails_closed:
            return wait
        return max(0.0, min(wait, self.revocation_seconds - age_seconds))


class TenantCallers:
    """Checks keys against the tenants of the configuration in use."""

    def __init__(self, terms: KeyTerms) -> None:
        """Start without tenants: no key is required. ``terms`` limit the trust in keys."""
        self.keys = TenantKeys()
        self._terms = terms

    def requires_key(self, route: RouteSettings) -> bool:
        """Report whether the calls of a route need a tenant's key.

        A route that requires a signed token can't require a key, since both use one field.
        """
        return self.keys.in_force and not route.keyless and PUBLIC in route.audience

    def judge(
        self,
        route: RouteSettings,
        headers: HeaderList,
        parentage: Parentage,
        age_seconds: float,
    ) -> Result[OnBehalf, NotRun]:
        """Return on whose behalf a call is made, or why it is refused.

        ``age_seconds`` is how long ago the configuration was confirmed.
        """
        if parentage.tenant is not None:
            return Success(self._of_running_call(parentage.tenant))
        if not self.requires_key(route):
            return Success(NOBODY)
        key = shown_key(headers)
        if not key:
            return Failure(PARENT_NOT_KNOWN if parentage.may_be_child else NO_KEY)
        digest = key_digest(key)
        holder = self.keys.holder(digest)
        if holder is None:
            return Failure(UNKNOWN_KEY)
        if not self._terms.allow(age_seconds):
            return Failure(KEYS_NOT_CONFIRMED)
        return Success(OnBehalf(holder.name, holder.priority, digest))

    def refusal(self, whose: OnBehalf, age_seconds: float) -> NotRun | None:
        """Return why a call that waited may not go on, or None if its key still counts."""
        if not whose.digest:
            return None
        holder = self.keys.holder(whose.digest)
        if holder is None and self.keys.in_force:
            return UNKNOWN_KEY
        if holder is None or holder.name != whose.tenant:
            return KEY_CHANGED
        return None if self._terms.allow(age_seconds) else KEYS_NOT_CONFIRMED

    def longest_wait(self, whose: OnBehalf, age_seconds: float) -> float:
        """Return for how many seconds a call may wait at a node that holds no keys."""
        return self._terms.longest_wait(age_seconds) if whose.digest else math.inf

    def without_keys(self, route: RouteSettings, headers: HeaderList) -> HeaderList:
        """Return the header fields that a back end may see: without keys, known or not."""
        if not self.keys.in_force or PUBLIC not in route.audience:
            return headers
        return [
            (name, value)
            for name, value in headers
            if name != AUTHORIZATION_HEADER or (route.keyless and not shows_key(value))
        ]

    def _of_running_call(self, tenant: str) -> OnBehalf:
        """Return the tenant of a running call.

        A tenant that was removed keeps its name for the calls that its running calls still
        make; these get the route's priority.
        """
        held = self.keys.tenant(tenant)
        return OnBehalf(tenant, None if held is None else held.priority)
