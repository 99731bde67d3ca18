"""What each proxy should hold at each version, worked out from the accepted edits.

The control group's history gives the edits; they are applied again here, so
that a run is judged by the log alone and not by what any process says.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
from returns.result import Result

from peppershore.command.client import ControlGroup, ask
from peppershore.connection.messages.operators import HistoryAnswered, HistoryQuery
from peppershore.connection.messages.relay import CommittedEdit
from peppershore.process.control.core import HISTORY_CAPACITY
from peppershore.version.catalog import ScopeCatalog
from peppershore.version.closure import find_gaps
from peppershore.version.model import Digest, Scope, Version
from peppershore_lab.fleet.members import NodeMember
from peppershore_lab.simulator.accepted_log import AcceptedLog

HISTORY_SECONDS = 10.0
HISTORY_READER = "history"


class HistoryIncomplete(msgspec.Struct, frozen=True):
    """The history could not be read whole, so that nothing can be judged by it."""

    reason: str


class Reference:
    """The accepted versions and the digest of each scope at each of them."""

    def __init__(
        self, cluster: str, scopes: Iterable[Scope], edits: Iterable[CommittedEdit]
    ) -> None:
        """Apply the edits, oldest first, from the empty tree on."""
        self._scopes = tuple(scopes)
        self._log = AcceptedLog(cluster, self._scopes)
        self._catalog = ScopeCatalog()
        self._versions: dict[str, Version] = {}
        self.gaps: list[str] = []
        """Names used and not held, in any scope at any version."""
        for committed in edits:
            self._log.applied(HISTORY_READER, committed.version, committed.edit)
            self._versions[committed.edit.change_id] = committed.version
            self._find_gaps()

    @property
    def newest(self) -> Version:
        """The newest accepted version."""
        return self._log.newest

    @property
    def versions(self) -> tuple[Version, ...]:
        """All accepted versions, ascending."""
        return tuple(self._versions.values())

    def version_of(self, change_id: str) -> Version | None:
        """Give the version at which a change is in the log; None: it isn't."""
        return self._versions.get(change_id)

    def digest_at(self, scope: Scope, version: Version) -> Digest:
        """Give the digest of what a scope holds at a version."""
        return self._log.digest_at(scope, version)

    def changes(self, scope: Scope, version: Version) -> bool:
        """Whether a version changed what a scope holds."""
        return self.digest_at(scope, version - 1) != self.digest_at(scope, version)

    def _find_gaps(self) -> None:
        self._catalog.load(self._log.tree)
        for scope in self._scopes:
            if self.changes(scope, self._log.newest):
                held = self._catalog.snapshot(scope).resources.values()
                self.gaps += (
                    f"{scope.service} in {scope.zone} at {self._log.newest}: {gap}"
                    for gap in find_gaps(scope, held)
                )


def scope_of(proxy: NodeMember) -> Scope:
    """Give the scope of a proxy."""
    return Scope(proxy.service, proxy.zone)


def needed_by(
    reference: Reference, version: Version, proxies: Iterable[NodeMember]
) -> tuple[str, ...]:
    """Name the proxies whose content a version changed."""
    return tuple(
        proxy.name for proxy in proxies if reference.changes(scope_of(proxy), version)
    )


async def read_reference(
    cluster: str, replicas: tuple[str, ...], proxies: Iterable[NodeMember]
) -> Reference | HistoryIncomplete:
    """Read the accepted edits from the control group."""
    group = ControlGroup(replicas, HISTORY_SECONDS)
    question = HistoryQuery(after_version=0, limit=HISTORY_CAPACITY)
    answer = await ask(group, question, HistoryAnswered)
    return _reference(cluster, proxies, answer)


def _reference(
    cluster: str,
    proxies: Iterable[NodeMember],
    answer: Result[HistoryAnswered, object],
) -> Reference | HistoryIncomplete:
    history = answer.value_or(None)
    if history is None:
        return HistoryIncomplete(str(answer.failure()))
    if len(history.edits) >= HISTORY_CAPACITY:
        return HistoryIncomplete(f"the oldest edit kept is {history.first_version}")
    scopes = {scope_of(proxy) for proxy in proxies}
    return Reference(cluster, sorted(scopes), history.edits)
