"""One line of a role's table, and the table."""

from __future__ import annotations

import msgspec

from benchmarks.capacity.tables import markdown_table

HEADER = ("", "measured slope", "size", "at the letter's size", "carried by", "from")


class Figure(msgspec.Struct, frozen=True):
    """One line of a role's table."""

    what: str
    slope: str
    size: str
    value: str
    mechanism: str
    source: str

    def cells(self) -> tuple[str, ...]:
        """Give the line's cells."""
        return (
            self.what,
            self.slope,
            self.size,
            self.value,
            self.mechanism,
            self.source,
        )


def role_table(figures: list[Figure]) -> str:
    """Give a role's table."""
    return markdown_table(HEADER, [figure.cells() for figure in figures])
