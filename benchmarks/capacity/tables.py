"""Numbers as text, and Markdown tables."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

SIGNIFICANT_DIGITS = 3
NOT_MEASURED = "Not measured yet."


def number(value: float) -> str:
    """Give a number with three significant digits and thousands separators."""
    if value == 0:
        return "0"
    if abs(value) >= 1_000:
        rounded = float(f"{value:.{SIGNIFICANT_DIGITS}g}")
        return f"{rounded:,.0f}"
    text = f"{value:.{SIGNIFICANT_DIGITS}g}"
    return f"{float(text):f}".rstrip("0").rstrip(".")


def megabytes(value: float) -> str:
    """Give bytes as megabytes (10^6)."""
    return f"{number(value / 1e6)} MB"


def percent(share: float) -> str:
    """Give a share of one core."""
    return f"{number(share * 100)}%"


def milliseconds(value: float) -> str:
    """Give milliseconds, or seconds from one second on."""
    if value >= 1_000:
        return f"{number(value / 1_000)} s"
    return f"{number(value)} ms"


def markdown_table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Give a Markdown table."""
    lines = [_line(header), _line(["---"] * len(header))]
    lines += [_line(row) for row in rows]
    return "\n".join(lines)


def _line(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cells) + " |"
