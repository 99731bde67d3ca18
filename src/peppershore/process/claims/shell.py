"""Entry point of the process of a claims replica."""

from __future__ import annotations

from collections.abc import Callable

from peppershore.process.claims.core import ClaimsCore
from peppershore.process.consensus.replica_process import ReplicaPlace, ReplicaProcess
from peppershore.process.settings import ClaimsSettings


async def run_claims(
    settings: ClaimsSettings, on_ready: Callable[[int], None] | None = None
) -> None:
    """Run a claims replica until its planned stop; call ``on_ready`` with the bound port.

    Raise ``SystemExit`` if the store can't be opened.
    """
    place = ReplicaPlace.of("claims", settings)
    process = ReplicaProcess(place, lambda stored: ClaimsCore(settings, stored))
    table = process.core.machine.table
    core = process.core
    gauge = process.metrics.gauge
    gauge("claims", "Claimed calls on record.", lambda: table.size)
    gauge("claims_limit", "Records that the table takes.", lambda: table.bounds.max_records)
    gauge("claims_answer_bytes", "Bytes of all kept answers.", lambda: table.answer_bytes)
    gauge(
        "claims_refused_full",
        "Claims refused because the table was full.",
        lambda: table.refused_full,
    )
    gauge("claims_asks", "Asks that wait for a quorum.", lambda: core.waiting)
    gauge(
        "claims_refused_busy",
        "Asks refused because too many waited.",
        lambda: core.refused_busy,
    )
    gauge(
        "snapshots_made",
        "Snapshots made since the start.",
        lambda: core.snapshots_made,
    )
    await process.serve(on_ready)
