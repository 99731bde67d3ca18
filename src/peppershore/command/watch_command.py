"""``peppershore watch``: follows an edit until every proxy has applied it."""

from __future__ import annotations

import asyncio

import click
import msgspec
from returns.result import Failure, Result, Success

from peppershore.command.edits import read_tree
from peppershore.command.failures import Failed, usage
from peppershore.command.options import (
    MAX_TIMEOUT_SECONDS,
    OperatorContext,
    operator_options,
)
from peppershore.command.output import stop_with
from peppershore.command.watch_output import WatchOutput
from peppershore.command.watching import WatchStart, follow_versions, watch_version
from peppershore.version.model import Version


@click.command()
@click.argument("version", type=click.IntRange(min=1), required=False)
@click.option("--follow", is_flag=True, help="Go on with every later version, until ^C.")
@operator_options
def watch(context: OperatorContext, version: int | None, follow: bool) -> None:
    """Follow VERSION (the newest if absent) until it is in force on every proxy.

    Shows each relay and each proxy that lags, why, and when it lags no more.
    `--watch` on an edit does the same from the moment of its acceptance.
    """
    if follow and version is not None:
        step = "leave VERSION out, or --follow"
        stop_with(usage("--follow takes every version", step), context.as_json)
    if not follow:
        context.run(_watch(context, version))
        return
    output = WatchOutput(context.as_json)
    group = msgspec.structs.replace(context.group, timeout_seconds=MAX_TIMEOUT_SECONDS)
    try:
        context.run(follow_versions(group, output.step, output.result))
    except KeyboardInterrupt:
        return


async def _watch(context: OperatorContext, version: Version | None) -> Result[None, Failed]:
    target = version
    if target is None:
        newest = await read_tree(context.group)
        if isinstance(newest, Failure):
            return Failure(newest.failure())
        target = newest.unwrap().version
    output = WatchOutput(context.as_json, target)
    start = WatchStart(asyncio.get_running_loop().time())
    watched = await watch_version(context.group, target, start, output.step)
    if isinstance(watched, Failure):
        return Failure(watched.failure())
    output.result(watched.unwrap())
    return Success(None)
