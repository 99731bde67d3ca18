"""The typed values of a configuration version: tree, edit, resource, snapshot, update.

Everything here is an immutable value without behaviour.  The stages of the
pipeline (tree -> resolved -> snapshot -> update) live in the other modules of
this package and exchange these values.
"""

from __future__ import annotations

from typing import Literal

import msgspec
from msgspec import UNSET, UnsetType

from peppershore.version.hidden import describe

Version = int
"""Position of an accepted change in the replicated log; 0 means "nothing yet"."""

Digest = int
"""Unsigned 64-bit digest of a resource or of a whole snapshot."""

ROOT_PATH = "/"
"""Path of the tree's root."""

ANY_ZONE = "*"
"""Zone segment of a path that applies to every zone of a service."""

ANY_METHOD = "*"
"""Stands for every method in a route's ``methods``."""

CallClass = Literal["critical", "normal", "bulk"]
Audience = Literal["public", "member", "internal"]
HopMode = Literal["direct", "owner"]
RolloutState = Literal["", "running", "completed", "rolled_back"]
"""Of the latest roll-out of a service; "" before the first."""
Figure = int | float
"""A number that is given back as it was given: a whole one stays whole."""


class Value(msgspec.Struct, frozen=True):
    """Base of the immutable values of a version."""

    def __repr__(self) -> str:
        """Show of bytes only how many there are."""
        return describe(self)


class Overrides(Value, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """What one node of the tree overrides; an unset field is inherited."""

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

    ``host`` "" takes every host, ``methods`` "*" every method.  ``splits`` share the
    calls out over services by weight, in place of ``target``.  ``priority`` 0 is the
    most urgent.  ``target_latency_milliseconds`` 0 names no aim.  With
    ``retry_errors`` a call that may be repeated is tried elsewhere when a back end
    itself fails (5xx).  With ``streamed_bodies`` a request's body may be large: it is
    passed on as it comes, and kept for another attempt only as far as it goes out
    before a back end takes it.  With ``large_answers`` answers are so large that the
    link of the back end's node bounds how many are given at a time.  Where the tree has
    tenants, a call carries a tenant's key unless its route is ``keyless``.
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
    tree and their routes.  The last three bound what a caller of the service's
    nodes may send and how long it may take or rest.

    The ``rollout_`` settings are the group's own, no operator's: the software version
    that the latest roll-out brings in, how far that is, which part of the calls goes to
    it (of ``version.rollout.ALL_CALLS``), when it was ordered (Unix milliseconds) and
    within what time it is to be done.
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
        """Keep key material out of logs and tracebacks."""
        return f"SecretGeneration(generation={self.generation}, material=<hidden>)"


class Secret(Value, frozen=True):
    """A named secret: verifiers accept every generation, signers use one.

    ``rotation_version`` is the version that added the newest generation while
    signers still use an older one; 0 when no rotation is in progress.
    ``change_id`` names the edit that made ``revision``.
    """

    generations: tuple[SecretGeneration, ...]
    signing_generation: int
    revision: Version = 0
    rotation_version: Version = 0
    change_id: str = ""


class TreeNode(Value, frozen=True):
    """One node of the tree, and the version and edit that changed it last."""

    overrides: Overrides
    revision: Version = 0
    change_id: str = ""


class Tenant(Value, frozen=True):
    """Callers who share keys and a limit; what is unset is inherited from the root.

    ``keys`` are key material: they leave the control group in a configuration that an
    operator reads back, and nowhere else.  ``rate_per_second`` calls a second and
    ``burst`` on top are admitted over all nodes together, 0 for no limit.  ``priority``
    goes before that of a route; unset, the route's counts.
    """

    keys: tuple[str, ...]
    rate_per_second: Figure | UnsetType = UNSET
    burst: Figure | UnsetType = UNSET
    priority: int | UnsetType = UNSET
    revision: Version = 0
    change_id: str = ""

    def __repr__(self) -> str:
        """Keep key material out of logs and tracebacks."""
        return f"Tenant(keys=<{len(self.keys)} hidden>, revision={self.revision})"


class Zone(Value, frozen=True):
    """A zone and the region it belongs to."""

    region: str
    revision: Version = 0
    change_id: str = ""


class Tree(Value, frozen=True, dict=True):
    """The whole accepted configuration at one version.

    ``nodes`` maps a path ("/", "/service", "/service/zone",
    "/service/zone/route", zone may be "*") to its node.  Never mutated: an
    edit gives a new tree that shares the untouched nodes.  The instance also
    carries indexes derived from it (``tree_index``); they are never encoded.
    ``release`` is the operators' own number of the whole configuration that was
    taken last, 0 before the first.
    """

    cluster: str
    version: Version
    zones: dict[str, Zone]
    nodes: dict[str, TreeNode]
    secrets: dict[str, Secret]
    release: Version = 0
    tenants: dict[str, Tenant] = {}


class SetOverrides(Value, frozen=True, tag="set"):
    """Create the node at ``path`` if absent and set the given overrides on it."""

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
    """Declare a zone or move it to another region."""

    name: str
    region: str


class RemoveZone(Value, frozen=True, tag="remove_zone"):
    """Remove a zone that no path names."""

    name: str


class PutSecret(Value, frozen=True, tag="put_secret"):
    """Create a secret, or add a generation and begin its rotation."""

    name: str
    material: bytes

    def __repr__(self) -> str:
        """Keep key material out of logs and tracebacks."""
        return f"PutSecret(name={self.name!r}, material=<hidden>)"


class PromoteSecret(Value, frozen=True, tag="promote_secret"):
    """Let signers use the newest generation; drop the generations before ``keep``."""

    name: str
    generation: int


class RemoveSecret(Value, frozen=True, tag="remove_secret"):
    """Remove a secret that no route or service uses."""

    name: str


class SetTenant(Value, frozen=True, tag="set_tenant"):
    """Create a tenant, or give one other limits; what is unset is inherited.

    ``keys`` replace those that it has; unset, they stay (a new tenant has none).
    """

    name: str
    rate_per_second: Figure | UnsetType = UNSET
    burst: Figure | UnsetType = UNSET
    priority: int | UnsetType = UNSET
    keys: tuple[str, ...] | UnsetType = UNSET

    def __repr__(self) -> str:
        """Keep key material out of logs and tracebacks."""
        keys = "kept" if self.keys is UNSET else f"{len(self.keys)} hidden"
        return f"SetTenant(name={self.name!r}, keys=<{keys}>)"


class ChangeTenantKeys(Value, frozen=True, tag="change_tenant_keys"):
    """Give a tenant further keys and take others away; its limits stay.

    ``keys`` are those to add.  ``drop`` are fingerprints: those who change keys see no
    more of them.
    """

    name: str
    keys: tuple[str, ...] = ()
    drop: tuple[str, ...] = ()

    def __repr__(self) -> str:
        """Keep key material out of logs and tracebacks."""
        return (
            f"ChangeTenantKeys(name={self.name!r}, keys=<{len(self.keys)} hidden>, "
            f"drop=<{len(self.drop)}>)"
        )


class RemoveTenant(Value, frozen=True, tag="remove_tenant"):
    """Remove a tenant; its keys are of no use any more."""

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
    """The revision that an operator saw.

    ``subject`` is a path, "secret:NAME", "zone:NAME" or "tenant:NAME".
    """

    subject: str
    revision: Version


class Edit(Value, frozen=True):
    """One atomic change of the tree, named by the ``change_id`` of its sender.

    ``accepted_unix_milliseconds`` is stamped by the leader for people to read;
    nothing is ordered by it.  ``release`` is set where the edit brings a whole
    configuration in place, with the operators' own number; it is taken only while
    ``base_release`` is in place, and only if its number is higher.
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
    """One thing wrong with a tree or an edit: where, what, and what is allowed."""

    subject: str
    reason: str
    allowed: str = ""


class EditAccepted(Value, frozen=True, tag="accepted"):
    """The edit is committed as ``version``; also the answer to a resend."""

    change_id: str
    version: Version


class EditInvalid(Value, frozen=True, tag="invalid"):
    """The edit would give a tree that breaks the listed rules; nothing changed."""

    change_id: str
    problems: tuple[Problem, ...]


class EditConflict(Value, frozen=True, tag="conflict"):
    """Another edit won the race for ``subject``; nothing changed."""

    change_id: str
    subject: str
    expected_revision: Version
    actual_revision: Version
    winner_change_id: str = ""


class EditExpired(Value, frozen=True, tag="expired"):
    """The change id is older than the table of outcomes reaches; not run again."""

    change_id: str
    horizon_version: Version


EditOutcome = EditAccepted | EditInvalid | EditConflict | EditExpired


class Scope(Value, frozen=True, array_like=True, order=True):
    """Which nodes share one snapshot: the hosted service and the zone.

    The services it may call follow from the tree (``calls`` of the service).
    """

    service: str
    zone: str


class RouteResource(Value, frozen=True, array_like=True, tag=1):
    """A route as a node holds it."""

    service: str
    route: str
    settings: RouteSettings


class ServiceResource(Value, frozen=True, array_like=True, tag=2):
    """A service as a node holds it."""

    service: str
    settings: ServiceSettings


class SecretResource(Value, frozen=True, array_like=True, tag=3):
    """A secret as a node holds it: all verifying generations."""

    name: str
    generations: tuple[SecretGeneration, ...]
    signing_generation: int


class TenantResource(Value, frozen=True, array_like=True, tag=4):
    """A tenant as a node holds it: no key, only the digest of each.

    ``rate_per_second`` 0 stands for no limit, ``priority`` None for the route's.
    """

    name: str
    key_digests: tuple[bytes, ...]
    rate_per_second: float = 0.0
    burst: float = 0.0
    priority: int | None = None


ResourceContent = RouteResource | ServiceResource | SecretResource | TenantResource


class Resource(Value, frozen=True, array_like=True, dict=True):
    """An encoded resource; ``payload`` is MessagePack of a ``ResourceContent``.

    Names: "service:S", "route:S/R", "secret:N", "tenant:N".  Its content is kept beside
    it once it was decoded (``decode_resource``).
    """

    name: str
    payload: bytes

    def __repr__(self) -> str:
        """Keep key material out of logs and tracebacks."""
        return f"Resource(name={self.name!r}, payload=<{len(self.payload)} bytes>)"


class Snapshot(Value, frozen=True, dict=True):
    """All a node of ``scope`` holds at ``version``; replaced as a whole.

    ``digest`` is the digest over (name, payload) of all resources.  What was worked out
    of them is kept beside them (``version.snapshot``).
    """

    scope: Scope
    version: Version
    digest: Digest
    resources: dict[str, Resource]


class Update(Value, frozen=True, array_like=True):
    """State that takes a holder of ``base_digest`` to ``digest`` at ``version``.

    ``full`` means: start from nothing, ``removed`` is empty.
    """

    scope: Scope
    full: bool
    base_digest: Digest
    version: Version
    digest: Digest
    changed: tuple[Resource, ...]
    removed: tuple[str, ...]
