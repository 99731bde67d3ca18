"""``peppershore tenants``: usage of the tenants' limits, as counted by the leader."""

from __future__ import annotations

import click
from returns.result import Result

from peppershore.command.client import ControlGroup, ask
from peppershore.command.failures import Failed
from peppershore.command.options import OperatorContext, operator_options
from peppershore.command.output import format_table, show_json
from peppershore.connection.messages.operators import (
    TenantUsage,
    TenantUsageAnswered,
    TenantUsageQuery,
)

HEADER = (
    "TENANT",
    "USED/S",
    "LIMIT/S",
    "BURST",
    "OF LIMIT",
    "ADMITTED",
    "REFUSED",
    "SHARE",
    "BINDS",
)
PERCENT = 100.0


@click.command()
@operator_options
def tenants(context: OperatorContext) -> None:
    """Show how tenants use their limits: usage, limit, admitted, refused, share.

    The leader counts since its leadership began.  Used is the rate of the last complete
    window, share the tenant's part of all admitted calls, refused what nodes have reported
    so far.
    """

    answer = context.run(read_usage(context.group))
    if context.as_json:
        show_json(answer)
        return
    click.echo(format_usage(answer))


async def read_usage(group: ControlGroup) -> Result[TenantUsageAnswered, Failed]:
    """Return the usage from the leader, which is found through any replica."""
    answer = await ask(group, TenantUsageQuery(), TenantUsageAnswered)
    return answer.alt(lambda unanswered: unanswered.failed)


def format_usage(answer: TenantUsageAnswered) -> str:
    """Return a table of the tenants with a limit, highest use of the limit first."""
    if not answer.is_counted:
        return "no limits are counted: the control group has no [quotas] in its settings"
    head = f"counted by {answer.replica} for {answer.seconds:.0f} s"
    if not answer.tenants:
        return f"{head}: no tenant has a limit"
    admitted = sum(each.admitted for each in answer.tenants)
    ordered = sorted(answer.tenants, key=lambda each: (-_used_fraction(each), each.tenant))
    return f"{head}\n{format_table(HEADER, [_row(each, admitted) for each in ordered])}"


def _row(use: TenantUsage, admitted: int) -> tuple[object, ...]:
    share = use.admitted / admitted if admitted else 0.0
    return (
        use.tenant,
        f"{use.used_per_second:.1f}",
        f"{use.rate_per_second:g}",
        f"{use.burst:g}",
        f"{PERCENT * _used_fraction(use):.0f}%",
        use.admitted,
        use.refused,
        f"{PERCENT * share:.1f}%",
        "yes" if use.is_binding else "no",
    )


def _used_fraction(use: TenantUsage) -> float:
    return use.used_per_second / use.rate_per_second if use.rate_per_second else 0.0
