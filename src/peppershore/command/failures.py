"""Failures of commands as values: a message, details and the next step to take."""

from __future__ import annotations

import msgspec

from peppershore.command.exit_codes import ExitCode
from peppershore.version.model import Problem

_REFUSALS: dict[str, tuple[ExitCode, str]] = {
    "version-not-kept": (
        ExitCode.NOT_FOUND,
        "`peppershore tree history` lists the versions kept",
    ),
    "role": (
        ExitCode.NOT_PERMITTED,
        "use a certificate of an operator (`peppershore keys make CLUSTER operator/NAME`)",
    ),
    "not authorized": (
        ExitCode.NOT_PERMITTED,
        "use a certificate of an operator (`peppershore keys make CLUSTER operator/NAME`)",
    ),
}
"""Exit code and next step for the reason of a refusal."""

_OTHER_REFUSAL = (
    ExitCode.UNREACHABLE,
    "check that command line and replicas are of one release",
)


class Failed(msgspec.Struct, frozen=True, kw_only=True):
    """Failure of a command, to be shown as text or as JSON."""

    code: ExitCode
    kind: str
    message: str
    next_step: str
    problems: tuple[Problem, ...] = ()
    change_id: str = ""
    subject: str = ""
    expected_revision: int | None = None
    actual_revision: int | None = None
    winner_change_id: str = ""
    present: dict[str, object] | None = None


def unreachable(reasons: tuple[str, ...]) -> Failed:
    """Return the failure that no replica answered and no change was sent."""
    return Failed(
        code=ExitCode.UNREACHABLE,
        kind="unreachable",
        message="no control replica answered: " + "; ".join(reasons),
        next_step="check --replica IP:port and that a quorum of replicas runs",
    )


def refused(reason: str, detail: str) -> Failed:
    """Return the failure that every replica refused; ``reason`` is the refusal's code."""
    code, next_step = _REFUSALS.get(reason, _OTHER_REFUSAL)
    return Failed(
        code=code,
        kind=reason,
        message=f"the control group refuses: {reason} ({detail})",
        next_step=next_step,
    )


def not_found(what: str, next_step: str) -> Failed:
    """Return the failure that ``what`` does not exist."""
    return Failed(
        code=ExitCode.NOT_FOUND,
        kind="not_found",
        message=f"{what} does not exist",
        next_step=next_step,
    )


def usage(message: str, next_step: str, problems: tuple[Problem, ...] = ()) -> Failed:
    """Return the failure of an invalid command line; nothing was sent."""
    return Failed(
        code=ExitCode.USAGE,
        kind="usage",
        message=message,
        next_step=next_step,
        problems=problems,
    )


def invalid(message: str, problems: tuple[Problem, ...], next_step: str) -> Failed:
    """Return the failure of an invalid file, tree or edit; nothing changed."""
    return Failed(
        code=ExitCode.INVALID,
        kind="invalid",
        message=message,
        next_step=next_step,
        problems=problems,
    )
