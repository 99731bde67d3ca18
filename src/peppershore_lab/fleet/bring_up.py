"""Brings a whole fleet up: control, tree, relays, back ends, nodes, first version."""

from __future__ import annotations

import asyncio
import time

import msgspec
from returns.result import Failure

from peppershore.version.model import EditAccepted, Version
from peppershore_lab.fleet.fleet import Fleet, FleetFailed
from peppershore_lab.fleet.tree_edit import creating_edit
from peppershore_lab.operator_client import Operator

IN_FORCE_SECONDS = 20.0


class FleetUp(msgspec.Struct, frozen=True):
    """A fleet that serves calls: its first version and how long that took."""

    version: Version
    seconds: float


async def bring_up(fleet: Fleet, operator: Operator) -> FleetUp:
    """Start everything and wait until the deployment's tree is in force everywhere."""
    started = time.monotonic()
    up = await start_serving(fleet, operator)
    await wait_in_force(fleet, operator, up.version)
    return FleetUp(up.version, time.monotonic() - started)


async def start_serving(fleet: Fleet, operator: Operator) -> FleetUp:
    """Start everything and wait until every node serves calls.

    Relays that have just started report nothing in force until all nodes had
    time to come back to them; calls needn't wait for that.
    """
    started = time.monotonic()
    await fleet.start_emulator()
    await asyncio.gather(fleet.start_control(), fleet.start_backends())
    version = await _create_tree(fleet, operator)
    await fleet.start_relays()
    await fleet.start_nodes()
    return FleetUp(version, time.monotonic() - started)


async def wait_in_force(fleet: Fleet, operator: Operator, version: Version) -> None:
    """Wait until a version is reported in force everywhere; else raise FleetFailed."""
    relays = len(fleet.layout.relays)
    status = await operator.wait_in_force(version, relays, IN_FORCE_SECONDS)
    if status is None:
        raise FleetFailed(f"version {version} was not in force everywhere in time")


async def _create_tree(fleet: Fleet, operator: Operator) -> Version:
    submitted = await operator.submit(creating_edit(fleet.layout.deployment))
    if isinstance(submitted, Failure):
        raise FleetFailed(f"the tree was not accepted: {submitted.failure().reason}")
    outcome = submitted.unwrap()
    if not isinstance(outcome, EditAccepted):
        raise FleetFailed(f"the tree was not accepted: {outcome}")
    return outcome.version
