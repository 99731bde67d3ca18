"""The closure of a snapshot: everything its resources name is held as well."""

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
    """Give one text for each name that is used and not held, sorted.

    A node that holds nothing at all has no gap: its service is not in the tree; nor
    need it be where everybody holds every service.  A service's ``calls`` and
    ``sign_secret`` count on its own nodes only: a caller neither follows the calls of
    what it calls nor signs for it.
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
            f"{_where(content)} uses {_shown(name)}, which is not held"
            for name in used_names(scope, content)
            if name not in held
        )
    return tuple(sorted(gaps))


def used_names(scope: Scope, content: ResourceContent) -> tuple[str, ...]:
    """Give the names of the resources that a holder needs beside this one."""
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


def _where(content: ResourceContent) -> str:
    if isinstance(content, RouteResource):
        return f"route {content.service}/{content.route}"
    return resource_name(content).replace(":", " ", 1)


def _shown(name: str) -> str:
    return name.replace(":", " ", 1)
