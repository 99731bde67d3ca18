"""Settings of each process, as read from its TOML file and flags.

Values only; reading, checking and the examples live in ``settings_loader``.
Addresses are "IP:port"; port 0 in a listen address takes a free port.
"""

from __future__ import annotations

import msgspec

LOG_TARGETS = ("standard-error", "standard-output")
"""What ``log_to`` may be."""

LOG_LEVELS = ("debug", "info", "warning", "error")
"""What ``log_level`` may be."""


class SettingsValue(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all settings: unknown keys are refused."""


class PeerReplica(SettingsValue, frozen=True, kw_only=True):
    """A replica of a consensus group and where its links are accepted."""

    name: str
    address: str


class PeerRelay(SettingsValue, frozen=True, kw_only=True):
    """A relay, its zone, and where its links are accepted."""

    name: str
    zone: str
    address: str


class TlsFiles(SettingsValue, frozen=True, kw_only=True):
    """PEM files of mutual TLS between processes; read again when they change."""

    certificate: str
    key: str
    authority: str


class ClaimsGroup(SettingsValue, frozen=True, kw_only=True):
    """One claims group among several; its name decides which keys are its own."""

    name: str
    replicas: tuple[PeerReplica, ...]


class ControlSettings(SettingsValue, frozen=True, kw_only=True):
    """A control replica.

    ``replicas`` is the first membership, this replica included; once the log
    holds a membership, the log's counts.  ``join`` starts a replica that waits
    to be added.  With ``wanted_voters`` above 0 the group keeps its own membership:
    a replica's name is its address, ``seeds`` are addresses where others may be.
    """

    cluster: str
    replica: str
    listen: str
    data_folder: str
    replicas: tuple[PeerReplica, ...]
    join: bool = False
    admin_listen: str = ""
    heartbeat_milliseconds: int = 50
    election_milliseconds: int = 400
    snapshot_entries: int = 2_000
    change_id_horizon: int = 20_000
    seeds: tuple[str, ...] = ()
    wanted_voters: int = 0
    log_level: str = "info"
    log_to: str = "standard-error"
    tls: TlsFiles | None = None


class HubSettings(SettingsValue, frozen=True, kw_only=True):
    """A hub: a control replica and a relay in one process.

    ``host`` is this machine's IP number; ``replica_port`` and ``relay_port`` are the
    same on every hub.  ``seeds`` are "IP:port" of some hubs; only the IP numbers
    count.  ``first_start`` is true at the very first start of the cluster only: then
    the seeds, equal everywhere, found the group.  The group keeps its membership
    itself, so that it bears ``tolerated_losses`` at a time.  ``tls`` holds the files of
    its control replica, ``relay_tls`` those of its relay: both or none.
    """

    cluster: str
    host: str
    zone: str
    replica_port: int
    relay_port: int
    api_listen: str
    data_folder: str
    seeds: tuple[str, ...]
    first_start: bool = False
    tolerated_losses: int = 1
    admin_listen: str = ""
    heartbeat_milliseconds: int = 50
    election_milliseconds: int = 400
    freshness_milliseconds: int = 500
    stale_after_milliseconds: int = 2_000
    log_level: str = "info"
    log_to: str = "standard-error"
    tls: TlsFiles | None = None
    relay_tls: TlsFiles | None = None


class RelaySettings(SettingsValue, frozen=True, kw_only=True):
    """A relay.

    One that ``lists_relays`` tells its nodes which relays there are, so that nodes
    need know only a few; its own address is then ``listen``.
    """

    cluster: str
    relay: str
    zone: str
    listen: str
    replicas: tuple[PeerReplica, ...]
    relays: tuple[PeerRelay, ...] = ()
    admin_listen: str = ""
    batching_milliseconds: int = 0
    freshness_milliseconds: int = 2_000
    stale_after_milliseconds: int = 6_000
    hellos_per_second: int = 3_000
    hold_milliseconds: int = 3_000
    lists_relays: bool = False
    log_level: str = "info"
    log_to: str = "standard-error"
    tls: TlsFiles | None = None


class HeaderSettings(SettingsValue, frozen=True, kw_only=True):
    """Header fields under names of a deployment's own; see ``request.wire_names``."""

    request_id: str
    deadline: str
    outcome: str = "peppershore-outcome"
    reason: str = "peppershore-reason"
    signature: str = ""
    expected_instance: str = ""
    not_run: str = ""
    load: str = ""
    caller: str = ""
    answers_carry_id: bool = False
    fractional_retry_after: bool = False
    unframed_answers: bool = False


class SharedRetrySettings(SettingsValue, frozen=True, kw_only=True):
    """Repeats that all nodes together may make at a service's back ends.

    In any window at most ``ratio`` of the calls (0 to 1), plus ``slack``.
    """

    ratio: float
    window_seconds: float
    slack: int


class NodeSettings(SettingsValue, frozen=True, kw_only=True):
    """A node: the proxy beside one back end, or at the edge (no ``backend``).

    Without ``claims``, a call that may run only once and carries an idempotency
    key is refused; several groups go under ``claims_groups`` instead, and those
    that are being left under ``previous_claims_groups`` for a horizon.
    ``forward_unclaimed_keys`` sends it on, where the back end
    itself is trusted to run each key once.
    ``seeds`` are "IP:port" of hubs, of which the IP numbers count and ``relay_port`` is
    the port; they stand in for ``relays``.  With ``back_end_listen`` the back end tells
    of itself by heartbeats there, and is not probed.  With ``seek_free_slots`` a call
    asks the owners for a free slot one after the other before it waits for one.
    Of answered calls each ``log_answered_every``-th has a log line (0: none), of
    others every one.  A planned stop ends after ``stop_bound_milliseconds``, or, where
    ``stop_grace_seconds`` is set, so that the process is gone by then: its supervisor
    kills it at that time.  ``metrics_listen`` is one more address for admin pages.
    ``link_megabits`` a second are what the machine's link carries (0: wide enough): it
    bounds how many large bodies are taken in at a time.
    ``take_over`` shares ``listen`` with a running node that is about to stop, from
    when this one holds a configuration.
    """

    cluster: str
    node: str
    service: str
    zone: str
    listen: str
    relays: tuple[PeerRelay, ...]
    internal_listen: str = ""
    backend: str = ""
    slots: int = 20
    connections: int = 130
    data_folder: str = ""
    admin_listen: str = ""
    claims: tuple[PeerReplica, ...] = ()
    claims_groups: tuple[ClaimsGroup, ...] = ()
    previous_claims_groups: tuple[ClaimsGroup, ...] = ()
    forward_unclaimed_keys: bool = False
    take_over: bool = False
    stop_bound_milliseconds: int = 30_000
    stop_grace_seconds: float = 0.0
    link_megabits: float = 0.0
    rebalance_milliseconds: int = 60_000
    reconnect_milliseconds: int = 4_000
    silence_milliseconds: int = 4_000
    stale_milliseconds: int = 6_000
    seeds: tuple[str, ...] = ()
    relay_port: int = 0
    back_end_listen: str = ""
    back_end_silent_milliseconds: int = 8_000
    back_end_leaving_milliseconds: int = 1_000
    seek_free_slots: bool = False
    log_answered_every: int = 0
    metrics_listen: str = ""
    headers: HeaderSettings | None = None
    shared_retries: SharedRetrySettings | None = None
    log_level: str = "info"
    log_to: str = "standard-error"
    tls: TlsFiles | None = None


class ClaimsSettings(SettingsValue, frozen=True, kw_only=True):
    """A replica of a claims group: the record of calls that run at most once.

    The leader's horizon and bounds count for all replicas of a group.
    """

    cluster: str
    replica: str
    listen: str
    data_folder: str
    replicas: tuple[PeerReplica, ...]
    join: bool = False
    admin_listen: str = ""
    heartbeat_milliseconds: int = 50
    election_milliseconds: int = 400
    snapshot_entries: int = 20_000
    horizon_seconds: int = 86_400
    max_records: int = 500_000
    max_answer_megabytes: int = 64
    log_level: str = "info"
    log_to: str = "standard-error"
    tls: TlsFiles | None = None


class OperatorSettings(SettingsValue, frozen=True, kw_only=True):
    """What the command line needs: where the control replicas are."""

    replicas: tuple[str, ...]
    timeout_milliseconds: int = 10_000
    author: str = ""
    tls: TlsFiles | None = None
