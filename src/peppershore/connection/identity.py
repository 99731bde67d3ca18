"""Identity of a process in its certificate: ``peppershore://CLUSTER/ROLE/NAME``.

The identity is a URI among the certificate's subject alternative names. A node's
identity also includes the service that it hosts and its zone,
``peppershore://CLUSTER/node/SERVICE/ZONE/NAME``, so that no node can request the
configuration and the secrets of another service.
"""

from __future__ import annotations

from urllib.parse import quote, unquote

import msgspec
from returns.result import Failure, Result, Success

SCHEME = "peppershore://"
NODE_ROLE = "node"
ROLES = ("control", "relay", NODE_ROLE, "claims", "operator")
_PLAIN_PARTS = 3
_NODE_PARTS = 5


class PeerIdentity(msgspec.Struct, frozen=True):
    """Identity of one process or operator; only nodes have a service and a zone."""

    cluster: str
    role: str
    name: str
    service: str = ""
    zone: str = ""


class IdentityProblem(msgspec.Struct, frozen=True):
    """Why a text is not a valid identity."""

    reason: str


def format_identity(identity: PeerIdentity) -> str:
    """Return the URI of an identity."""
    parts = [identity.cluster, identity.role]
    if identity.role == NODE_ROLE:
        parts += [identity.service, identity.zone]
    parts.append(identity.name)
    return SCHEME + "/".join(quote(part, safe="") for part in parts)


def parse_identity(uri: str) -> Result[PeerIdentity, IdentityProblem]:
    """Parse the URI of an identity."""
    if not uri.startswith(SCHEME):
        return Failure(IdentityProblem(f"does not begin with {SCHEME}"))
    parts = [unquote(part) for part in uri.removeprefix(SCHEME).split("/")]
    if not all(parts):
        return Failure(IdentityProblem("has an empty part"))
    if len(parts) < _PLAIN_PARTS or parts[1] not in ROLES:
        forms = ", ".join(f"{role}/..." for role in ROLES)
        return Failure(IdentityProblem(f"is no ROLE/NAME; there are {forms}"))
    cluster, role, *rest = parts
    if role == NODE_ROLE and len(parts) == _NODE_PARTS:
        service, zone, name = rest
        return Success(PeerIdentity(cluster, role, name, service, zone))
    if role != NODE_ROLE and len(parts) == _PLAIN_PARTS:
        return Success(PeerIdentity(cluster, role, rest[0]))
    expected = "node/SERVICE/ZONE/NAME" if role == NODE_ROLE else f"{role}/NAME"
    return Failure(IdentityProblem(f"has not the form CLUSTER/{expected}"))
