"""Redaction of key material: hides bytes and fields named in ``SENSITIVE_FIELDS``."""

from __future__ import annotations

import msgspec

HIDDEN = "<hidden>"
SENSITIVE_FIELDS = frozenset(
    {"material", "payload", "token", "authorization", "key", "keys"}
)


def public_value(value: object) -> object:
    """Return ``value`` ready for JSON, with bytes and sensitive fields hidden."""
    if isinstance(value, bytes | bytearray | memoryview):
        return HIDDEN
    if isinstance(value, msgspec.Struct):
        return public_struct(value)
    if isinstance(value, dict):
        return {str(key): _public_item(str(key), item) for key, item in value.items()}
    if isinstance(value, list | tuple | set | frozenset):
        return [public_value(item) for item in value]
    return value


def public_struct(value: msgspec.Struct) -> dict[str, object]:
    """Return a struct's fields ready for JSON, with bytes and sensitive ones hidden."""
    names = value.__struct_fields__
    return {name: _public_item(name, getattr(value, name)) for name in names}


def _public_item(name: str, value: object) -> object:
    return HIDDEN if name in SENSITIVE_FIELDS else public_value(value)
