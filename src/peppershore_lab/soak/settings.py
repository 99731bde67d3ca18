"""Settings files of a soak's hubs and nodes."""

from __future__ import annotations

from collections.abc import Sequence

from peppershore_lab.soak.tenants import (
    OVERSHOOT,
    SLACK,
    TENANT_FIELD,
    WINDOW_SECONDS,
)

ZONE = "pasila"
REPLICA_PORT, RELAY_PORT, OPERATOR_PORT = 8_400, 8_401, 8_402
CALLER_PORT, INTERNAL_PORT, READY_PORT, BACK_END_PORT = 8_000, 8_403, 8_001, 8_002
APPLICATION_PORT = 9_000
TOLERATED_LOSSES = 1

REQUEST_ID = "x-soak-request"
DEADLINE = "x-soak-deadline-milliseconds"
SIGNATURE = "x-soak-signature"
EXPECTED_INSTANCE = "x-soak-expected-instance"
NOT_RUN = "x-soak-not-run"
RATE_LIMIT = "x-soak-limit"
LEAVING = "x-soak-leaving"
REASON = "peppershore-reason"
STOP_GRACE_SECONDS = 6.0
LINK_MEGABITS = 4.0
"""Capacity at which a node accepts two large bodies at a time."""


QUOTAS = f"""
[quotas]
window_seconds = {WINDOW_SECONDS}
overshoot = {OVERSHOOT}
slack = {SLACK}
"""


def hub_settings(host: str, folder: str, seeds: Sequence[str], first_start: bool) -> str:
    """Return the settings file of a hub; ``seeds`` are hosts of hubs."""
    return f"""\
cluster = "soak"
host = "{host}"
zone = "{ZONE}"
replica_port = {REPLICA_PORT}
relay_port = {RELAY_PORT}
api_listen = "{host}:{OPERATOR_PORT}"
data_folder = "{folder}"
seeds = {_addresses(seeds)}
first_start = {str(first_start).lower()}
tolerated_losses = {TOLERATED_LOSSES}
heartbeat_milliseconds = 100
election_milliseconds = 500
log_to = "standard-output"
{QUOTAS}"""


def node_settings(node: str, host: str, service: str, seeds: Sequence[str]) -> str:
    """Return the settings file of a node whose back end sends heartbeats."""
    return f"""\
cluster = "soak"
node = "{node}"
service = "{service}"
zone = "{ZONE}"
listen = "{host}:{CALLER_PORT}"
internal_listen = "{host}:{INTERNAL_PORT}"
admin_listen = "{host}:{READY_PORT}"
back_end_listen = "{host}:{BACK_END_PORT}"
backend = "{host}:{APPLICATION_PORT}"
relays = []
seeds = {_addresses(seeds)}
relay_port = {RELAY_PORT}
stop_grace_seconds = {STOP_GRACE_SECONDS}
link_megabits = {LINK_MEGABITS}
rebalance_milliseconds = 3000
reconnect_milliseconds = 250
silence_milliseconds = 1600
apply_milliseconds = 2000
seek_free_slots = true
log_to = "standard-output"

[headers]
request_id = "{REQUEST_ID}"
deadline = "{DEADLINE}"
signature = "{SIGNATURE}"
expected_instance = "{EXPECTED_INSTANCE}"
not_run = "{NOT_RUN}"
rate_limit = "{RATE_LIMIT}"
leaving = "{LEAVING}"
tenant = "{TENANT_FIELD}"
answers_carry_id = true
fractional_retry_after = true
unframed_answers = true

[shared_retries]
ratio = 0.02
window_seconds = 10.0
slack = 6
{QUOTAS}"""


def _addresses(hosts: Sequence[str]) -> str:
    return "[" + ", ".join(f'"{host}:{REPLICA_PORT}"' for host in hosts) + "]"
