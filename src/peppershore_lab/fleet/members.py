"""The members of a fleet: where each process listens and its settings file."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import tomli_w

from peppershore.process.settings import (
    ClaimsSettings,
    ControlSettings,
    NodeSettings,
    PeerRelay,
    PeerReplica,
    RelaySettings,
    SettingsValue,
)
from peppershore_lab.fleet.addresses import (
    ADMIN_PORT,
    HTTP_PORT,
    INTERNAL_PORT,
    LINK_PORT,
)
from peppershore_lab.standin.behaviour import Behaviour


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """One process of a fleet."""

    name: str
    host: str
    zone: str

    @property
    def link_address(self) -> str:
        """Where links of the system's own processes are accepted."""
        return f"{self.host}:{LINK_PORT}"

    @property
    def internal_address(self) -> str:
        """Where a node takes calls from other nodes."""
        return f"{self.host}:{INTERNAL_PORT}"

    @property
    def admin_address(self) -> str:
        """Where metrics and readiness are served."""
        return f"{self.host}:{ADMIN_PORT}"

    @property
    def http_address(self) -> str:
        """Where calls are taken."""
        return f"{self.host}:{HTTP_PORT}"


class BackendMember(Member, frozen=True, kw_only=True):
    """A stand-in back end."""

    service: str
    behaviour: Behaviour


class NodeMember(Member, frozen=True, kw_only=True):
    """A node; ``backend`` is the address of its back end, empty at the edge."""

    service: str
    backend: str = ""


def settings_text(settings: SettingsValue) -> str:
    """Give the TOML text of a process's settings file."""
    table: dict[str, Any] = msgspec.to_builtins(settings)
    return tomli_w.dumps(_without_none(table))


def _without_none(table: dict[str, Any]) -> dict[str, Any]:
    return {name: value for name, value in table.items() if value is not None}


def control_settings(
    cluster: str, member: Member, replicas: tuple[PeerReplica, ...], folder: Path
) -> ControlSettings:
    """Give the settings of one control replica."""
    return ControlSettings(
        cluster=cluster,
        replica=member.name,
        listen=member.link_address,
        data_folder=str(folder),
        replicas=replicas,
        admin_listen=member.admin_address,
    )


def claims_settings(
    cluster: str, member: Member, replicas: tuple[PeerReplica, ...], folder: Path
) -> ClaimsSettings:
    """Give the settings of one replica of the claims group."""
    return ClaimsSettings(
        cluster=cluster,
        replica=member.name,
        listen=member.link_address,
        data_folder=str(folder),
        replicas=replicas,
        admin_listen=member.admin_address,
    )


def relay_settings(
    cluster: str,
    member: Member,
    replicas: tuple[PeerReplica, ...],
    relays: tuple[PeerRelay, ...],
    batching_milliseconds: int,
) -> RelaySettings:
    """Give the settings of one relay."""
    return RelaySettings(
        cluster=cluster,
        relay=member.name,
        zone=member.zone,
        listen=member.link_address,
        replicas=replicas,
        relays=relays,
        admin_listen=member.admin_address,
        batching_milliseconds=batching_milliseconds,
    )


def node_settings(
    cluster: str,
    member: NodeMember,
    *,
    relays: tuple[PeerRelay, ...],
    claims: tuple[PeerReplica, ...],
    folder: Path,
    behaviour: Behaviour,
) -> NodeSettings:
    """Give the settings of one node."""
    return NodeSettings(
        cluster=cluster,
        node=member.name,
        service=member.service,
        zone=member.zone,
        listen=member.http_address,
        relays=relays,
        internal_listen=member.internal_address,
        backend=member.backend,
        slots=behaviour.slots,
        connections=behaviour.connections,
        data_folder=str(folder),
        admin_listen=member.admin_address,
        claims=claims,
    )
