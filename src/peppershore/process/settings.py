"""Settings of each process, as read from its TOML file and flags.

Values only; reading, checking and the examples live in ``settings_loader``.
Addresses are "IP:port"; port 0 in a listen address takes a free port.
"""

from __future__ import annotations

import msgspec

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
    to be added.
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
    log_level: str = "info"
    tls: TlsFiles | None = None


class RelaySettings(SettingsValue, frozen=True, kw_only=True):
    """A relay."""

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
    log_level: str = "info"
    tls: TlsFiles | None = None


class NodeSettings(SettingsValue, frozen=True, kw_only=True):
    """A node: the proxy beside one back end, or at the edge (no ``backend``).

    Without ``claims``, a call that may run only once and carries an idempotency
    key is refused; several groups go under ``claims_groups`` instead, and those
    that are being left under ``previous_claims_groups`` for a horizon.
    ``forward_unclaimed_keys`` sends it on, where the back end
    itself is trusted to run each key once.
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
    log_level: str = "info"
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
    tls: TlsFiles | None = None


class OperatorSettings(SettingsValue, frozen=True, kw_only=True):
    """What the command line needs: where the control replicas are."""

    replicas: tuple[str, ...]
    timeout_milliseconds: int = 10_000
    author: str = ""
    tls: TlsFiles | None = None
