"""A file that holds one value and is replaced atomically.

The value is written to a temporary file and synced; then that file is renamed over the
former one and the folder is synced. After a crash the file holds the former or the new
value, complete. A file that is damaged or of a newer format is refused with the reason.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Generic, TypeVar

import msgspec
import xxhash
from returns.result import Failure, Result, Success

Value = TypeVar("Value")

FORMAT_NUMBER = 1
_CHECKSUM_BYTES = 8


class UnusableFile(msgspec.Struct, frozen=True):
    """The stored file can't be used; ``advice`` tells operators what to do."""

    path: str
    reason: str
    advice: str


class WholeFile(Generic[Value]):
    """Reads one file, and replaces it atomically."""

    def __init__(self, path: Path, kind: type[Value], owner: str, without: str) -> None:
        """Store a value of type ``kind`` at ``path``; ``save`` creates a missing folder.

        ``owner`` is written into the file to mark whose it is. ``without`` tells
        operators what happens if they remove a damaged file.
        """
        self._path = path
        self._magic = f"peppershore {owner} ".encode()
        self._owner = owner
        self._without = without
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(kind)

    def load(self) -> Result[Value | None, UnusableFile]:
        """Return the stored value, None if there is no file, or why it can't be used."""
        try:
            content = self._path.read_bytes()
        except FileNotFoundError:
            return Success(None)
        except OSError as problem:
            return self._unusable(str(problem), "make the file readable")
        return self._decode(content)

    def save(self, value: Value) -> None:
        """Replace the file and sync it; raise ``OSError`` if that fails."""
        body = self._encoder.encode(value)
        checksum = xxhash.xxh3_64_digest(body)
        header = self._magic + bytes([FORMAT_NUMBER])
        self._path.parent.mkdir(parents=True, exist_ok=True)
        temporary = self._path.with_suffix(".new")
        with temporary.open("wb") as file:
            os.fchmod(file.fileno(), 0o600)
            file.write(header + checksum + body)
            file.flush()
            os.fsync(file.fileno())
        temporary.rename(self._path)
        self._sync_folder()

    def _sync_folder(self) -> None:
        descriptor = os.open(self._path.parent, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def _decode(self, content: bytes) -> Result[Value | None, UnusableFile]:
        magic = self._magic
        body_start = len(magic) + 1 + _CHECKSUM_BYTES
        if not content.startswith(magic) or len(content) < body_start:
            return self._damaged(f"it is not a {self._owner}'s file")
        format_number = content[len(magic)]
        if format_number != FORMAT_NUMBER:
            reason = f"format {format_number}, this release reads {FORMAT_NUMBER}"
            return self._unusable(reason, "start a release that reads this format")
        body = content[body_start:]
        if xxhash.xxh3_64_digest(body) != content[len(magic) + 1 : body_start]:
            return self._damaged("its checksum is wrong")
        try:
            return Success(self._decoder.decode(body))
        except msgspec.DecodeError as problem:
            return self._damaged(str(problem))

    def _damaged(self, reason: str) -> Result[Value | None, UnusableFile]:
        return self._unusable(reason, f"remove the file; {self._without}")

    def _unusable(self, reason: str, advice: str) -> Result[Value | None, UnusableFile]:
        return Failure(UnusableFile(str(self._path), reason, advice))
