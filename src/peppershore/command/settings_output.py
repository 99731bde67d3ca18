"""Conversion of settings problems into the failure of a command."""

from __future__ import annotations

from pathlib import Path

from peppershore.command.exit_codes import ExitCode
from peppershore.command.failures import Failed
from peppershore.process.settings_loader import SettingProblem
from peppershore.version.model import Problem


def settings_failed(
    role: str, path: Path | None, problems: tuple[SettingProblem, ...]
) -> Failed:
    """Return one failure that lists all problems of a role's settings."""
    source = str(path) if path is not None else "the flags"
    shown = tuple(Problem(item.key, item.reason, item.allowed) for item in problems)
    return Failed(
        code=ExitCode.INVALID,
        kind="settings",
        message=f"the {role} settings in {source} are not usable",
        next_step=f"mend the listed keys; `peppershore settings example {role}` shows all",
        problems=shown,
    )
