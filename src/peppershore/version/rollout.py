"""A roll-out of a new version of a service's software, as the tree holds it.

It stands in settings of the service's node that only the control group itself changes:
so it is replicated, confirmed and handed to nodes as every other setting is.  An edit of
operators neither sees nor touches it.  States go one way: running, then completed or
rolled back.
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
"""The share of all calls: shares are parts of this."""

ROLLOUT_FIELDS = (
    "rollout_version",
    "rollout_state",
    "rollout_share",
    "rollout_began_milliseconds",
    "rollout_milliseconds",
)

_ROLLOUT = frozenset(ROLLOUT_FIELDS)

RUNNING: RolloutState = "running"
COMPLETED: RolloutState = "completed"
ROLLED_BACK: RolloutState = "rolled_back"


class Rollout(Value, frozen=True):
    """The latest roll-out of a service; ``revision`` is when its settings changed last.

    ``began_milliseconds`` is Unix time, ``milliseconds`` what it may take.
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
        """The time within which it is to be done."""
        return self.milliseconds / 1_000


def rollout_of(tree: Tree, service: str) -> Rollout | None:
    """Give the latest roll-out of a service, or None if there was none."""
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
    """Give the edit that begins a roll-out."""
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
    """Give the edit that moves a part of the calls; each part once in a roll-out."""
    operation = SetOverrides(service_path(rollout.service), Overrides(rollout_share=share))
    return Edit(change_id=_change_id(rollout, str(share)), operations=(operation,))


def end_edit(rollout: Rollout, state: RolloutState, comment: str) -> Edit:
    """Give the edit that ends a roll-out.

    Both ends have one change id: whichever is taken first is the only one.
    """
    share = ALL_CALLS if state == COMPLETED else 0
    overrides = Overrides(rollout_state=state, rollout_share=share)
    operation = SetOverrides(service_path(rollout.service), overrides)
    return Edit(
        change_id=_change_id(rollout, "end"), operations=(operation,), comment=comment
    )


def without_rollout(overrides: Overrides) -> Overrides:
    """Give the overrides that are the operators'."""
    return msgspec.structs.replace(overrides, **dict.fromkeys(ROLLOUT_FIELDS, UNSET))


def with_rollout_of(overrides: Overrides, present: Overrides) -> Overrides:
    """Give overrides with the roll-out that is under way."""
    kept: dict[str, Any] = {name: getattr(present, name) for name in ROLLOUT_FIELDS}
    return msgspec.structs.replace(overrides, **kept)


def touches_rollout(operations: Iterable[Operation]) -> bool:
    """Whether operations would change what is the group's own."""
    return any(_touches(operation) for operation in operations)


def _touches(operation: Operation) -> bool:
    if isinstance(operation, SetOverrides):
        return without_rollout(operation.overrides) != operation.overrides
    return isinstance(operation, UnsetOverrides) and bool(
        _ROLLOUT.intersection(operation.names)
    )


def _change_id(rollout: Rollout, step: str) -> str:
    return f"rollout-{rollout.service}-{rollout.began_milliseconds}-{step}"
