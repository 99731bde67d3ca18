"""The roll-out of a new version of a service's software, as settings in the tree.

Only the control group changes these settings of the service's tree node, so that a roll-out
is replicated, confirmed and distributed to nodes like any other setting. Edits of
operators neither show nor change them. The state of a roll-out changes once: from
running to completed or rolled back.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec
from msgspec import UNSET

from peppershore.version.model import (
    Edit,
    Operation,
    Overrides,
    RolloutState,
    ServiceSettings,
    SetOverrides,
    Tree,
    UnsetOverrides,
    Value,
    Version,
)
from peppershore.version.path import service_path

ALL_CALLS = 10_000
"""The share that stands for all calls; other shares are fractions of it."""

ROLLOUT_FIELDS = (
    "rollout_version",
    "rollout_state",
    "rollout_share",
    "rollout_began_milliseconds",
    "rollout_milliseconds",
)

_ROLLOUT_FIELD_SET = frozenset(ROLLOUT_FIELDS)

RUNNING: RolloutState = "running"
COMPLETED: RolloutState = "completed"
ROLLED_BACK: RolloutState = "rolled_back"


class Rollout(Value, frozen=True):
    """The latest roll-out of a service.

    ``revision`` is the version of the last change of the service's tree node. ``share`` is
    the part of the calls that goes to the new version, of ``ALL_CALLS``.
    ``began_milliseconds`` is Unix time, ``milliseconds`` the time that the roll-out may
    take.
    """

    service: str
    version: str
    state: RolloutState
    share: int
    began_milliseconds: int
    milliseconds: int
    revision: Version = 0

    @property
    def seconds(self) -> float:
        """Time that the roll-out may take, in seconds."""
        return self.milliseconds / 1_000


def rollout_of(tree: Tree, service: str) -> Rollout | None:
    """Return the latest roll-out of a service; None if there was none."""
    node = tree.nodes.get(service_path(service))
    if node is None:
        return None
    given = {name: getattr(node.overrides, name) for name in ROLLOUT_FIELDS}
    if given["rollout_state"] in (UNSET, ""):
        return None
    settings = ServiceSettings(
        **{name: value for name, value in given.items() if value is not UNSET}
    )
    return Rollout(
        service=service,
        version=settings.rollout_version,
        state=settings.rollout_state,
        share=settings.rollout_share,
        began_milliseconds=settings.rollout_began_milliseconds,
        milliseconds=settings.rollout_milliseconds,
        revision=node.revision,
    )


def start_edit(rollout: Rollout, change_id: str) -> Edit:
    """Return the edit that starts a roll-out."""
    overrides = Overrides(
        rollout_version=rollout.version,
        rollout_state=rollout.state,
        rollout_share=rollout.share,
        rollout_began_milliseconds=rollout.began_milliseconds,
        rollout_milliseconds=rollout.milliseconds,
    )
    operation = SetOverrides(service_path(rollout.service), overrides)
    return Edit(change_id=change_id, operations=(operation,))


def share_edit(rollout: Rollout, share: int) -> Edit:
    """Return the edit that sets the share of calls that goes to the new version.

    Its change id contains the share, so each share is set at most once per roll-out.
    """
    operation = SetOverrides(service_path(rollout.service), Overrides(rollout_share=share))
    return Edit(change_id=_change_id(rollout, str(share)), operations=(operation,))


def end_edit(rollout: Rollout, state: RolloutState, comment: str) -> Edit:
    """Return the edit that completes or rolls back a roll-out.

    Both have the same change id, so that only the first one to be accepted takes effect.
    """
    share = ALL_CALLS if state == COMPLETED else 0
    overrides = Overrides(rollout_state=state, rollout_share=share)
    operation = SetOverrides(service_path(rollout.service), overrides)
    return Edit(
        change_id=_change_id(rollout, "end"), operations=(operation,), comment=comment
    )


def without_rollout(overrides: Overrides) -> Overrides:
    """Return the overrides without the settings of roll-outs."""
    return msgspec.structs.replace(overrides, **dict.fromkeys(ROLLOUT_FIELDS, UNSET))


def with_rollout_of(overrides: Overrides, present: Overrides) -> Overrides:
    """Return ``overrides`` with the settings of roll-outs of ``present``."""
    kept: dict[str, Any] = {name: getattr(present, name) for name in ROLLOUT_FIELDS}
    return msgspec.structs.replace(overrides, **kept)


def touches_rollout(operations: Iterable[Operation]) -> bool:
    """Report whether any operation would change settings of roll-outs."""
    return any(_touches(operation) for operation in operations)


def _touches(operation: Operation) -> bool:
    if isinstance(operation, SetOverrides):
        return without_rollout(operation.overrides) != operation.overrides
    return isinstance(operation, UnsetOverrides) and bool(
        _ROLLOUT_FIELD_SET.intersection(operation.names)
    )


def _change_id(rollout: Rollout, step: str) -> str:
    return f"rollout-{rollout.service}-{rollout.began_milliseconds}-{step}"
