"""The barrier of a secret's rotation: all verifiers hold a key before any signer uses it.

``PutSecret`` adds a generation of the key that nodes verify with but don't sign with. Once
every node holds the version of that edit, the leader itself proposes ``PromoteSecret``,
which makes nodes sign with it. A wait of more than ``OVERDUE_SECONDS`` is reported; nothing
is promoted merely because time has passed.
"""

from __future__ import annotations

from typing import ClassVar

import msgspec

from peppershore.connection.messages.relay import ProgressReported
from peppershore.process.commands import Notice
from peppershore.process.control.progress import (
    RELAY_SILENT_SECONDS,
    ProgressTable,
    RelayProgress,
)
from peppershore.version.model import (
    Edit,
    ExpectedRevision,
    PromoteSecret,
    Secret,
    Tree,
    Version,
)

OVERDUE_SECONDS = 60.0
ROTATION_AUTHOR = "peppershore"
MAX_SHOWN_NODES = 3


class RotationOverdue(Notice, frozen=True):
    """A key rotation has waited too long for all nodes; the old key stays in use."""

    level: ClassVar[str] = "warning"
    secret: str
    reason: str


class _Waiting(msgspec.Struct):
    revision: Version
    since: float
    reported: bool = False


class RotationBarrier:
    """Decides which key rotations may proceed, and describes what the others wait for."""

    def __init__(self, progress: ProgressTable, started_at: float) -> None:
        """Start without rotations; ``progress`` shows which versions the nodes hold.

        Reports count as complete once every relay has had time to send one since
        ``started_at`` (monotonic seconds).
        """
        self._progress = progress
        self._started_at = started_at
        self._waiting: dict[str, _Waiting] = {}

    def restart(self, now: float) -> None:
        """Wait for new reports because this replica has begun to lead.

        A follower knows the relays of other replicas only by the former leader's last
        table, so every relay must have time to report to the new leader.
        """
        self._started_at = now

    def due(self, tree: Tree, now: float) -> list[Edit]:
        """Return the edits that let nodes sign with new keys that all nodes hold."""
        self._note_waiting(tree, now)
        return [
            _promotion(name, tree.secrets[name])
            for name in sorted(self._waiting)
            if not self._obstacle(tree.secrets[name], now)
        ]

    def overdue(self, tree: Tree, now: float) -> list[RotationOverdue]:
        """Return the rotations that have waited ``OVERDUE_SECONDS``, each of them once."""
        self._note_waiting(tree, now)
        found: list[RotationOverdue] = []
        for name, waiting in sorted(self._waiting.items()):
            if waiting.reported or now - waiting.since < OVERDUE_SECONDS:
                continue
            waiting.reported = True
            found.append(RotationOverdue(name, self._obstacle(tree.secrets[name], now)))
        return found

    def descriptions(self, tree: Tree, now: float) -> tuple[str, ...]:
        """Return what each rotation in progress waits for, as text for operators."""
        self._note_waiting(tree, now)
        return tuple(
            self._describe(name, tree.secrets[name], now) for name in sorted(self._waiting)
        )

    def _describe(self, name: str, secret: Secret, now: float) -> str:
        waited = now - self._waiting[name].since
        overdue = ", overdue" if waited >= OVERDUE_SECONDS else ""
        obstacle = self._obstacle(secret, now) or "the promotion is being committed"
        generation = _next_generation(secret)
        return f"{name} to generation {generation} ({waited:.0f} s{overdue}): {obstacle}"

    def _note_waiting(self, tree: Tree, now: float) -> None:
        rotating = {
            name: secret.revision
            for name, secret in tree.secrets.items()
            if secret.signing_generation != secret.generations[-1].generation
        }
        for name in [name for name in self._waiting if name not in rotating]:
            del self._waiting[name]
        for name, revision in rotating.items():
            known = self._waiting.get(name)
            if known is None or known.revision != revision:
                self._waiting[name] = _Waiting(revision, now)

    def _obstacle(self, secret: Secret, now: float) -> str:
        """Return all reasons why signers may not use the new key yet.

        The result is empty if they may.
        """
        relays = self._progress.relays()
        if not relays:
            return "no relay reports"
        found: list[str] = []
        if now - self._started_at < RELAY_SILENT_SECONDS:
            found.append("this replica started a moment ago and may not know all relays")
        missing = [*self._progress.awaited(now), *self._progress.silent(now)]
        if missing:
            found.append(f"no report from relay {', '.join(missing)}")
        revision = secret.revision
        found += [
            _lagging_reason(each, revision) for each in relays if each.in_force < revision
        ]
        found += [_silent_nodes_reason(each.report, revision) for each in relays]
        return "; ".join(reason for reason in found if reason)


def _lagging_reason(relay: RelayProgress, wanted: Version) -> str:
    report = relay.report
    lagging = [node for node in report.lagging if node.version < wanted]
    shown = ", ".join(f"{node.node} ({node.reason})" for node in lagging[:MAX_SHOWN_NODES])
    reached = f"relay {report.relay} is at version {relay.in_force} of {wanted}"
    if not report.settled:
        reached += ", started a moment ago and may not know all its nodes"
    return f"{reached}: {shown}" if shown else reached


def _silent_nodes_reason(report: ProgressReported, wanted: Version) -> str:
    """Return text on the nodes that left a relay without notice and lack the key."""
    nodes = [each for each in report.silent if each.version < wanted]
    if not nodes:
        return ""
    shown = ", ".join(f"{each.node} ({each.reason})" for each in nodes[:MAX_SHOWN_NODES])
    return f"relay {report.relay} has not seen again {shown}"


def _next_generation(secret: Secret) -> int:
    later = [
        each.generation
        for each in secret.generations
        if each.generation > secret.signing_generation
    ]
    return min(later)


def _promotion(name: str, secret: Secret) -> Edit:
    """Return the edit that lets nodes sign with the secret's next generation.

    Only one generation is promoted at a time: verifiers retain the one that signers used
    before.
    """
    generation = _next_generation(secret)
    return Edit(
        change_id=f"v{secret.revision}-promote-{name}-{generation}",
        operations=(PromoteSecret(name, generation),),
        expected=(ExpectedRevision(f"secret:{name}", secret.revision),),
        author=ROTATION_AUTHOR,
        comment=f"all nodes hold version {secret.revision}",
    )
