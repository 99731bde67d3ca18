"""Resources to bytes and back.

On the wire settings are rows (arrays in the order of the fields) without field
names: a name on every value would be three quarters of a resource's bytes.
Fields are only ever appended to the settings, with a default.
"""

from __future__ import annotations

import msgspec
from returns.result import Failure, Result, Success

from peppershore.version.model import (
    Problem,
    Resource,
    ResourceContent,
    RouteResource,
    RouteSettings,
    SecretGeneration,
    SecretResource,
    ServiceResource,
    ServiceSettings,
    TenantResource,
    Value,
)

SERVICE_PREFIX = "service:"
ROUTE_PREFIX = "route:"
SECRET_PREFIX = "secret:"
TENANT_PREFIX = "tenant:"
_CONTENT_ATTRIBUTE = "decoded_content"


class _RouteSettingsRow(RouteSettings, frozen=True, array_like=True):
    """Route settings as an array."""


class _ServiceSettingsRow(ServiceSettings, frozen=True, array_like=True):
    """Service settings as an array."""


class _RouteRow(Value, frozen=True, array_like=True, tag=1):
    """A route on the wire."""

    service: str
    route: str
    settings: _RouteSettingsRow


class _ServiceRow(Value, frozen=True, array_like=True, tag=2):
    """A service on the wire."""

    service: str
    settings: _ServiceSettingsRow


class _SecretRow(Value, frozen=True, array_like=True, tag=3):
    """A secret on the wire."""

    name: str
    generations: tuple[SecretGeneration, ...]
    signing_generation: int


_ENCODER = msgspec.msgpack.Encoder()
_Row = _RouteRow | _ServiceRow | _SecretRow | TenantResource
"""What stands on the wire; a tenant is a row as it is."""

_DECODER = msgspec.msgpack.Decoder(_Row)


def service_name(service: str) -> str:
    """Give the name of a service's resource."""
    return f"{SERVICE_PREFIX}{service}"


def route_name(service: str, route: str) -> str:
    """Give the name of a route's resource."""
    return f"{ROUTE_PREFIX}{service}/{route}"


def secret_name(secret: str) -> str:
    """Give the name of a secret's resource."""
    return f"{SECRET_PREFIX}{secret}"


def tenant_name(tenant: str) -> str:
    """Give the name of a tenant's resource."""
    return f"{TENANT_PREFIX}{tenant}"


def resource_name(content: ResourceContent) -> str:
    """Give the name that a resource of this content must have."""
    if isinstance(content, RouteResource):
        return route_name(content.service, content.route)
    if isinstance(content, ServiceResource):
        return service_name(content.service)
    if isinstance(content, TenantResource):
        return tenant_name(content.name)
    return secret_name(content.name)


def encode_resource(content: ResourceContent) -> Resource:
    """Give the named bytes of a route, service, secret or tenant."""
    return Resource(resource_name(content), _ENCODER.encode(_row(content)))


def resource_of(payload: bytes) -> Resource:
    """Give the resource that a payload says it is.

    The name is empty if the payload says nothing; ``decode_resource`` gives the
    reason.
    """
    try:
        row = _DECODER.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return Resource("", payload)
    return Resource(_row_name(row), payload)


def decode_resource(resource: Resource) -> Result[ResourceContent, Problem]:
    """Give the content of a resource, or why its bytes are not what its name says.

    A resource is decoded once: a snapshot shares what did not change with the one before
    it, so that a version costs by what changed.
    """
    known: ResourceContent | None = resource.__dict__.get(_CONTENT_ATTRIBUTE)
    if known is not None:
        return Success(known)
    try:
        row = _DECODER.decode(resource.payload)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        return Failure(Problem(resource.name, f"undecodable: {problem}"))
    content = _content(row)
    if resource_name(content) != resource.name:
        reason = f"the payload is that of {resource_name(content)}"
        return Failure(Problem(resource.name, reason))
    resource.__dict__[_CONTENT_ATTRIBUTE] = content
    return Success(content)


def _row(content: ResourceContent) -> _Row:
    if isinstance(content, RouteResource):
        route_row = _RouteSettingsRow(*msgspec.structs.astuple(content.settings))
        return _RouteRow(content.service, content.route, route_row)
    if isinstance(content, ServiceResource):
        service_row = _ServiceSettingsRow(*msgspec.structs.astuple(content.settings))
        return _ServiceRow(content.service, service_row)
    if isinstance(content, TenantResource):
        return content
    return _SecretRow(content.name, content.generations, content.signing_generation)


def _row_name(row: _Row) -> str:
    if isinstance(row, _RouteRow):
        return route_name(row.service, row.route)
    if isinstance(row, _ServiceRow):
        return service_name(row.service)
    if isinstance(row, TenantResource):
        return tenant_name(row.name)
    return secret_name(row.name)


def _content(row: _Row) -> ResourceContent:
    if isinstance(row, _RouteRow):
        route_settings = RouteSettings(*msgspec.structs.astuple(row.settings))
        return RouteResource(row.service, row.route, route_settings)
    if isinstance(row, _ServiceRow):
        service_settings = ServiceSettings(*msgspec.structs.astuple(row.settings))
        return ServiceResource(row.service, service_settings)
    if isinstance(row, TenantResource):
        return row
    return SecretResource(row.name, row.generations, row.signing_generation)
