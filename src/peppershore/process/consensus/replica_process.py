"""Process of one replica of a group: store, shell, admin listener and shutdown."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Generic, TypeVar

import msgspec
from returns.result import Failure

from peppershore.process.admin_http import AdminServer, PageSource, Readiness
from peppershore.process.commands import Notice
from peppershore.process.consensus.records import StoredState
from peppershore.process.consensus.replica import ReplicaCore
from peppershore.process.consensus.replica_shell import ReplicaShell
from peppershore.process.link_security import LinkSecurity
from peppershore.process.logging import LogIdentity
from peppershore.process.metrics import ProcessMetrics
from peppershore.process.settings import ClaimsSettings, ControlSettings, TlsFiles
from peppershore.process.signals import stop_on_signals
from peppershore.process.storage.opening import OpenedStore, open_store

EXIT_STORE_REFUSED = 3

ReplicaKind = TypeVar("ReplicaKind", bound=ReplicaCore)


class StoreNotOpened(Notice, frozen=True):
    """The store is damaged, of a newer format, of another owner, or in use.

    Nothing was changed in it.
    """

    level = "error"
    path: str
    refusal: str
    detail: str


class ReplicaPlace(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a replica's process: role, name, cluster, addresses, folder, TLS."""

    role: str
    replica: str
    cluster: str
    listen: str
    admin_listen: str
    data_folder: str
    tls: TlsFiles | None

    @classmethod
    def of(cls, role: str, settings: ControlSettings | ClaimsSettings) -> ReplicaPlace:
        """Return the settings common to the roles of replicas ("control", "claims")."""
        return cls(
            role=role,
            replica=settings.replica,
            cluster=settings.cluster,
            listen=settings.listen,
            admin_listen=settings.admin_listen,
            data_folder=settings.data_folder,
            tls=settings.tls,
        )


class ReplicaProcess(Generic[ReplicaKind]):
    """Owns what the processes of control and claims replicas have in common.

    This is the store, the replica's core and shell, the TLS contexts and the metrics.
    """

    def __init__(
        self, place: ReplicaPlace, make_core: Callable[[StoredState], ReplicaKind]
    ) -> None:
        """Open the store and create the core by ``make_core`` from its stored state.

        Raises SystemExit if the store is unusable.
        """
        self.metrics = ProcessMetrics(LogIdentity(place.role, place.replica))
        self._place = place
        self._opened = self._open_store()
        self._security = LinkSecurity(place.role, place.tls)
        self.core = make_core(self._opened.stored)
        self.shell = ReplicaShell(
            self.core,
            self._opened.store,
            self.metrics.notice,
            client_tls=self._security.client,
            server_tls=self._security.server,
            authorize=self._security.authorize,
        )
        self._add_gauges()

    async def serve(
        self,
        on_ready: Callable[[int], None] | None,
        pages: Mapping[str, PageSource] | None = None,
    ) -> None:
        """Run until the planned stop; call ``on_ready`` with the port for links.

        ``pages`` are additional pages of the admin listener, by path.
        """
        self._security.start(self.metrics)
        stop_on_signals(self.shell)
        host, _, port = self._place.listen.rpartition(":")
        bound_port = await self.shell.listen(host, int(port))
        admin = AdminServer(self.metrics, self._readiness, pages)
        if self._place.admin_listen:
            await admin.start(self._place.admin_listen)
        self.shell.start()
        if on_ready is not None:
            on_ready(bound_port)
        await self.shell.stopped.wait()
        await admin.close()
        await self.shell.close()
        self._security.close()
        self._opened.store.close()

    def _open_store(self) -> OpenedStore:
        place = self._place
        opened = open_store(Path(place.data_folder), place.cluster, place.replica)
        if isinstance(opened, Failure):
            refused = opened.failure()
            notice = StoreNotOpened(refused.path, refused.refusal.value, refused.detail)
            self.metrics.notice(notice)
            raise SystemExit(EXIT_STORE_REFUSED)
        return opened.unwrap()

    def _readiness(self) -> Readiness:
        if self.core.consensus.disk_refused:
            return Readiness(False, "the disk refuses writes")
        if not self.core.consensus.leader:
            return Readiness(False, "no leader is known")
        return Readiness(True)

    def _add_gauges(self) -> None:
        gauge = self.metrics.gauge
        consensus = self.core.consensus
        gauge("term", "Term of the consensus group.", lambda: consensus.term)
        gauge("leads", "1 while this replica leads.", lambda: float(self.core.leads))
        gauge("commit_index", "Committed entries.", lambda: consensus.commit_index)
        gauge("synced_commits", "Synced commits to disk.", lambda: self.shell.commits)
        gauge("link_bytes_sent", "Bytes sent on links.", lambda: self.shell.bytes_sent)
