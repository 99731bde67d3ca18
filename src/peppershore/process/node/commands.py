"""Commands that only a node core issues to its shell."""

from __future__ import annotations

from peppershore.connection.messages.crashes import CrashRecord
from peppershore.connection.messages.endpoints import Endpoint
from peppershore.connection.messages.quotas import QuotaGranted
from peppershore.process.commands import Command, PersistRecords
from peppershore.process.node.back_end_reports import BackEndView
from peppershore.version.model import Snapshot
from peppershore.version.snapshot import ActiveConfiguration


class ConfigurationSwapped(Command, frozen=True):
    """Use this configuration for new calls."""

    active: ActiveConfiguration


class EndpointsSwapped(Command, frozen=True):
    """Replace all known endpoints of the services that the node may call."""

    endpoints: tuple[Endpoint, ...]


class QuarantineChanged(Command, frozen=True):
    """Apply these records of requests suspected of crashing back ends."""

    records: tuple[CrashRecord, ...]


class QuotaAnswered(Command, frozen=True):
    """Pass on the answer of the relay in use to a request for quota grants."""

    granted: QuotaGranted


class PersistSnapshot(PersistRecords, frozen=True):
    """Write a snapshot to disk and sync it; its version becomes the new floor."""

    snapshot: Snapshot


class DrainBackend(Command, frozen=True):
    """Stop accepting new work and finish calls in flight; ``BackendDrained`` follows."""


class BackEndViewed(Command, frozen=True):
    """Use this new state of the local back end."""

    view: BackEndView
