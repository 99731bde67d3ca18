"""The node's file: its last snapshot, the floor, and the count of its starts.

Written aside, synced, then renamed over the former file, and the folder synced,
so that after a crash the file is the former or the new one, whole.  A file that
is damaged or of a newer format is refused with the reason.
"""

from __future__ import annotations

import os
from pathlib import Path

import msgspec
import xxhash
from returns.result import Failure, Result, Success

from peppershore.version.model import Snapshot, Version

FORMAT_NUMBER = 1
FILE_NAME = "node.state"
_MAGIC = b"peppershore node "
_CHECKSUM_BYTES = 8


class NodeRecord(msgspec.Struct, frozen=True):
    """What is stored."""

    cluster: str
    incarnation: int
    floor: Version
    snapshot: Snapshot | None


class UnusableFile(msgspec.Struct, frozen=True):
    """The stored file can't be used; ``advice`` says what to do."""

    path: str
    reason: str
    advice: str


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(NodeRecord)


class NodeStorage:
    """Reads and replaces the file of one node."""

    def __init__(self, data_folder: str) -> None:
        """Use a folder, which is made if it is not there."""
        self._folder = Path(data_folder)
        self._path = self._folder / FILE_NAME

    def load(self) -> Result[NodeRecord | None, UnusableFile]:
        """Give what is stored, None if nothing is, or why it can't be used."""
        try:
            content = self._path.read_bytes()
        except FileNotFoundError:
            return Success(None)
        except OSError as problem:
            return self._unusable(str(problem), "make the file readable")
        return self._decode(content)

    def save(self, record: NodeRecord) -> None:
        """Replace the file and sync it; raises ``OSError`` if the disk refuses."""
        body = _ENCODER.encode(record)
        checksum = xxhash.xxh3_64_digest(body)
        header = _MAGIC + bytes([FORMAT_NUMBER])
        self._folder.mkdir(parents=True, exist_ok=True)
        aside = self._path.with_suffix(".new")
        with aside.open("wb") as file:
            os.fchmod(file.fileno(), 0o600)
            file.write(header + checksum + body)
            file.flush()
            os.fsync(file.fileno())
        aside.rename(self._path)
        self._sync_folder()

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def _decode(self, content: bytes) -> Result[NodeRecord | None, UnusableFile]:
        body_start = len(_MAGIC) + 1 + _CHECKSUM_BYTES
        if not content.startswith(_MAGIC) or len(content) < body_start:
            return self._damaged("it is not a node's file")
        format_number = content[len(_MAGIC)]
        if format_number != FORMAT_NUMBER:
            reason = f"format {format_number}, this release reads {FORMAT_NUMBER}"
            return self._unusable(reason, "start a release that reads this format")
        body = content[body_start:]
        if xxhash.xxh3_64_digest(body) != content[len(_MAGIC) + 1 : body_start]:
            return self._damaged("its checksum is wrong")
        try:
            return Success(_DECODER.decode(body))
        except msgspec.DecodeError as problem:
            return self._damaged(str(problem))

    def _damaged(self, reason: str) -> Result[NodeRecord | None, UnusableFile]:
        advice = "remove the file; the node then takes only confirmed versions"
        return self._unusable(reason, advice)

    def _unusable(
        self, reason: str, advice: str
    ) -> Result[NodeRecord | None, UnusableFile]:
        return Failure(UnusableFile(str(self._path), reason, advice))
