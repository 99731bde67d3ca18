"""Change ids: recognise a resent edit even after its outcome has been dropped.

The sender puts the newest version it had seen into the id: ``v1234-UNIQUE``. An outcome
under that id can only be in the log after version 1234. The table of outcomes by change id
is bounded: outcomes up to a certain version, the horizon, have been dropped from it. An id
with a version below the horizon may have been answered before, so it is refused; an id with
the version of the horizon or a later one is either still in the table or new. An id without
a version gives no such information. Once the first
outcome has been dropped, such an edit is accepted only with an expected revision that would
make a second run of the same edit fail.
"""

from __future__ import annotations

import re

from peppershore.version.model import (
    ChangeTenantKeys,
    Edit,
    Operation,
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
    Version,
)

MAX_CHANGE_ID_CHARACTERS = 200
_WITH_VERSION = re.compile(r"v(\d{1,18})-.+", re.ASCII)


def new_change_id(seen_version: Version, unique: str) -> str:
    """Return an id for an edit composed after seeing ``seen_version``."""
    return f"v{seen_version}-{unique}"


def version_in(change_id: str) -> Version | None:
    """Return the version that the sender had seen, or None if the id has none."""
    found = _WITH_VERSION.fullmatch(change_id)
    return int(found.group(1)) if found else None


def may_have_run_before(edit: Edit, horizon_version: Version) -> bool:
    """Report whether an edit may have been applied before and its outcome dropped.

    ``edit`` has an id that is not in the table of outcomes; outcomes up to
    ``horizon_version`` were dropped from it. An edit of a complete configuration can't
    run twice, because the numbers of releases only rise.
    """
    if horizon_version == 0 or edit.release:
        return False
    seen = version_in(edit.change_id)
    if seen is not None:
        return seen < horizon_version
    return not _rerun_would_conflict(edit)


def _rerun_would_conflict(edit: Edit) -> bool:
    """Report whether the expected revisions of an edit make a second run fail.

    The first run gave a new revision to everything in the tree that the edit changed, so a
    revision that was expected then never comes back.
    """
    touched = {_subject_of(operation) for operation in edit.operations}
    return any(each.revision > 0 and each.subject in touched for each in edit.expected)


def _subject_of(operation: Operation) -> str:
    match operation:
        case SetOverrides(path=path) | UnsetOverrides(path=path) | RemoveNode(path=path):
            return path
        case SetZone(name=name) | RemoveZone(name=name):
            return f"zone:{name}"
        case PutSecret(name=name) | PromoteSecret(name=name) | RemoveSecret(name=name):
            return f"secret:{name}"
        case SetTenant(name=name) | ChangeTenantKeys(name=name) | RemoveTenant(name=name):
            return f"tenant:{name}"
