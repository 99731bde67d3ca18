"""The promises of a secret's rotation, checked over all nodes at once.

A node that was stopped or cut off may lack a key for a while.  It must then know
that its configuration is not confirmed, so that it refuses nobody for that key.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import lru_cache

from peppershore.process.node.core import NodeCore
from peppershore.request.audience import REFUSAL_FRESHNESS_SECONDS
from peppershore.version.model import SecretResource, Snapshot
from peppershore.version.resource_codec import decode_resource
from peppershore_lab.simulator.violations import require

KEY_IS_KNOWN = "no node signs with a key that another live node does not hold"
NOBODY_REFUSED = "no node refuses a token for a key that signers use already"
SECRET_PREFIX = "secret:"
REMEMBERED_SNAPSHOTS = 64


def check_rotations(signers: dict[str, NodeCore], verifiers: dict[str, NodeCore]) -> None:
    """Check the signing key of each signer against what each verifier holds."""
    _check_all(signers, verifiers, KEY_IS_KNOWN)


def _check_all(
    signers: dict[str, NodeCore], verifiers: dict[str, NodeCore], promise: str
) -> None:
    held = {name: _secrets_of(core) for name, core in verifiers.items()}
    for signer, core in signers.items():
        for secret in _secrets_of(core).values():
            for verifier, known in held.items():
                if secret.name in known:
                    _check_pair(signer, secret, verifier, known[secret.name], promise)


def check_refusals(
    signers: dict[str, NodeCore],
    verifiers: dict[str, NodeCore],
    now: Callable[[str], float],
) -> None:
    """Check every running verifier, also one that stood still a moment ago.

    ``now`` gives a node's own monotonic time.
    """
    may_refuse = {
        name: core
        for name, core in verifiers.items()
        if now(name) - core.confirmed_at <= REFUSAL_FRESHNESS_SECONDS
    }
    _check_all(signers, may_refuse, NOBODY_REFUSED)


def _check_pair(
    signer: str,
    secret: SecretResource,
    verifier: str,
    known: SecretResource,
    promise: str,
) -> None:
    generations = [each.generation for each in known.generations]
    signing = secret.signing_generation
    is_newer = signing > max(generations, default=0)
    detail = f"{signer} signs with {secret.name} {signing}, {verifier} holds {generations}"
    require(not is_newer, promise, detail)


def _secrets_of(core: NodeCore) -> dict[str, SecretResource]:
    snapshot = core.holder.snapshot
    return _decoded(_Key(snapshot))


class _Key:
    """A snapshot by its identity: it never changes."""

    def __init__(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot

    def __hash__(self) -> int:
        return id(self.snapshot)

    def __eq__(self, other: object) -> bool:
        return isinstance(other, _Key) and other.snapshot is self.snapshot


@lru_cache(REMEMBERED_SNAPSHOTS)
def _decoded(key: _Key) -> dict[str, SecretResource]:
    found: dict[str, SecretResource] = {}
    for resource in key.snapshot.resources.values():
        if resource.name.startswith(SECRET_PREFIX):
            content = decode_resource(resource).unwrap()
            assert isinstance(content, SecretResource)
            found[content.name] = content
    return found
