"""Who a process is, as its certificate says: ``peppershore://CLUSTER/ROLE/NAME``.

A node's identity also fixes its scope:
``peppershore://CLUSTER/node/SERVICE/ZONE/NAME``, so that no node can ask for
the configuration and the secrets of another service.  It stands as a URI in
the certificate's subject alternative names.
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
    """The identity of one process or operator; service and zone only for nodes."""

    cluster: str
    role: str
    name: str
    service: str = ""
    zone: str = ""


class IdentityProblem(msgspec.Struct, frozen=True):
    """Why a text is no identity."""

    reason: str


def format_identity(identity: PeerIdentity) -> str:
    """Give the URI of an identity."""
    parts = [identity.cluster, identity.role]
    if identity.role == NODE_ROLE:
        parts += [identity.service, identity.zone]
    parts.append(identity.name)
    return SCHEME + "/".join(quote(part, safe="") for part in parts)


def parse_identity(uri: str) -> Result[PeerIdentity, IdentityProblem]:
    """Read the URI of an identity."""
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
