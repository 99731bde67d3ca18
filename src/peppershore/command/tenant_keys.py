"""Reader of keys and fingerprints from operators; no message repeats the input."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from peppershore.command.failures import Failed, usage
from peppershore.command.material_files import read_bounded
from peppershore.version.tenants import (
    MAXIMUM_KEY_BYTES,
    MAXIMUM_KEYS_OF_TENANT,
    is_fingerprint,
)

MAXIMUM_FILE_BYTES = MAXIMUM_KEYS_OF_TENANT * (MAXIMUM_KEY_BYTES + 2)
"""Size of the most keys that a tenant may have, each with a two-byte line ending."""


def read_keys(sources: tuple[str, ...]) -> Result[tuple[str, ...], Failed]:
    """Read one key from each line of each file; "-" is standard input."""
    keys: list[str] = []
    for number, source in enumerate(sources, 1):
        found = _keys_in(source, f"file {number} of --add-key")
        if isinstance(found, Failure):
            return Failure(found.failure())
        keys += found.unwrap()
    return Success(tuple(keys))


def fingerprints(given: tuple[str, ...]) -> Result[tuple[str, ...], Failed]:
    """Return the fingerprints, or fail if a text is none, so that no key is sent."""
    if not all(map(is_fingerprint, given)):
        message = "--drop-key takes a fingerprint, such as sha256:01234567, and no key"
        step = "`peppershore tenant show` has the fingerprints"
        return Failure(usage(message, step))
    return Success(given)


def _keys_in(source: str, what: str) -> Result[list[str], Failed]:
    step = "give a readable file of text with a key in each line"
    try:
        content = read_bounded(source, MAXIMUM_FILE_BYTES)
    except OSError as problem:
        return Failure(usage(f"{what} can't be read: {problem.strerror}", step))
    if len(content) > MAXIMUM_FILE_BYTES:
        return Failure(usage(f"{what} is larger than {MAXIMUM_FILE_BYTES} bytes", step))
    try:
        text = content.decode()
    except UnicodeDecodeError:
        return Failure(usage(f"{what} is not UTF-8 text", step))
    keys = [line.removesuffix("\r") for line in text.split("\n")]
    keys = [key for key in keys if key]
    if not keys:
        return Failure(usage(f"{what} holds no key", step))
    return Success(keys)
