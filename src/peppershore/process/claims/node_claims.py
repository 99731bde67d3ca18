"""The claims clients of a node, one for each claims group, and their metrics."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from peppershore.process.claims.layout import layout_of
from peppershore.process.link_security import LinkSecurity
from peppershore.process.metrics import ProcessMetrics
from peppershore.process.settings import NodeSettings

if TYPE_CHECKING:
    from peppershore.process.claims.client_core import ClaimClientCore
    from peppershore.process.claims.router import ClaimsRouter


def node_claims(
    settings: NodeSettings, metrics: ProcessMetrics, security: LinkSecurity
) -> ClaimsRouter | None:
    """Create the client for the claims groups in the settings; None if there are none."""
    layout = layout_of(settings)
    if layout is None:
        _add_gauges(metrics, [])
        return None
    # Most nodes have no claims group: they should not load unused modules at start.
    from peppershore.process.claims.client import ClaimClientShell  # noqa: PLC0415
    from peppershore.process.claims.router import ClaimsRouter  # noqa: PLC0415

    clients = {
        name: ClaimClientShell(
            tuple(replica.address for replica in group.replicas),
            metrics.notice,
            security.client,
            security.authorize,
        )
        for name, group in layout.groups.items()
    }
    _add_gauges(metrics, [client.client for client in clients.values()])
    return ClaimsRouter(layout, clients)


def _add_gauges(metrics: ProcessMetrics, cores: list[ClaimClientCore]) -> None:
    def total(read: Callable[[ClaimClientCore], int]) -> Callable[[], float]:
        return lambda: float(sum(read(core) for core in cores))

    gauge = metrics.gauge
    gauge("claims_granted", "Claims granted.", total(lambda core: core.counts.granted))
    gauge(
        "claims_taken",
        "Claims that an earlier send of the call holds.",
        total(lambda core: core.counts.taken),
    )
    gauge(
        "claims_unavailable",
        "Claims refused because no group answered in time.",
        total(lambda core: core.counts.unavailable),
    )
    gauge(
        "claims_full",
        "Claims refused because the group's table is full.",
        total(lambda core: core.counts.full),
    )
    gauge("claims_waiting", "Calls waiting for a claim.", total(_wants))
    gauge(
        "claims_notes",
        "Completions and releases not yet on disk.",
        total(lambda core: core.pending - core.table.wants),
    )
    gauge(
        "claims_notes_dropped",
        "Completions and releases given up: their keys stay unknown.",
        total(lambda core: core.table.notes_dropped),
    )
    gauge(
        "claims_answers_dropped",
        "Answers not kept because too many were waiting.",
        total(lambda core: core.table.answers_dropped),
    )
    gauge(
        "claims_groups_unavailable",
        "Claims groups that answer nothing now.",
        total(lambda core: int(core.unavailable)),
    )


def _wants(core: ClaimClientCore) -> int:
    return core.table.wants
