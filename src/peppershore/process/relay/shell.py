"""Run a relay as a process."""

from __future__ import annotations

from collections.abc import Callable

from peppershore.process.admin_http import AdminServer, Readiness
from peppershore.process.link_security import LinkSecurity
from peppershore.process.logging import LogIdentity
from peppershore.process.metrics import ProcessMetrics
from peppershore.process.quarantine.api import ROOT as QUARANTINE
from peppershore.process.quarantine.api import QuarantineApi
from peppershore.process.relay.core import RelayCore, RequestReleased
from peppershore.process.settings import RelaySettings
from peppershore.process.shell import Shell
from peppershore.process.signals import stop_on_signals


async def run_relay(
    settings: RelaySettings, on_ready: Callable[[int], None] | None = None
) -> None:
    """Run a relay until its planned stop; call ``on_ready`` with the bound port."""
    metrics = ProcessMetrics(LogIdentity("relay", settings.relay))
    security = LinkSecurity("relay", settings.tls)
    core = RelayCore(settings)
    shell = Shell(
        core, metrics.notice, security.client, security.server, security.authorize
    )
    _add_gauges(metrics, core, shell)
    security.start(metrics)
    services = {QUARANTINE: quarantine_api(core, shell).answer}
    admin = AdminServer(metrics, lambda: _readiness(core), services=services)
    if settings.admin_listen:
        await admin.start(settings.admin_listen)
    host, _, port = settings.listen.rpartition(":")
    bound_port = await shell.listen(host, int(port))
    stop_on_signals(shell)
    shell.start()
    if on_ready is not None:
        on_ready(bound_port)
    await shell.stopped.wait()
    await shell.close()
    await admin.close()
    security.close()


def quarantine_api(core: RelayCore, shell: Shell) -> QuarantineApi:
    """Return the API that lists a relay's quarantine and releases requests."""

    def release(key: bytes) -> None:
        shell.dispatch(RequestReleased(key))

    return QuarantineApi(core.quarantine.table, lambda: shell.now, release)


def _readiness(core: RelayCore) -> Readiness:
    if core.distributor.version == 0:
        return Readiness(False, "no configuration was had from a control replica yet")
    if not core.is_fresh:
        return Readiness(False, "no quorum has confirmed the version lately")
    return Readiness(True)


def _add_gauges(metrics: ProcessMetrics, core: RelayCore, shell: Shell) -> None:
    metrics.gauge("bytes_sent", "Bytes sent on links.", lambda: shell.bytes_sent)
    metrics.gauge(
        "bytes_received", "Bytes received on links.", lambda: shell.bytes_received
    )
    metrics.gauge(
        "refused_handshakes",
        "Connections refused because too many TLS handshakes were under way.",
        lambda: shell.refused_handshakes,
    )
    metrics.gauge(
        "control_bytes",
        "Payload bytes sent to nodes.",
        lambda: core.nodes.bytes_sent,
    )
    metrics.gauge("version", "Newest version held.", lambda: core.distributor.version)
    metrics.gauge(
        "in_force",
        "Version that every connected node holds.",
        core.distributor.in_force,
    )
    metrics.gauge("nodes", "Connected nodes.", lambda: len(core.distributor.sessions))
    metrics.gauge(
        "lagging_nodes",
        "Connected nodes that lack a change.",
        lambda: len(core.distributor.behind),
    )
    metrics.gauge(
        "endpoints", "Entries of the endpoint table.", lambda: len(core.exchange.table)
    )
    metrics.gauge(
        "packed_update_bytes",
        "Bytes of packed updates kept.",
        lambda: core.distributor.packed_updates.held_bytes,
    )
