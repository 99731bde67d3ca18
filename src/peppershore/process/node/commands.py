"""What a node core asks of its shell beyond what every core may ask."""

from __future__ import annotations

from peppershore.connection.messages.crashes import CrashRecord
from peppershore.connection.messages.endpoints import Endpoint
from peppershore.connection.messages.quotas import QuotaGranted
from peppershore.process.commands import Command, PersistRecords
from peppershore.process.node.back_end_reports import BackEndView
from peppershore.version.model import Snapshot
from peppershore.version.snapshot import ActiveConfiguration


class ConfigurationSwapped(Command, frozen=True):
    """Serve calls by this configuration from now on."""

    active: ActiveConfiguration


class EndpointsSwapped(Command, frozen=True):
    """These are all known endpoints of the services the node may call."""

    endpoints: tuple[Endpoint, ...]


class QuarantineChanged(Command, frozen=True):
    """Heed these records of requests that end back ends from now on."""

    records: tuple[CrashRecord, ...]


class QuotaAnswered(Command, frozen=True):
    """The relay in use answered an ask for grants."""

    granted: QuotaGranted


class PersistSnapshot(PersistRecords, frozen=True):
    """Write a snapshot, whose version is the new floor, to disk and sync it."""

    snapshot: Snapshot


class DrainBackend(Command, frozen=True):
    """Take no new work and finish what runs; answered by ``BackendDrained``."""


class BackEndViewed(Command, frozen=True):
    """The back end beside the node is like this from now on."""

    view: BackEndView
