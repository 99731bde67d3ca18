"""The closure of a snapshot: everything its resources name is held as well."""

from __future__ import annotations

from collections.abc import Iterable

from peppershore.version.active import decode_contents
from peppershore.version.encoded import targets_of
from peppershore.version.model import (
    Resource,
    RouteResource,
    Scope,
    SecretResource,
    ServiceResource,
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
    secrets = {each.name for each in contents if isinstance(each, SecretResource)}
    gaps: set[str] = set()
    holds_all = any(
        isinstance(each, ServiceResource) and each.settings.holds_every_service
        for each in contents
    )
    if contents and scope.service not in services and not holds_all:
        gaps.add(f"the hosted service {scope.service} is not held")
    for content in contents:
        if isinstance(content, RouteResource):
            where = f"route {content.service}/{content.route}"
            targets = sorted(targets_of(content.settings))
            used_services: tuple[str, ...] = (content.service, *targets)
            used_secrets = (content.settings.verify_secret,)
        elif isinstance(content, ServiceResource) and content.service == scope.service:
            where = f"service {content.service}"
            used_services = content.settings.calls
            used_secrets = (content.settings.sign_secret,)
        else:
            continue
        gaps.update(
            f"{where} uses service {name}, which is not held"
            for name in used_services
            if name not in services
        )
        gaps.update(
            f"{where} uses secret {name}, which is not held"
            for name in used_secrets
            if name and name not in secrets
        )
    return tuple(sorted(gaps))
