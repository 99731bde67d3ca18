"""The node's state file: written atomically; refused if damaged or of a newer format."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure

from peppershore.process.node.storage import FILE_NAME, NodeRecord, NodeStorage
from peppershore.version.model import Resource, Scope, Snapshot

SNAPSHOT = Snapshot(Scope("s", "z"), 7, 99, {"service:s": Resource("service:s", b"x")})
RECORD = NodeRecord("c", 3, 7, SNAPSHOT)


def test_what_was_saved_is_loaded(tmp_path: Path) -> None:
    storage = NodeStorage(str(tmp_path / "new"))
    assert storage.load().unwrap() is None
    storage.save(RECORD)
    assert storage.load().unwrap() == RECORD
    mode = (tmp_path / "new" / FILE_NAME).stat().st_mode & 0o777
    assert mode == 0o600


def test_a_save_that_did_not_finish_leaves_the_former_record(tmp_path: Path) -> None:
    storage = NodeStorage(str(tmp_path))
    storage.save(RECORD)
    (tmp_path / FILE_NAME).with_suffix(".new").write_bytes(b"half")
    assert storage.load().unwrap() == RECORD


@given(st.data())
def test_any_damaged_byte_is_noticed(
    tmp_path_factory: pytest.TempPathFactory, data: st.DataObject
) -> None:
    folder = tmp_path_factory.mktemp("node")
    storage = NodeStorage(str(folder))
    storage.save(RECORD)
    path = folder / FILE_NAME
    content = bytearray(path.read_bytes())
    position = data.draw(st.integers(0, len(content) - 1))
    content[position] ^= data.draw(st.integers(1, 255))
    path.write_bytes(content)
    assert isinstance(storage.load(), Failure)
    path.write_bytes(content[:position])
    assert isinstance(storage.load(), Failure)


def test_a_newer_format_is_refused_with_advice(tmp_path: Path) -> None:
    storage = NodeStorage(str(tmp_path))
    storage.save(RECORD)
    path = tmp_path / FILE_NAME
    content = path.read_bytes()
    position = content.index(b"node ") + len(b"node ")
    path.write_bytes(content[:position] + b"\x02" + content[position + 1 :])
    problem = storage.load().failure()
    assert "format 2" in problem.reason
    assert problem.advice
