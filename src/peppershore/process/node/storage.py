"""The state file of a node: its latest snapshot, the floor and the incarnation."""

from __future__ import annotations

from pathlib import Path

import msgspec

from peppershore.process.storage.whole_file import WholeFile
from peppershore.version.model import Snapshot, Version

FILE_NAME = "node.state"


class NodeRecord(msgspec.Struct, frozen=True):
    """Contents of a node's state file.

    ``floor`` is the lowest version that the node may still accept.
    """

    cluster: str
    incarnation: int
    floor: Version
    snapshot: Snapshot | None


class NodeStorage(WholeFile[NodeRecord]):
    """Reads and replaces the state file of one node."""

    def __init__(self, data_folder: str) -> None:
        """Use the file ``FILE_NAME`` in a folder, which is created if missing."""
        path = Path(data_folder) / FILE_NAME
        without = "the node then accepts only confirmed versions"
        super().__init__(path, NodeRecord, "node", without)
