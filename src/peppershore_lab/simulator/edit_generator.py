"""Random edits of a small tree, of the kinds that operators make."""

from __future__ import annotations

from random import Random

from peppershore.process.control.change_ids import new_change_id
from peppershore.version.model import (
    Edit,
    ExpectedRevision,
    Operation,
    Overrides,
    PutSecret,
    RemoveNode,
    SetOverrides,
    SetZone,
    Tree,
)
from peppershore.version.tree import revision_of

ZONES = ("vantaa", "pasila")
BACK_END_SERVICES = ("kassa", "kuitti")
EDGE_SERVICE = "till"
EXTRA_SERVICES = ("spare-a", "spare-b")
SECRETS = ("member-key", "till-key")
ROUTES = ("pay", "read", "status")
MATERIAL_BYTES = 8
EXPECTATION_SHARE = 0.8
"""Share of edits that name the revision they expect."""


def founding_edit(change_id: str) -> Edit:
    """Give the edit that makes the first tree."""
    operations: list[Operation] = [SetZone(zone, "uusimaa") for zone in ZONES]
    operations += [PutSecret(secret, b"first-" + secret.encode()) for secret in SECRETS]
    operations += [
        SetOverrides("/", Overrides(timeout_milliseconds=5_000)),
        SetOverrides("/kassa", Overrides(sign_secret="member-key")),
        SetOverrides(
            "/kassa/*/pay", Overrides(path_prefix="/pay", verify_secret="member-key")
        ),
        SetOverrides("/kuitti/*/read", Overrides(path_prefix="/read", repeatable=True)),
        SetOverrides("/till", Overrides(calls=BACK_END_SERVICES)),
        SetOverrides("/till/*/status", Overrides(path_prefix="/status", target="kuitti")),
    ]
    expected = tuple(ExpectedRevision(f"zone:{zone}", 0) for zone in ZONES)
    return Edit(change_id=change_id, operations=tuple(operations), expected=expected)


def random_edit(tree: Tree, unique: str, randomness: Random) -> Edit:
    """Give an edit of ``tree`` as an operator saw it; some are invalid."""
    change_id = new_change_id(tree.version, unique)
    if not tree.zones:
        return founding_edit(change_id)
    operation, subject = _random_operation(tree, randomness)
    expected: tuple[ExpectedRevision, ...] = ()
    if randomness.random() < EXPECTATION_SHARE:
        expected = (ExpectedRevision(subject, revision_of(tree, subject)),)
    return Edit(change_id=change_id, operations=(operation,), expected=expected)


def _random_operation(tree: Tree, randomness: Random) -> tuple[Operation, str]:
    kind = randomness.randrange(8)
    service = randomness.choice((*BACK_END_SERVICES, *EXTRA_SERVICES))
    if kind <= 2:
        path = randomness.choice(("/", f"/{service}", f"/{service}/{_zone(randomness)}"))
        timeout = randomness.randrange(1_000, 60_000)
        return SetOverrides(path, Overrides(timeout_milliseconds=timeout)), path
    if kind == 3:
        path = f"/{service}/*/{randomness.choice(ROUTES)}"
        return SetOverrides(path, _route_overrides(randomness)), path
    if kind == 4:
        calls = tuple(
            name
            for name in (*BACK_END_SERVICES, *EXTRA_SERVICES)
            if name in BACK_END_SERVICES or randomness.random() < 0.5
        )
        return SetOverrides("/till", Overrides(calls=calls)), "/till"
    if kind == 5:
        path = f"/{randomness.choice(EXTRA_SERVICES)}"
        return RemoveNode(path), path
    if kind == 6:
        secret = randomness.choice(SECRETS)
        return PutSecret(secret, randomness.randbytes(MATERIAL_BYTES)), f"secret:{secret}"
    path = randomness.choice(sorted(tree.nodes))
    return RemoveNode(path), path


def _route_overrides(randomness: Random) -> Overrides:
    target = randomness.choice((*BACK_END_SERVICES, *EXTRA_SERVICES))
    prefix = f"/{randomness.choice('abcdef')}"
    if randomness.random() < 0.5:
        secret = randomness.choice(SECRETS)
        return Overrides(path_prefix=prefix, target=target, verify_secret=secret)
    return Overrides(path_prefix=prefix, target=target)


def _zone(randomness: Random) -> str:
    return randomness.choice(ZONES)
