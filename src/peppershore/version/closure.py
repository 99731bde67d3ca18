"""Closure check of a snapshot: every resource that its resources name is in it too."""

from __future__ import annotations

from collections.abc import Iterable

from peppershore.version.active import decode_contents
from peppershore.version.encoded import targets_of
from peppershore.version.model import (
    Resource,
    ResourceContent,
    RouteResource,
    Scope,
    ServiceResource,
)
from peppershore.version.resource_codec import (
    resource_name,
    secret_name,
    service_name,
)


def find_gaps(scope: Scope, resources: Iterable[Resource]) -> tuple[str, ...]:
    """Return one text for each use of a missing resource, sorted.

    A snapshot without resources has no gap: the tree does not have the scope's service.
    The scope's service may also be missing where nodes hold every service. The
    ``calls`` and the ``sign_secret`` of a service count only on the nodes that host it,
    because its callers neither need the services that it calls nor sign for it.
    """
    contents = decode_contents(resources)
    services = {each.service for each in contents if isinstance(each, ServiceResource)}
    gaps: set[str] = set()
    holds_all = any(
        isinstance(each, ServiceResource) and each.settings.holds_every_service
        for each in contents
    )
    if contents and scope.service not in services and not holds_all:
        gaps.add(f"the hosted service {scope.service} is not held")
    held = {resource_name(each) for each in contents}
    for content in contents:
        gaps.update(
            f"{_describe_user(content)} uses {_readable_name(name)}, which is not held"
            for name in used_names(scope, content)
            if name not in held
        )
    return tuple(sorted(gaps))


def used_names(scope: Scope, content: ResourceContent) -> tuple[str, ...]:
    """Return the names of the other resources that a holder of this one needs."""
    if isinstance(content, RouteResource):
        services = {content.service, *targets_of(content.settings)}
        secret = content.settings.verify_secret
    elif isinstance(content, ServiceResource) and content.service == scope.service:
        services = set(content.settings.calls)
        secret = content.settings.sign_secret
    else:
        return ()
    names = tuple(service_name(service) for service in services)
    return (*names, secret_name(secret)) if secret else names


def _describe_user(content: ResourceContent) -> str:
    if isinstance(content, RouteResource):
        return f"route {content.service}/{content.route}"
    return resource_name(content).replace(":", " ", 1)


def _readable_name(name: str) -> str:
    return name.replace(":", " ", 1)
