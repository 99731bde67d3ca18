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
    """Use this configuration for new calls of the data plane."""

    active: ActiveConfiguration


class EndpointsSwapped(Command, frozen=True):
    """Replace the data plane's endpoints of the services that the node may call."""

    endpoints: tuple[Endpoint, ...]


class QuarantineChanged(Command, frozen=True):
    """Apply records of requests suspected of crashing back ends to the data plane."""

    records: tuple[CrashRecord, ...]


class QuotaAnswered(Command, frozen=True):
    """Pass the relay's answer to a request for quota grants to the data plane."""

    granted: QuotaGranted


class PersistSnapshot(PersistRecords, frozen=True):
    """Write a snapshot to disk and sync it; its version becomes the new floor.

    The floor is the lowest version that the node may still accept.
    """

    snapshot: Snapshot


class DrainBackend(Command, frozen=True):
    """Stop accepting new work and finish calls in flight; ``BackendDrained`` follows."""


class BackEndViewed(Command, frozen=True):
    """Use the new state of the local back end in the data plane."""

    view: BackEndView
