"""The typed values of a configuration version: tree, edit, resource, snapshot, update.

All types are immutable values without behaviour. The stages of the pipeline
(tree -> resolved settings -> snapshot -> update) are in the other modules of this
package and exchange these values.
"""

from __future__ import annotations

from typing import Literal

import msgspec
from msgspec import UNSET, UnsetType

from peppershore.version.hidden import describe

Version = int
"""Position of an accepted edit in the replicated log; 0 before the first one."""

Digest = int
"""Unsigned 64-bit digest of a resource or of a complete snapshot."""

ROOT_PATH = "/"
"""Path of the tree's root."""

ANY_ZONE = "*"
"""Zone segment of a path whose node applies to every zone."""

ANY_METHOD = "*"
"""Stands for every method in a route's ``methods``."""

CallClass = Literal["critical", "normal", "bulk"]
Audience = Literal["public", "member", "internal"]
HopMode = Literal["direct", "owner"]
RolloutState = Literal["", "running", "completed", "rolled_back"]
"""State of the latest roll-out of a service; "" before the first."""
Figure = int | float
"""A number that is returned in the type in which it was sent: 350 stays an integer."""


class Value(msgspec.Struct, frozen=True):
    """Base class of the immutable values of a configuration version."""

    def __repr__(self) -> str:
        """Return a text that shows only the length of each ``bytes`` value."""
        return describe(self)


class Overrides(Value, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """The settings that one node of the tree overrides; an unset field is inherited."""

    path_prefix: str | UnsetType = UNSET
    methods: tuple[str, ...] | UnsetType = UNSET
    target: str | UnsetType = UNSET
    timeout_milliseconds: int | UnsetType = UNSET
    call_class: CallClass | UnsetType = UNSET
    repeatable: bool | UnsetType = UNSET
    audience: tuple[Audience, ...] | UnsetType = UNSET
    hop: HopMode | UnsetType = UNSET
    retry_budget_percent: int | UnsetType = UNSET
    retry_attempts: int | UnsetType = UNSET
    require_ready: bool | UnsetType = UNSET
    caller_rate_per_second: int | UnsetType = UNSET
    verify_secret: str | UnsetType = UNSET
    max_body_bytes: int | UnsetType = UNSET
    calls: tuple[str, ...] | UnsetType = UNSET
    slots: int | UnsetType = UNSET
    connections: int | UnsetType = UNSET
    queue_limit: int | UnsetType = UNSET
    slow_start_milliseconds: int | UnsetType = UNSET
    ejection_failures: int | UnsetType = UNSET
    ejection_max_percent: int | UnsetType = UNSET
    sign_secret: str | UnsetType = UNSET
    spill_over: bool | UnsetType = UNSET
    host: str | UnsetType = UNSET
    splits: tuple[str, ...] | UnsetType = UNSET
    priority: int | UnsetType = UNSET
    target_latency_milliseconds: int | UnsetType = UNSET
    retry_errors: bool | UnsetType = UNSET
    holds_every_service: bool | UnsetType = UNSET
    health_path: str | UnsetType = UNSET
    backend_protocol: str | UnsetType = UNSET
    backend_tls: bool | UnsetType = UNSET
    max_header_bytes: int | UnsetType = UNSET
    header_timeout_milliseconds: int | UnsetType = UNSET
    idle_timeout_milliseconds: int | UnsetType = UNSET
    streamed_bodies: bool | UnsetType = UNSET
    rollout_version: str | UnsetType = UNSET
    rollout_state: RolloutState | UnsetType = UNSET
    rollout_share: int | UnsetType = UNSET
    rollout_began_milliseconds: int | UnsetType = UNSET
    rollout_milliseconds: int | UnsetType = UNSET
    large_answers: bool | UnsetType = UNSET
    keyless: bool | UnsetType = UNSET
    tenant_rate_per_second: Figure | UnsetType = UNSET
    tenant_burst: Figure | UnsetType = UNSET
    tenant_priority: int | UnsetType = UNSET


class RouteSettings(Value, frozen=True):
    """Effective settings of one route in one zone, after inheritance.

    ``host`` "" matches every host, ``methods`` "*" every method. ``splits``, if set,
    replace ``target`` and distribute the calls over services by weight. ``priority`` 0
    is the most urgent. ``target_latency_milliseconds`` 0 means no latency objective.
    With ``retry_errors`` an idempotent call is retried on another back end if a back
    end answers with an error of its own (5xx). With ``streamed_bodies`` the body of a
    request may be large: it is forwarded as it arrives, and only the part that is sent
    before a back end accepts the call is buffered for a retry. With ``large_answers``
    answers are so large that the network link of the back end's node limits how many
    are sent at a time. If the tree has tenants, a call must carry a tenant's key unless
    its route is ``keyless``.
    """

    path_prefix: str = ""
    methods: tuple[str, ...] = ("GET",)
    target: str = ""
    timeout_milliseconds: int = 10_000
    call_class: CallClass = "normal"
    repeatable: bool = False
    audience: tuple[Audience, ...] = ("internal",)
    hop: HopMode = "direct"
    retry_budget_percent: int = 10
    retry_attempts: int = 2
    require_ready: bool = True
    caller_rate_per_second: int = 0
    verify_secret: str = ""
    max_body_bytes: int = 1_048_576
    host: str = ""
    splits: tuple[str, ...] = ()
    priority: int = 1
    target_latency_milliseconds: int = 0
    retry_errors: bool = False
    streamed_bodies: bool = False
    large_answers: bool = False
    keyless: bool = False


class ServiceSettings(Value, frozen=True):
    """Effective settings of one service in one zone, after inheritance.

    The nodes of a service that ``holds_every_service`` hold all services of the
    tree and their routes. ``max_header_bytes``, ``header_timeout_milliseconds`` and
    ``idle_timeout_milliseconds`` bound what a caller of the service's nodes may send,
    how long sending the header may take and how long a connection may be idle.

    The ``rollout_`` settings are written by the control group, not by operators. They
    describe the latest roll-out: the new software version, the state, the share of
    calls that goes to the new version (in units of 1/``version.rollout.ALL_CALLS``),
    when it was ordered (Unix milliseconds) and the time within which it must be
    completed.
    """

    calls: tuple[str, ...] = ()
    slots: int = 20
    connections: int = 130
    queue_limit: int = 100
    slow_start_milliseconds: int = 2_000
    ejection_failures: int = 5
    ejection_max_percent: int = 50
    sign_secret: str = ""
    spill_over: bool = True
    holds_every_service: bool = False
    health_path: str = ""
    backend_protocol: str = "h1"
    backend_tls: bool = False
    max_header_bytes: int = 32_768
    header_timeout_milliseconds: int = 10_000
    idle_timeout_milliseconds: int = 75_000
    rollout_version: str = ""
    rollout_state: RolloutState = ""
    rollout_share: int = 0
    rollout_began_milliseconds: int = 0
    rollout_milliseconds: int = 0


class SecretGeneration(Value, frozen=True):
    """One generation of a secret's key material (bytes, never logged)."""

    generation: int
    material: bytes

    def __repr__(self) -> str:
        """Return a text without key material, for logs and tracebacks."""
        return f"SecretGeneration(generation={self.generation}, material=<hidden>)"


class Secret(Value, frozen=True):
    """A secret: verifiers accept every generation, signers use one of them.

    ``rotation_version`` is the version that added the newest generation, as long as
    signers use an older one; 0 if no rotation is in progress. ``change_id`` is the
    change id of the edit that created ``revision``.
    """

    generations: tuple[SecretGeneration, ...]
    signing_generation: int
    revision: Version = 0
    rotation_version: Version = 0
    change_id: str = ""


class TreeNode(Value, frozen=True):
    """One node of the tree, and the version and change id of its last change."""

    overrides: Overrides
    revision: Version = 0
    change_id: str = ""


class Tenant(Value, frozen=True):
    """Callers who share keys and a rate limit; unset limits are inherited from the root.

    ``keys`` are key material: they leave the control group only in a complete
    configuration that an operator reads back. All nodes together admit
    ``rate_per_second`` calls per second, plus a burst of ``burst`` calls; a rate of 0
    means no limit. ``priority`` overrides the priority of the route; if neither the
    tenant nor the root sets one, the route's applies.
    """

    keys: tuple[str, ...]
    rate_per_second: Figure | UnsetType = UNSET
    burst: Figure | UnsetType = UNSET
    priority: int | UnsetType = UNSET
    revision: Version = 0
    change_id: str = ""

    def __repr__(self) -> str:
        """Return a text without key material, for logs and tracebacks."""
        return f"Tenant(keys=<{len(self.keys)} hidden>, revision={self.revision})"


class Zone(Value, frozen=True):
    """A zone and the region to which it belongs."""

    region: str
    revision: Version = 0
    change_id: str = ""


class Tree(Value, frozen=True, dict=True):
    """The complete accepted configuration at one version.

    ``nodes`` maps a path ("/", "/service", "/service/zone",
    "/service/zone/route", zone may be "*") to its node. A tree is never mutated: an
    edit creates a new tree that shares the nodes it did not touch. The instance also
    carries indexes derived from it (``tree_index``), which are never encoded.
    ``release`` is the operators' number of the complete configuration that was accepted
    last, 0 before the first.
    """

    cluster: str
    version: Version
    zones: dict[str, Zone]
    nodes: dict[str, TreeNode]
    secrets: dict[str, Secret]
    release: Version = 0
    tenants: dict[str, Tenant] = {}


class SetOverrides(Value, frozen=True, tag="set"):
    """Create the node at ``path`` if it is absent, and set these overrides on it."""

    path: str
    overrides: Overrides


class UnsetOverrides(Value, frozen=True, tag="unset"):
    """Remove the named overrides from the node at ``path``."""

    path: str
    names: tuple[str, ...]


class RemoveNode(Value, frozen=True, tag="remove"):
    """Remove the node at ``path`` and everything below it."""

    path: str


class SetZone(Value, frozen=True, tag="set_zone"):
    """Declare a zone, or assign it to another region."""

    name: str
    region: str


class RemoveZone(Value, frozen=True, tag="remove_zone"):
    """Remove a zone that no path names."""

    name: str


class PutSecret(Value, frozen=True, tag="put_secret"):
    """Create a secret, or add a generation to it and so start a rotation."""

    name: str
    material: bytes

    def __repr__(self) -> str:
        """Return a text without key material, for logs and tracebacks."""
        return f"PutSecret(name={self.name!r}, material=<hidden>)"


class PromoteSecret(Value, frozen=True, tag="promote_secret"):
    """Make signers use ``generation`` of a secret.

    Of the generations before it only the one directly before it is retained.
    """

    name: str
    generation: int


class RemoveSecret(Value, frozen=True, tag="remove_secret"):
    """Remove a secret that no route or service uses."""

    name: str


class SetTenant(Value, frozen=True, tag="set_tenant"):
    """Create a tenant, or replace its limits; unset limits are inherited.

    ``keys`` replace the tenant's keys. If unset, its keys do not change (a new tenant
    has none).
    """

    name: str
    rate_per_second: Figure | UnsetType = UNSET
    burst: Figure | UnsetType = UNSET
    priority: int | UnsetType = UNSET
    keys: tuple[str, ...] | UnsetType = UNSET

    def __repr__(self) -> str:
        """Return a text without key material, for logs and tracebacks."""
        keys = "kept" if self.keys is UNSET else f"{len(self.keys)} hidden"
        return f"SetTenant(name={self.name!r}, keys=<{keys}>)"


class ChangeTenantKeys(Value, frozen=True, tag="change_tenant_keys"):
    """Add keys to a tenant and remove others; its limits do not change.

    ``keys`` are added. ``drop`` has the fingerprints of the keys to remove, because
    operators who change keys are shown only fingerprints.
    """

    name: str
    keys: tuple[str, ...] = ()
    drop: tuple[str, ...] = ()

    def __repr__(self) -> str:
        """Return a text without key material, for logs and tracebacks."""
        return (
            f"ChangeTenantKeys(name={self.name!r}, keys=<{len(self.keys)} hidden>, "
            f"drop=<{len(self.drop)}>)"
        )


class RemoveTenant(Value, frozen=True, tag="remove_tenant"):
    """Remove a tenant; its keys become invalid."""

    name: str


Operation = (
    SetOverrides
    | UnsetOverrides
    | RemoveNode
    | SetZone
    | RemoveZone
    | PutSecret
    | PromoteSecret
    | RemoveSecret
    | SetTenant
    | ChangeTenantKeys
    | RemoveTenant
)


class ExpectedRevision(Value, frozen=True):
    """The revision of a subject on which an edit is based.

    ``subject`` is a path, "secret:NAME", "zone:NAME" or "tenant:NAME".
    """

    subject: str
    revision: Version


class Edit(Value, frozen=True):
    """One atomic change of the tree; its sender identifies it by ``change_id``.

    The leader sets ``accepted_unix_milliseconds`` for display; nothing is ordered by
    it. ``release`` is the operators' number of a complete configuration that the edit
    puts in force, 0 for any other edit. Such an edit is accepted only if
    ``base_release`` is the release in force and ``release`` is higher.
    """

    change_id: str
    operations: tuple[Operation, ...]
    expected: tuple[ExpectedRevision, ...] = ()
    author: str = ""
    comment: str = ""
    accepted_unix_milliseconds: int = 0
    release: Version = 0
    base_release: Version = 0


class Problem(Value, frozen=True):
    """One fault in a tree or an edit: where it is, what it is, and what is allowed."""

    subject: str
    reason: str
    allowed: str = ""


class EditAccepted(Value, frozen=True, tag="accepted"):
    """The edit is committed as ``version``; a retry of the edit gets the same reply."""

    change_id: str
    version: Version


class EditInvalid(Value, frozen=True, tag="invalid"):
    """The edit breaks the rules that ``problems`` lists; the tree did not change.

    Either the edit itself is invalid, or the tree after it would be.
    """

    change_id: str
    problems: tuple[Problem, ...]


class EditConflict(Value, frozen=True, tag="conflict"):
    """Another edit won the race for ``subject``; the tree did not change.

    ``subject`` does not have the revision that the rejected edit expected.
    ``winner_change_id`` is the change id of the edit that made the actual revision.
    """

    change_id: str
    subject: str
    expected_revision: Version
    actual_revision: Version
    winner_change_id: str = ""


class EditExpired(Value, frozen=True, tag="expired"):
    """The change id is older than the retained outcomes; the edit is not applied again."""

    change_id: str
    horizon_version: Version


EditOutcome = EditAccepted | EditInvalid | EditConflict | EditExpired


class Scope(Value, frozen=True, array_like=True, order=True):
    """Identifies the proxies that share one snapshot: the service they host and the zone.

    The services that they may call are in the tree (``calls`` of the hosted service).
    """

    service: str
    zone: str


class RouteResource(Value, frozen=True, array_like=True, tag=1):
    """A route in a snapshot, with its effective settings in the zone of the scope."""

    service: str
    route: str
    settings: RouteSettings


class ServiceResource(Value, frozen=True, array_like=True, tag=2):
    """A service in a snapshot, with its effective settings in the zone of the scope."""

    service: str
    settings: ServiceSettings


class SecretResource(Value, frozen=True, array_like=True, tag=3):
    """A secret in a snapshot, with all generations that verifiers accept."""

    name: str
    generations: tuple[SecretGeneration, ...]
    signing_generation: int


class TenantResource(Value, frozen=True, array_like=True, tag=4):
    """A tenant in a snapshot; it has the digests of the tenant's keys, not the keys.

    ``rate_per_second`` 0 means no limit, ``priority`` None the priority of the route.
    """

    name: str
    key_digests: tuple[bytes, ...]
    rate_per_second: float = 0.0
    burst: float = 0.0
    priority: int | None = None


ResourceContent = RouteResource | ServiceResource | SecretResource | TenantResource


class Resource(Value, frozen=True, array_like=True, dict=True):
    """An encoded resource; ``payload`` is MessagePack of a ``ResourceContent``.

    Names: "service:S", "route:S/R", "secret:N", "tenant:N". ``decode_resource`` caches
    the decoded content on the instance.
    """

    name: str
    payload: bytes

    def __repr__(self) -> str:
        """Return a text without key material, for logs and tracebacks."""
        return f"Resource(name={self.name!r}, payload=<{len(self.payload)} bytes>)"


class Snapshot(Value, frozen=True, dict=True):
    """The complete state of a node of ``scope`` at ``version``; never changed in place.

    ``digest`` is the digest over the name and payload of all resources.
    ``version.snapshot`` caches the decoded contents on the instance.
    """

    scope: Scope
    version: Version
    digest: Digest
    resources: dict[str, Resource]


class Update(Value, frozen=True, array_like=True):
    """The change from the state of ``base_digest`` to that of ``digest`` at ``version``.

    If ``full``, the update has the complete state: it replaces what the holder has,
    and ``removed`` is empty.
    """

    scope: Scope
    full: bool
    base_digest: Digest
    version: Version
    digest: Digest
    changed: tuple[Resource, ...]
    removed: tuple[str, ...]
