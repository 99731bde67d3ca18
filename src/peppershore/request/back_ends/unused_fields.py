"""Header fields in a back end's answers that this node has no use for.

A back end that uses a field which its node doesn't know is served as if the field were
absent. Naming such fields once shows that the two don't have the same interface.
"""

from __future__ import annotations

from peppershore.connection.http_head import HOP_BY_HOP, HeaderList
from peppershore.request.wire_names import WireNames

MAX_NAMES = 32
"""Number of names noted for each incarnation of a back end, which may make up any."""

MAX_NAME_CHARACTERS = 64

COMMON_FIELDS = HOP_BY_HOP | frozenset(
    {
        b"cache-control",
        b"content-encoding",
        b"content-language",
        b"content-length",
        b"content-type",
        b"date",
        b"etag",
        b"expires",
        b"last-modified",
        b"location",
        b"server",
        b"set-cookie",
        b"vary",
    }
)
"""Fields of HTTP itself, which a proxy forwards without using them."""


class UnusedFields:
    """The names found so far in the answers of one incarnation of a back end."""

    def __init__(self, names: WireNames) -> None:
        """Start without unused fields; ``names`` are those that the node uses."""
        self._known = set(COMMON_FIELDS | names.used_fields)
        self._found = 0

    def find(self, headers: HeaderList) -> tuple[str, ...]:
        """Return the names that were not in any answer before; at most ``MAX_NAMES``."""
        found: list[str] = []
        for name, _ in headers:
            if name in self._known or self._found >= MAX_NAMES:
                continue
            self._known.add(name)
            self._found += 1
            found.append(name[:MAX_NAME_CHARACTERS].decode("latin-1"))
        return tuple(found)
