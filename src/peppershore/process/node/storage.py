"""The node's file: its last snapshot, the floor, and the count of its starts."""

from __future__ import annotations

from pathlib import Path

import msgspec

from peppershore.process.storage.whole_file import WholeFile
from peppershore.version.model import Snapshot, Version

FILE_NAME = "node.state"


class NodeRecord(msgspec.Struct, frozen=True):
    """What is stored."""

    cluster: str
    incarnation: int
    floor: Version
    snapshot: Snapshot | None


class NodeStorage(WholeFile[NodeRecord]):
    """Reads and replaces the file of one node."""

    def __init__(self, data_folder: str) -> None:
        """Use a folder, which is made if it is not there."""
        path = Path(data_folder) / FILE_NAME
        without = "the node then takes only confirmed versions"
        super().__init__(path, NodeRecord, "node", without)
