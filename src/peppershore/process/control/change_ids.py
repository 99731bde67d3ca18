"""Change ids: how a resend is recognised, also when the table has forgotten it.

The sender puts the version it saw into the id: ``v1234-UNIQUE``.  An outcome
under that id can only stand in the log after version 1234.  Once outcomes up
to a horizon have been dropped, an id whose version is not beyond the horizon
may have been answered before and is refused; an id beyond it is either still
in the table or new.  An id without a version tells nothing; past the first
dropped outcome it is taken only with an expected revision that no second run
of the same edit could meet.
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
    """Make an id for an edit composed after seeing ``seen_version``."""
    return f"v{seen_version}-{unique}"


def version_in(change_id: str) -> Version | None:
    """The version that the sender saw, if the id tells it."""
    found = _WITH_VERSION.fullmatch(change_id)
    return int(found.group(1)) if found else None


def may_have_run_before(edit: Edit, horizon_version: Version) -> bool:
    """Whether an id that is not in the table may stand before its horizon.

    A whole configuration can't run twice: the numbers of releases only rise.
    """
    if horizon_version == 0 or edit.release:
        return False
    seen = version_in(edit.change_id)
    if seen is not None:
        return seen < horizon_version
    return not _a_second_run_would_conflict(edit)


def _a_second_run_would_conflict(edit: Edit) -> bool:
    """The first run gave a touched subject a revision that never comes again."""
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
