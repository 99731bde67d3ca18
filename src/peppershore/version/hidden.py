"""The text form of values that may hold key material or callers' data.

Both are always ``bytes`` in this system, so that hiding every field of bytes
keeps them out of logs, tracebacks and assertion messages.
"""

from __future__ import annotations

import msgspec


def describe(value: msgspec.Struct) -> str:
    """Give a ``repr`` that shows of bytes only how many there are."""
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
