"""Text form of values that may hold key material or callers' data.

Both are ``bytes`` in the values that use ``describe``, so hiding the content of all
``bytes`` keeps them out of logs, tracebacks and assertion messages.
"""

from __future__ import annotations

import msgspec


def describe(value: msgspec.Struct) -> str:
    """Return a ``repr`` that shows only the length of each ``bytes`` value."""
    names = value.__struct_fields__
    fields = (f"{name}={_field(getattr(value, name))}" for name in names)
    return f"{type(value).__name__}({', '.join(fields)})"


def _field(value: object) -> str:
    if isinstance(value, bytes | bytearray | memoryview):
        return f"<{len(value)} bytes>"
    if isinstance(value, tuple | list):
        return f"[{', '.join(_field(item) for item in value)}]"
    if isinstance(value, dict):
        items = (f"{_field(key)}: {_field(item)}" for key, item in value.items())
        return f"{{{', '.join(items)}}}"
    return repr(value)
