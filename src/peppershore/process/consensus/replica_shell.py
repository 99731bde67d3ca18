"""The shell of a replica: merges the core's writes into group commits."""

from __future__ import annotations

import asyncio
import ssl

from returns.result import Failure

from peppershore.connection.authorization import Authorize, allow_all
from peppershore.process.consensus.records import PersistLog
from peppershore.process.consensus.replica import ReplicaCore
from peppershore.process.events import RecordsFailed, RecordsPersisted
from peppershore.process.shell import NoticeSink, Shell
from peppershore.process.storage.log_store import LogStore


class ReplicaShell(Shell):
    """Writes all records of one turn of the event loop in one synced commit.

    While a commit is being synced, messages queue up in the sockets; the writes that
    they cause share the next commit.
    """

    def __init__(
        self,
        core: ReplicaCore,
        store: LogStore,
        notice_sink: NoticeSink,
        *,
        client_tls: ssl.SSLContext | None = None,
        server_tls: ssl.SSLContext | None = None,
        authorize: Authorize = allow_all,
    ) -> None:
        """Bind a core and its open store to the running event loop."""
        super().__init__(core, notice_sink, client_tls, server_tls, authorize)
        self.commits = 0
        self._store = store
        self._pending: list[PersistLog] = []
        self._rejecting_writes = False
        self.handle(PersistLog, self._persist)

    def _persist(self, command: PersistLog) -> None:
        if not self._pending:
            asyncio.get_running_loop().call_soon(self._write_pending)
        self._pending.append(command)

    def _write_pending(self) -> None:
        pending = self._pending
        self._pending = []
        if pending[-1].retry:
            pending = pending[-1:]
            self._rejecting_writes = False
        if self._rejecting_writes:
            self._fail(pending, "an earlier write was refused")
            return
        records = [record for command in pending for record in command.records]
        written = self._store.write(records)
        self.commits += 1
        if isinstance(written, Failure):
            self._rejecting_writes = True
            self._fail(pending, written.failure().reason)
            return
        self.dispatch(RecordsPersisted(pending[-1].token))

    def _fail(self, pending: list[PersistLog], reason: str) -> None:
        for command in pending:
            self.dispatch(RecordsFailed(command.token, reason))
