"""What an experiment is, as its TOML file says it: fleet, load, edits, faults, limits.

All times are seconds after the fleet is up and the load begins.
"""

from __future__ import annotations

from typing import Literal

import msgspec

from peppershore_lab.calls.plan import RatePoint
from peppershore_lab.fleet.deployment import EmulatedLinks
from peppershore_lab.standin.behaviour import BehaviourChange

Action = Literal[
    "kill",
    "freeze",
    "stop",
    "replace",
    "damage-file",
    "cut",
    "delay",
    "duplicate",
    "reset",
    "slow-disk",
    "full-disk",
    "clock-jump",
    "behaviour",
]
Baseline = Literal["full-push", "polling", "plain-proxy"]
CutDirection = Literal["both", "to-target", "to-source"]

PROCESS_ACTIONS = ("kill", "freeze", "stop", "replace", "damage-file")
LINK_ACTIONS = ("cut", "delay", "duplicate", "reset")
INJECTED_ACTIONS = ("slow-disk", "full-disk", "clock-jump")


class DefinitionValue(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base of the values of an experiment: unknown keys are refused."""


class FleetChange(DefinitionValue, frozen=True, kw_only=True):
    """What differs from the named deployment; ``behaviour`` goes to all back ends.

    ``injected`` names processes (shell patterns) that run with the fault shim,
    which slow disks, full disks and clock jumps need.
    """

    replicas: int | None = None
    relays_per_zone: int | None = None
    claims_replicas: int | None = None
    batching_milliseconds: int | None = None
    emulated_links: EmulatedLinks | None = None
    behaviour: BehaviourChange = BehaviourChange()
    injected: tuple[str, ...] = ()


class KindChange(DefinitionValue, frozen=True, kw_only=True):
    """What differs for one kind of call ("SERVICE/ROUTE")."""

    share: float = 1.0
    deadline_milliseconds: int = 5_000
    resends: int = 3
    resend_after_milliseconds: float = 100.0
    abandon_share: float = 0.0
    body_bytes: int = 0


class CallLoad(DefinitionValue, frozen=True, kw_only=True):
    """Open-loop callers: one at each edge node, each at ``rate``.

    ``kinds`` names the kinds called; empty: all, in equal shares.  With
    ``all_edges`` a caller uses every edge in turn, so that a resend goes through
    another node; else only its own.
    """

    rate: tuple[RatePoint, ...]
    kinds: dict[str, KindChange] = {}
    connections: int = 32
    all_edges: bool = False
    give_up_seconds: float = 15.0


class EditLoad(DefinitionValue, frozen=True, kw_only=True):
    """Edits of routes at a steady rate; each changes one route's timeout.

    ``race_share`` of them are sent by two operators at once with one expected
    revision; ``resend_share`` are sent again with the same change id after
    their answer.  ``paths`` (shell patterns) narrows the routes edited.
    """

    from_seconds: float = 0.0
    until_seconds: float
    per_second: float
    race_share: float = 0.0
    resend_share: float = 0.0
    paths: tuple[str, ...] = ("*",)


class FaultStep(DefinitionValue, frozen=True, kw_only=True):
    """One step of the timeline.

    ``processes`` or ``links`` (shell patterns) say what it hits; ``pick`` of them
    are drawn by the seed, 0: all.  After ``seconds`` it is undone: a killed or
    stopped process starts again, a frozen one goes on, a link or disk is as
    before.  0: it stays until the end of the run, when everything is healed.
    ``spread_seconds`` draws each target's begin out of that span.

    ``replace`` gives a control replica a blank disk and brings it back as a new
    member.  ``damage-file`` kills, overwrites the middle of ``file`` in the
    process's data folder, and starts again after ``seconds``; with
    ``wipe_damaged`` the folder is emptied first if the process refuses the file.
    """

    at_seconds: float
    action: Action
    processes: tuple[str, ...] = ()
    links: tuple[str, ...] = ()
    pick: int = 0
    seconds: float = 0.0
    spread_seconds: float = 0.0
    direction: CutDirection = "both"
    delay_milliseconds: float = 0.0
    jitter_milliseconds: float = 0.0
    duplicate_share: float = 0.0
    offset_seconds: float = 0.0
    file: str = ""
    wipe_damaged: bool = False
    change: BehaviourChange = BehaviourChange()


class Limits(DefinitionValue, frozen=True, kw_only=True):
    """What this run must keep besides the promises; 0: not judged.

    ``convergence_milliseconds`` bounds the time from acceptance (or from when a
    proxy could be reached again) to in force.  ``answered_share`` is that of all
    calls.  ``goodput_share`` compares the answers a second in the window
    ``goodput_seconds`` with those in ``peak_seconds``, in which the load is at
    capacity.  ``recovered_share`` is the share answered at last of
    the calls begun in the last ``recovered_seconds``.
    """

    convergence_milliseconds: float = 5_000.0
    answered_share: float = 0.0
    goodput_share: float = 0.0
    goodput_seconds: tuple[float, float] = (0.0, 0.0)
    peak_seconds: tuple[float, float] = (0.0, 0.0)
    recovered_share: float = 0.0
    recovered_seconds: float = 3.0
    bytes_below_full_push: float = 0.0


class Experiment(DefinitionValue, frozen=True, kw_only=True):
    """One experiment."""

    name: str
    title: str
    shows: str
    deployment: str
    duration_seconds: float
    seed: int = 1
    settle_seconds: float = 10.0
    fleet: FleetChange = FleetChange()
    calls: tuple[CallLoad, ...] = ()
    edits: tuple[EditLoad, ...] = ()
    faults: tuple[FaultStep, ...] = ()
    limits: Limits = Limits()
    baselines: tuple[Baseline, ...] = ()
