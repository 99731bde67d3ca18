"""Trees as TOML text, for operators' files, backups and reviews.

::

    cluster = "refund"

    [zones.pasila]
    region = "uusimaa"

    [nodes."/kassa/*/pay"]
    path_prefix = "/pay"
    methods = ["POST"]

    [secrets.member-key]
    signing_generation = 1
    generations = [{ generation = 1, material_base64 = "..." }]

Key material is written only if requested. A file without a ``secrets`` table leaves
the present secrets as they are. A file never has tenants; the present ones are
retained.
"""

from __future__ import annotations

import tomllib
from typing import Any, TypeVar

import msgspec
import tomli_w
from returns.result import Failure, Result, Success

from peppershore.version.editor import SECRET_SUBJECT, ZONE_SUBJECT
from peppershore.version.model import (
    ROOT_PATH,
    Overrides,
    Problem,
    Secret,
    SecretGeneration,
    Tenant,
    Tree,
    TreeNode,
    Value,
    Zone,
)
from peppershore.version.path import parse_path, service_path
from peppershore.version.resolve import set_values
from peppershore.version.setting_rules import SETTING_RULES
from peppershore.version.tree_index import referenced_secrets, split_path
from peppershore.version.validation import validate_tree

FILE_SUBJECT = "file"
_TABLES = ("cluster", "zones", "nodes", "secrets")

_Form = TypeVar("_Form")


class _ZoneForm(Value, frozen=True, forbid_unknown_fields=True):
    """A zone in a file."""

    region: str


class _GenerationForm(Value, frozen=True, forbid_unknown_fields=True):
    """A generation of a secret in a file; the material is in base64."""

    generation: int
    material_base64: bytes


class _SecretForm(Value, frozen=True, forbid_unknown_fields=True):
    """A secret in a file."""

    signing_generation: int
    generations: tuple[_GenerationForm, ...]


def tree_to_toml(tree: Tree, with_material: bool = False) -> str:
    """Return a tree as TOML; secrets are left out unless ``with_material``."""
    table: dict[str, Any] = {
        "cluster": tree.cluster,
        "zones": {
            name: {"region": zone.region} for name, zone in sorted(tree.zones.items())
        },
        "nodes": {
            path: msgspec.to_builtins(set_values(node.overrides))
            for path, node in sorted(tree.nodes.items())
        },
    }
    if with_material:
        table["secrets"] = {
            name: msgspec.to_builtins(_secret_form(secret))
            for name, secret in sorted(tree.secrets.items())
        }
    return tomli_w.dumps(table)


def tree_from_toml(
    text: str,
    secrets: dict[str, Secret] | None = None,
    tenants: dict[str, Tenant] | None = None,
) -> Result[Tree, tuple[Problem, ...]]:
    """Return the valid tree of a text at version 0, or all problems of the text.

    ``secrets`` replace a missing ``secrets`` table. Without either, the names of
    secrets are not checked and the tree has no secrets. The tree's tenants are
    ``tenants``, since a text has none.
    """
    try:
        table = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as problem:
        return Failure((Problem(FILE_SUBJECT, f"not TOML: {problem}"),))
    reader = _Reader(table)
    tree = reader.read_tree(secrets or {})
    secrets_are_known = "secrets" in table or secrets is not None
    checked = tree if secrets_are_known else _with_named_secrets(tree)
    problems = tuple(reader.problems) or validate_tree(checked)
    if problems:
        return Failure(problems)
    return Success(msgspec.structs.replace(tree, tenants=tenants or {}))


def _with_named_secrets(tree: Tree) -> Tree:
    """Return the tree with a placeholder for each secret that its nodes name."""
    placeholder = Secret((SecretGeneration(1, b"placeholder"),), signing_generation=1)
    names = frozenset().union(
        *(referenced_secrets(node.overrides) for node in tree.nodes.values())
    )
    return msgspec.structs.replace(tree, secrets=dict.fromkeys(names, placeholder))


def _secret_form(secret: Secret) -> _SecretForm:
    return _SecretForm(
        signing_generation=secret.signing_generation,
        generations=tuple(
            _GenerationForm(each.generation, each.material) for each in secret.generations
        ),
    )


class _Reader:
    """Reads a parsed TOML table and collects all problems."""

    def __init__(self, table: dict[str, Any]) -> None:
        self.problems: list[Problem] = []
        self._table = table

    def read_tree(self, known_secrets: dict[str, Secret]) -> Tree:
        """Return the tree of the table; it is usable only if ``problems`` is empty.

        ``known_secrets`` replace a missing ``secrets`` table.
        """
        for name in self._table.keys() - set(_TABLES):
            self._refuse(FILE_SUBJECT, f"unknown key {name!r}", ", ".join(_TABLES))
        nodes = self._read_nodes()
        return Tree(
            cluster=self._read_cluster(),
            version=0,
            zones=self._read_zones(),
            nodes=nodes,
            secrets=self._read_secrets() if "secrets" in self._table else known_secrets,
        )

    def _read_cluster(self) -> str:
        cluster = self._table.get("cluster")
        if not isinstance(cluster, str) or not cluster:
            self._refuse(FILE_SUBJECT, "cluster is missing", "the cluster's name")
            return ""
        return cluster

    def _read_zones(self) -> dict[str, Zone]:
        zones = {}
        for name, value in self._read_table("zones").items():
            form = self._convert(f"{ZONE_SUBJECT}{name}", value, _ZoneForm)
            if form is not None:
                zones[name] = Zone(form.region)
        return zones

    def _read_nodes(self) -> dict[str, TreeNode]:
        nodes = {ROOT_PATH: TreeNode(Overrides())}
        for path, value in self._read_table("nodes").items():
            problem = parse_path(path).swap().value_or(None)
            if problem is not None:
                self.problems.append(problem)
                continue
            nodes[path] = TreeNode(self._read_overrides(path, value))
        for path in tuple(nodes):
            service = split_path(path).service
            if service:
                nodes.setdefault(service_path(service), TreeNode(Overrides()))
        return nodes

    def _read_overrides(self, path: str, value: object) -> Overrides:
        if not isinstance(value, dict):
            self._refuse(path, "not a table", "settings and their values")
            return Overrides()
        overrides = Overrides()
        for name, setting in value.items():
            rule = SETTING_RULES.get(name)
            allowed = ", ".join(SETTING_RULES) if rule is None else rule.allowed
            one = self._convert(path, {name: setting}, Overrides, allowed)
            if one is not None:
                overrides = msgspec.structs.replace(overrides, **set_values(one))
        return overrides

    def _read_secrets(self) -> dict[str, Secret]:
        secrets = {}
        for name, value in self._read_table("secrets").items():
            form = self._convert(f"{SECRET_SUBJECT}{name}", value, _SecretForm)
            if form is None:
                continue
            generations = tuple(
                SecretGeneration(each.generation, each.material_base64)
                for each in form.generations
            )
            secrets[name] = Secret(generations, form.signing_generation)
        return secrets

    def _read_table(self, name: str) -> dict[str, Any]:
        value = self._table.get(name, {})
        if not isinstance(value, dict):
            self._refuse(FILE_SUBJECT, f"{name} is not a table", f"[{name}.NAME] tables")
            return {}
        return value

    def _convert(
        self, subject: str, value: object, form: type[_Form], allowed: str = ""
    ) -> _Form | None:
        try:
            return msgspec.convert(value, form)
        except msgspec.ValidationError as problem:
            self._refuse(subject, str(problem), allowed)
            return None

    def _refuse(self, subject: str, reason: str, allowed: str) -> None:
        self.problems.append(Problem(subject, reason, allowed))
