"""Runs a claims replica as a process."""

from __future__ import annotations

from collections.abc import Callable

from peppershore.process.claims.core import ClaimsCore
from peppershore.process.consensus.replica_process import ReplicaPlace, ReplicaProcess
from peppershore.process.settings import ClaimsSettings


async def run_claims(
    settings: ClaimsSettings, on_ready: Callable[[int], None] | None = None
) -> None:
    """Run a claims replica until its planned stop; tell ``on_ready`` the port bound.

    Raises SystemExit if the store is refused.
    """
    place = ReplicaPlace(
        role="claims",
        replica=settings.replica,
        cluster=settings.cluster,
        listen=settings.listen,
        admin_listen=settings.admin_listen,
        data_folder=settings.data_folder,
        tls=settings.tls,
    )
    process = ReplicaProcess(place, lambda stored: ClaimsCore(settings, stored))
    table = process.core.machine.table
    process.metrics.gauge("claims", "Claimed calls on record.", lambda: table.size)
    await process.serve(on_ready)
