"""Random operations over a few names, so that they often concern the same subject."""

from hypothesis import strategies

from peppershore.version.model import (
    ChangeTenantKeys,
    Operation,
    Overrides,
    PromoteSecret,
    PutSecret,
    RemoveNode,
    RemoveSecret,
    RemoveTenant,
    RemoveZone,
    SetOverrides,
    SetTenant,
    SetZone,
    UnsetOverrides,
)
from peppershore.version.tenants import key_fingerprint

SERVICES = ("a", "b", "c")
ZONES = ("north", "south")
SECRETS = ("key", "seal")
TENANTS = ("farm", "mill")

_services = strategies.sampled_from(SERVICES)
_zones = strategies.sampled_from(ZONES)
_secrets = strategies.sampled_from(SECRETS)
_zone_segments = strategies.sampled_from(("*", *ZONES))
_numbers = strategies.integers(0, 4)
_tenants = strategies.sampled_from(TENANTS)
_keys = strategies.lists(strategies.sampled_from(("k1", "k2", "k3")), max_size=2).map(tuple)

_service_paths = strategies.one_of(
    _services.map(lambda service: f"/{service}"),
    strategies.tuples(_services, _zone_segments).map(lambda each: f"/{each[0]}/{each[1]}"),
)
_route_paths = strategies.tuples(
    _services, _zone_segments, strategies.sampled_from(("r", "s"))
).map(lambda each: "/" + "/".join(each))
_paths = strategies.one_of(strategies.just("/"), _service_paths, _route_paths)

_anywhere = strategies.one_of(
    _numbers.map(lambda value: Overrides(timeout_milliseconds=value)),
    _secrets.map(lambda name: Overrides(verify_secret=name)),
)
_on_services = strategies.one_of(
    _anywhere,
    _numbers.map(lambda value: Overrides(slots=value)),
    _secrets.map(lambda name: Overrides(sign_secret=name)),
    strategies.lists(_services, max_size=2).map(
        lambda names: Overrides(calls=tuple(names))
    ),
)
_on_routes = strategies.one_of(
    _anywhere,
    _services.map(lambda name: Overrides(target=name)),
    strategies.sampled_from(("/r", "/s")).map(lambda text: Overrides(path_prefix=text)),
)

visible_changes: strategies.SearchStrategy[Operation] = strategies.one_of(
    strategies.builds(
        SetOverrides,
        strategies.sampled_from(("/", "/a", "/b", "/b/*/r", "/b/north/r", "/c/north/s")),
        strategies.integers(1, 3).map(lambda value: Overrides(retry_attempts=value)),
    ),
    strategies.sampled_from(
        (
            SetOverrides("/a", Overrides(calls=("b",))),
            SetOverrides("/a", Overrides(calls=("c",))),
            SetOverrides("/b/*/r", Overrides(target="c")),
            SetOverrides("/b/*/s", Overrides(path_prefix="/s")),
            SetOverrides("/c/*/r", Overrides(path_prefix="/r")),
            RemoveNode("/b/*/s"),
            RemoveNode("/c/*/r"),
            RemoveNode("/b/north"),
            SetTenant("farm", 3, keys=("k1",)),
            SetTenant("farm", 3, keys=("k1", "k2")),
            SetTenant("mill", keys=("k3",)),
        )
    ),
)
"""Operations that are mostly valid and change the resources of some scope."""

operations: strategies.SearchStrategy[Operation] = strategies.one_of(
    visible_changes,
    strategies.builds(SetOverrides, _service_paths, _on_services),
    strategies.builds(SetOverrides, _route_paths, _on_routes),
    strategies.builds(SetOverrides, _paths, _anywhere),
    strategies.builds(
        UnsetOverrides,
        _paths,
        strategies.sampled_from(Overrides.__struct_fields__).map(lambda name: (name,)),
    ),
    strategies.builds(RemoveNode, _paths),
    strategies.builds(SetZone, _zones, strategies.just("region")),
    strategies.builds(RemoveZone, _zones),
    strategies.builds(PutSecret, _secrets, strategies.binary(min_size=1, max_size=4)),
    strategies.builds(PromoteSecret, _secrets, strategies.integers(1, 4)),
    strategies.builds(RemoveSecret, _secrets),
    strategies.builds(
        lambda name, rate, keys: SetTenant(name, rate, keys=keys),
        _tenants,
        strategies.integers(-1, 4),
        _keys,
    ),
    strategies.builds(
        ChangeTenantKeys,
        _tenants,
        _keys,
        _keys.map(lambda keys: tuple(map(key_fingerprint, keys))),
    ),
    strategies.builds(RemoveTenant, _tenants),
    _numbers.map(lambda rate: SetOverrides("/", Overrides(tenant_rate_per_second=rate))),
)

edits = strategies.one_of(
    visible_changes.map(lambda operation: (operation,)),
    strategies.lists(operations, min_size=1, max_size=4).map(tuple),
)

STARTING_OPERATIONS: tuple[Operation, ...] = (
    SetZone("north", "region"),
    SetZone("south", "region"),
    PutSecret("key", b"key"),
    PutSecret("seal", b"seal"),
    SetOverrides("/a", Overrides(calls=("b",))),
    SetOverrides("/b", Overrides(calls=("c",), sign_secret="key")),
    SetOverrides("/b/*/r", Overrides(path_prefix="/r", verify_secret="seal")),
    SetOverrides("/c/north/s", Overrides(path_prefix="/s", target="c")),
)
