"""``peppershore serve``: runs one process of the system in the foreground."""

from __future__ import annotations

import asyncio
import gc
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, TypeVar

import click
from returns.result import Failure, Result

from peppershore.command.exit_codes import ExitCode
from peppershore.command.output import show_json, stop_with
from peppershore.command.settings_flags import collect_flags, settings_flags
from peppershore.command.settings_output import settings_failed
from peppershore.process.boot_clock import BootClockLoop
from peppershore.process.commands import Notice
from peppershore.process.logging import LogIdentity, configure_logging, write_notice
from peppershore.process.settings import (
    ClaimsSettings,
    ControlSettings,
    HubSettings,
    NodeSettings,
    RelaySettings,
    SettingsValue,
)
from peppershore.process.settings_loader import (
    AdjustedSettings,
    Problems,
    SettingAdjustment,
    load_adjusted_settings,
    load_settings,
)
from peppershore.process.settings_watch import SettingsWatch

ProcessSettings = (
    ControlSettings | HubSettings | RelaySettings | NodeSettings | ClaimsSettings
)
Kind = TypeVar("Kind", bound=SettingsValue)
Read = TypeVar("Read")
OnReady = Callable[[int], None]
Arguments = dict[str, Any]

COLLECTION_THRESHOLDS = (5_000, 20, 20)
"""Thresholds of the cyclic garbage collector, by generation; the first one counts objects
created since the last collection. They are high because a call leaves few cycles behind and
each collection traverses the objects that the process holds."""

settings_option = click.option(
    "--settings",
    "settings_path",
    type=click.Path(path_type=Path),
    help="The process's settings file (TOML); flags go before it.",
)

adjust_option = click.option(
    "--adjust",
    "adjusts",
    is_flag=True,
    help="Where a setting can't be used, take the nearest value that can, and warn: "
    "for a file that a platform fills with figures of its own.",
)


class ProcessStarting(Notice, frozen=True):
    """The settings have been read and the process starts."""

    cluster: str


class SettingAdjusted(Notice, frozen=True):
    """A setting from the platform was invalid; the nearest valid value is used instead."""

    level = "warning"
    key: str
    given: str
    used: str


class ProcessReady(Notice, frozen=True):
    """The process accepts links or calls on ``port``."""

    port: int


class ProcessNotStarted(Notice, frozen=True):
    """An address, file or folder of the settings is unusable; the process exits."""

    level = "error"
    reason: str
    advice: str = "check the addresses, TLS files and folders of the settings"


class ProcessStopped(Notice, frozen=True):
    """The planned stop is complete."""


@click.group()
def serve() -> None:
    """Run one process of the system in the foreground.

    It logs JSON lines on standard error, prints one JSON line with its port on
    standard output when it is ready, and stops in a planned way on SIGTERM.

    Exit codes: 0 stopped as planned, 2 wrong command line, 3 settings or store
    refused, 11 an address, file or folder can't be used.
    """
    gc.disable()


@serve.command()
@settings_option
@settings_flags("control")
def control(settings_path: Path | None, **arguments: Any) -> None:
    """Run a control replica."""
    from peppershore.process.control.shell import run_control  # noqa: PLC0415

    settings = _read("control", ControlSettings, settings_path, arguments)
    _configure("control", settings.replica, settings)
    _run(lambda on_ready: run_control(settings, on_ready))


@serve.command()
@settings_option
@adjust_option
@settings_flags("hub")
def hub(settings_path: Path | None, adjusts: bool, **arguments: Any) -> None:
    """Run a hub: a control replica and a relay in one process."""
    from peppershore.process.hub.shell import run_hub  # noqa: PLC0415

    read = _read_adjusted if adjusts else _read_as_given
    found = read("hub", HubSettings, settings_path, arguments)
    settings = found.settings
    _configure("hub", settings.host, settings, found.adjustments)
    watch = _watch(HubSettings, settings_path, settings, adjusts)
    _run(lambda on_ready: run_hub(settings, on_ready, watch))


@serve.command()
@settings_option
@settings_flags("relay")
def relay(settings_path: Path | None, **arguments: Any) -> None:
    """Run a relay."""
    from peppershore.process.relay.shell import run_relay  # noqa: PLC0415

    settings = _read("relay", RelaySettings, settings_path, arguments)
    _configure("relay", settings.relay, settings)
    _run(lambda on_ready: run_relay(settings, on_ready))


@serve.command()
@settings_option
@adjust_option
@settings_flags("node")
def node(settings_path: Path | None, adjusts: bool, **arguments: Any) -> None:
    """Run a node: the proxy beside a back end, or at the edge."""
    from peppershore.process.node.shell import run_node  # noqa: PLC0415

    read = _read_adjusted if adjusts else _read_as_given
    found = read("node", NodeSettings, settings_path, arguments)
    settings = found.settings
    _configure("node", settings.node, settings, found.adjustments)
    watch = _watch(NodeSettings, settings_path, settings, adjusts)
    _run(lambda on_ready: run_node(settings, on_ready, watch))


@serve.command()
@settings_option
@settings_flags("claims")
def claims(settings_path: Path | None, **arguments: Any) -> None:
    """Run a replica of a claims group."""
    from peppershore.process.claims.shell import run_claims  # noqa: PLC0415

    settings = _read("claims", ClaimsSettings, settings_path, arguments)
    _configure("claims", settings.replica, settings)
    _run(lambda on_ready: run_claims(settings, on_ready))


def _read(role: str, kind: type[Kind], path: Path | None, arguments: Arguments) -> Kind:
    loaded = load_settings(kind, path, collect_flags(kind, arguments))
    return _loaded_or_exit(role, path, loaded)


def _loaded_or_exit(role: str, path: Path | None, loaded: Result[Read, Problems]) -> Read:
    """Return the loaded settings; if they are unusable, show the reasons and exit."""
    if isinstance(loaded, Failure):
        stop_with(settings_failed(role, path, loaded.failure()), as_json=False)
    return loaded.unwrap()


def _read_as_given(
    role: str, kind: type[Kind], path: Path | None, arguments: Arguments
) -> AdjustedSettings[Kind]:
    return AdjustedSettings(_read(role, kind, path, arguments), ())


def _read_adjusted(
    role: str, kind: type[Kind], path: Path | None, arguments: Arguments
) -> AdjustedSettings[Kind]:
    loaded = load_adjusted_settings(kind, path, collect_flags(kind, arguments))
    return _loaded_or_exit(role, path, loaded)


def _watch(
    kind: type[Kind], path: Path | None, current: Kind, adjusts: bool
) -> SettingsWatch[Kind] | None:
    """Return a watch of the process's settings file, None if it has no file."""
    return None if path is None else SettingsWatch(kind, path, current, adjusts)


def _configure(
    role: str,
    process: str,
    settings: ProcessSettings,
    adjustments: tuple[SettingAdjustment, ...] = (),
) -> None:
    configure_logging(LogIdentity(role, process), settings.log_level, settings.log_to)
    write_notice(ProcessStarting(settings.cluster))
    for each in adjustments:
        write_notice(SettingAdjusted(each.key, each.given, each.used))


class Announcer:
    """Callback that records and announces that the process is ready."""

    def __init__(self) -> None:
        """Start in the state before the process is ready."""
        self.is_ready = False

    def __call__(self, port: int) -> None:
        """Log the port, and print it on standard output for the parent process."""
        self.is_ready = True
        write_notice(ProcessReady(port))
        show_json({"event": "process_ready", "port": port})


def _run(work: Callable[[OnReady], Coroutine[Any, Any, None]]) -> None:
    """Run a process until its planned stop; log the reason and exit if it can't start."""
    announcer = Announcer()
    _limit_garbage_collection()
    try:
        with asyncio.Runner(loop_factory=BootClockLoop) as runner:
            runner.run(work(announcer))
    except OSError as problem:
        if announcer.is_ready:
            raise
        write_notice(ProcessNotStarted(_reason(problem)))
        sys.exit(int(ExitCode.NOT_STARTED))
    write_notice(ProcessStopped())


def _limit_garbage_collection() -> None:
    """Exclude imported objects from garbage collection, and let it run rarely."""
    gc.freeze()
    gc.set_threshold(*COLLECTION_THRESHOLDS)
    gc.enable()


def _reason(problem: OSError) -> str:
    reason = problem.strerror or str(problem)
    return f"{reason}: {problem.filename}" if problem.filename else reason
