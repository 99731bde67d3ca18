"""Options shared by all operator commands, and the operator's settings file."""

from __future__ import annotations

import asyncio
import functools
import math
import ssl
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, TypeVar

import click
import msgspec
from returns.result import Failure, Result, Success

from peppershore.command.client import ControlGroup
from peppershore.command.failures import Failed, usage
from peppershore.command.output import stop_with
from peppershore.connection.tls import TlsPaths, client_context
from peppershore.process.settings import OperatorSettings
from peppershore.process.settings_loader import load_settings
from peppershore.version.model import Problem

Outcome = TypeVar("Outcome")

REPLICA_VARIABLE = "PEPPERSHORE_REPLICA"
SETTINGS_VARIABLE = "PEPPERSHORE_SETTINGS"
MIN_TIMEOUT_SECONDS = 0.001
MAX_TIMEOUT_SECONDS = 86_400


class Seconds(click.FloatRange):
    """Type of an option: a number of seconds within bounds, not "nan"."""

    name = "seconds"

    def convert(
        self,
        value: Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> Any:
        """Return the number; fail with click's usage error if it is invalid."""
        seconds = super().convert(value, param, ctx)
        if math.isnan(seconds):
            self.fail(f"{value!r} is no number of seconds", param, ctx)
        return seconds


class OperatorContext(msgspec.Struct, frozen=True):
    """Control group, output format and author that an operator command uses."""

    group: ControlGroup
    as_json: bool
    author: str

    def run(self, work: Coroutine[Any, Any, Result[Outcome, Failed]]) -> Outcome:
        """Run ``work`` and return its value; show a failure and exit with its code."""
        result = asyncio.run(work)
        if isinstance(result, Failure):
            stop_with(result.failure(), self.as_json)
        return result.unwrap()


def operator_options(command: Callable[..., None]) -> Callable[..., None]:
    """Add the shared options; the command receives their values as ``context``."""

    @click.option(
        "--replica",
        "replicas",
        multiple=True,
        metavar="IP:PORT",
        envvar=REPLICA_VARIABLE,
        help="A control replica; may be repeated.",
    )
    @click.option(
        "--settings",
        "settings_path",
        type=click.Path(path_type=Path),
        envvar=SETTINGS_VARIABLE,
        help="Operator settings (TOML): replicas, TLS files, timeout, author.",
    )
    @click.option(
        "--timeout",
        type=Seconds(MIN_TIMEOUT_SECONDS, MAX_TIMEOUT_SECONDS),
        help="Seconds to keep trying.  [default: 10]",
    )
    @click.option("--json", "as_json", is_flag=True, help="One JSON object as output.")
    @functools.wraps(command)
    def with_context(
        replicas: tuple[str, ...],
        settings_path: Path | None,
        timeout: float | None,
        as_json: bool,
        **arguments: Any,
    ) -> None:
        loaded = operator_context(replicas, settings_path, timeout, as_json)
        if isinstance(loaded, Failure):
            stop_with(loaded.failure(), as_json)
        command(context=loaded.unwrap(), **arguments)

    return with_context


def operator_context(
    replicas: tuple[str, ...],
    settings_path: Path | None,
    timeout: float | None,
    as_json: bool,
) -> Result[OperatorContext, Failed]:
    """Merge flags over the settings file, and build the context if the result is valid."""
    flags: dict[str, Any] = {}
    if replicas:
        flags["replicas"] = list(replicas)
    if timeout is not None:
        flags["timeout_milliseconds"] = int(timeout * 1_000)
    loaded = load_settings(OperatorSettings, settings_path, flags)
    if isinstance(loaded, Failure):
        problems = tuple(
            Problem(problem.key, problem.reason, problem.allowed)
            for problem in loaded.failure()
        )
        return Failure(
            usage(
                "the operator settings are not usable",
                f"give --replica IP:port, set {REPLICA_VARIABLE}, or mend the file",
                problems,
            )
        )
    return _context(loaded.unwrap(), as_json)


def _context(settings: OperatorSettings, as_json: bool) -> Result[OperatorContext, Failed]:
    tls: ssl.SSLContext | None = None
    if settings.tls is not None:
        paths = TlsPaths(settings.tls.certificate, settings.tls.key, settings.tls.authority)
        try:
            tls = client_context(paths).context
        except (OSError, ssl.SSLError) as problem:
            message = f"the TLS files can't be used: {type(problem).__name__}"
            return Failure(usage(message, "see `peppershore keys make --help`"))
    group = ControlGroup(settings.replicas, settings.timeout_milliseconds / 1_000, tls)
    return Success(OperatorContext(group, as_json, settings.author))
