"""Differences between two trees, for operators and for the command line."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from typing import Literal, TypeVar

import msgspec

from peppershore.version.editor import SECRET_SUBJECT, TENANT_SUBJECT, ZONE_SUBJECT
from peppershore.version.model import Secret, Tenant, Tree, TreeNode, Value, Zone
from peppershore.version.resolve import set_values
from peppershore.version.tenants import given_limits, key_fingerprint

DifferenceKind = Literal["added", "removed", "changed"]

_Item = TypeVar("_Item")
_Settings = dict[str, str]


class Difference(Value, frozen=True):
    """One setting of a tree node, zone, secret or tenant that differs between two trees.

    ``subject`` is a path, "zone:NAME", "secret:NAME" or "tenant:NAME". ``setting``
    is empty where a tree node without overrides is added or removed. ``before`` and
    ``after`` are JSON texts, empty where the setting is absent. A secret is shown by
    the numbers of its generations, never by its key material; the keys of a tenant are
    shown by their fingerprints.
    """

    subject: str
    kind: DifferenceKind
    setting: str
    before: str
    after: str


def compare_trees(before: Tree, after: Tree) -> tuple[Difference, ...]:
    """Return all differences between two trees, sorted by subject and setting.

    Revisions are not compared: two trees of the same content have no differences.
    """
    found = [
        *_compare_items(before.nodes, after.nodes, "", _node_settings),
        *_compare_items(before.zones, after.zones, ZONE_SUBJECT, _zone_settings),
        *_compare_items(before.secrets, after.secrets, SECRET_SUBJECT, _secret_settings),
        *_compare_items(before.tenants, after.tenants, TENANT_SUBJECT, _tenant_settings),
    ]
    return tuple(sorted(found, key=lambda each: (each.subject, each.setting)))


def _compare_items(
    before: Mapping[str, _Item],
    after: Mapping[str, _Item],
    prefix: str,
    settings_of: Callable[[_Item], _Settings],
) -> Iterator[Difference]:
    for name in before.keys() | after.keys():
        old, new = before.get(name), after.get(name)
        if old is new:
            continue
        old_settings: _Settings = {} if old is None else settings_of(old)
        new_settings: _Settings = {} if new is None else settings_of(new)
        subject = f"{prefix}{name}"
        if old is None and not new_settings:
            yield Difference(subject, "added", "", "", "")
        if new is None and not old_settings:
            yield Difference(subject, "removed", "", "", "")
        yield from _compare_settings(subject, old_settings, new_settings)


def _compare_settings(subject: str, old: _Settings, new: _Settings) -> Iterator[Difference]:
    for setting in old.keys() | new.keys():
        before, after = old.get(setting, ""), new.get(setting, "")
        if before != after:
            yield Difference(subject, _kind(before, after), setting, before, after)


def _kind(before: str, after: str) -> DifferenceKind:
    if not before:
        return "added"
    return "changed" if after else "removed"


def _node_settings(node: TreeNode) -> _Settings:
    values = set_values(node.overrides)
    return {name: _as_json(value) for name, value in values.items()}


def _zone_settings(zone: Zone) -> _Settings:
    return {"region": _as_json(zone.region)}


def _secret_settings(secret: Secret) -> _Settings:
    numbers = [generation.generation for generation in secret.generations]
    return {
        "generations": _as_json(numbers),
        "signing_generation": _as_json(secret.signing_generation),
    }


def _tenant_settings(tenant: Tenant) -> _Settings:
    limits = {name: _as_json(value) for name, value in given_limits(tenant).items()}
    return limits | {"keys": _as_json([key_fingerprint(key) for key in tenant.keys])}


def _as_json(value: object) -> str:
    return msgspec.json.encode(value).decode()
