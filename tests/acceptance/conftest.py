"""The cluster of a scenario; its processes end with the scenario."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest
from tests.acceptance.cluster import Cluster


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    started = Cluster(tmp_path)
    yield started
    started.stop()
