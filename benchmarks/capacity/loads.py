"""What one process of a role spends at a given size, from the slopes."""

from __future__ import annotations

import msgspec

from benchmarks.capacity import sizes
from benchmarks.capacity.measured import Measured
from peppershore.process.settings import ControlSettings, RelaySettings, SettingsValue

MICROSECOND = 1e-6


def default_of(settings: type[SettingsValue], name: str) -> float:
    """Give the default of a setting that is a number."""
    fields = {field.name: field.default for field in msgspec.structs.fields(settings)}
    return float(fields[name])


HEARTBEATS_PER_SECOND = 1_000 / default_of(ControlSettings, "heartbeat_milliseconds")
FRESHNESS_PER_SECOND = 1_000 / default_of(RelaySettings, "freshness_milliseconds")
CHANGE_IDS_KEPT = int(default_of(ControlSettings, "change_id_horizon"))


def nodes_per_change(measured: Measured) -> float:
    """Nodes that need a change, on average."""
    steady = measured.scale.phases[0]
    return steady.expected_updates / steady.changes


def relay_core_share(measured: Measured, nodes: float, changes_per_second: float) -> float:
    """Processor time of a relay with so many of all nodes, as a share of one core."""
    relay = measured.relay
    needing = nodes_per_change(measured) * nodes / sizes.NODES
    changes = changes_per_second * relay.change_microseconds.at(needing) * MICROSECOND
    restarts = sizes.PEAK_RESTARTS_PER_SECOND * nodes / sizes.NODES
    return relay.idle_core_share.at(nodes) + changes + restarts * restart_seconds(measured)


def restart_seconds(measured: Measured) -> float:
    """Relay's processor seconds for one node's new life; the costliest size measured."""
    return max(measured.relay.restart_milliseconds) / 1e3


def relay_memory(measured: Measured, nodes: float) -> float:
    """Memory of a relay with so many nodes."""
    return measured.relay.memory_bytes.at(nodes)


def node_core_share(measured: Measured, changes_per_second: float) -> float:
    """Control work of a node, as a share of one core."""
    node = measured.node
    needed = changes_per_second * nodes_per_change(measured) / sizes.NODES
    change = node.change_milliseconds.at(sizes.RESOURCES_PER_NODE) / 1e3
    churn = endpoint_news_per_second() * node_churn_seconds(measured)
    return node.idle_core_share.at(sizes.RESOURCES_PER_NODE) + needed * change + churn


def node_churn_seconds(measured: Measured) -> float:
    """Processor seconds of a node for one endpoint that leaves and comes back."""
    return measured.node.churn_microseconds_per_endpoint * MICROSECOND


def endpoint_news_per_second() -> float:
    """Restarts among the endpoints that a node may call, in the worst hour."""
    return sizes.PEAK_RESTARTS_PER_SECOND * sizes.ENDPOINTS_PER_NODE / sizes.NODES


def node_bytes_per_second(measured: Measured, changes_per_second: float) -> float:
    """Control bytes that a node receives and sends a second."""
    relay = measured.relay
    idle = max(relay.idle_received_bytes_per_node_second)
    idle += max(relay.idle_sent_bytes_per_node_second)
    needed = changes_per_second * nodes_per_change(measured) / sizes.NODES
    churn = endpoint_news_per_second() * max(measured.node.churn_bytes_per_endpoint)
    return idle + needed * max(measured.node.change_bytes) + churn


def node_memory(measured: Measured) -> float:
    """Memory of a whole node process."""
    return measured.node.memory_bytes.at(sizes.RESOURCES_PER_NODE)


def control_memory(measured: Measured) -> float:
    """Memory of a control replica: the process, and the state at its bounds.

    The state's slope is over edits remembered with history and outcome; what
    is kept of an edit beyond the history's bound (its outcome) is counted the same.
    """
    process = max(load.leader_resident_bytes for load in measured.control.loads)
    return process + measured.control.memory_bytes.slope * CHANGE_IDS_KEPT
