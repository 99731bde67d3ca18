"""Encoding and decoding of resources.

On the wire, settings are rows: arrays of values in the order of the fields. Field
names would make up three quarters of the bytes of a resource. New settings are
only ever appended, with a default, so that old rows stay decodable.
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
    """Route settings, encoded as an array."""


class _ServiceSettingsRow(ServiceSettings, frozen=True, array_like=True):
    """Service settings, encoded as an array."""


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
"""Content of a resource on the wire; ``TenantResource`` is a row already."""

_DECODER = msgspec.msgpack.Decoder(_Row)


def service_name(service: str) -> str:
    """Return the name of the resource of a service."""
    return f"{SERVICE_PREFIX}{service}"


def route_name(service: str, route: str) -> str:
    """Return the name of the resource of a route."""
    return f"{ROUTE_PREFIX}{service}/{route}"


def secret_name(secret: str) -> str:
    """Return the name of the resource of a secret."""
    return f"{SECRET_PREFIX}{secret}"


def tenant_name(tenant: str) -> str:
    """Return the name of the resource of a tenant."""
    return f"{TENANT_PREFIX}{tenant}"


def resource_name(content: ResourceContent) -> str:
    """Return the name of the resource that has this content."""
    if isinstance(content, RouteResource):
        return route_name(content.service, content.route)
    if isinstance(content, ServiceResource):
        return service_name(content.service)
    if isinstance(content, TenantResource):
        return tenant_name(content.name)
    return secret_name(content.name)


def encode_resource(content: ResourceContent) -> Resource:
    """Encode a route, service, secret or tenant as a resource."""
    return Resource(resource_name(content), _ENCODER.encode(_row(content)))


def resource_of(payload: bytes) -> Resource:
    """Return the resource of a payload, named after the payload's content.

    The name is empty if the payload can't be decoded; ``decode_resource`` then returns
    the reason.
    """
    try:
        row = _DECODER.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return Resource("", payload)
    return Resource(_row_name(row), payload)


def decode_resource(resource: Resource) -> Result[ResourceContent, Problem]:
    """Return the content of a resource, or why the payload does not fit its name.

    The content is cached on the resource. A snapshot shares unchanged resources with
    the one before it, so that a new version costs only the decoding of what changed.
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
