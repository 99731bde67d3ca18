"""Fixture with a running control replica, shared by the tests of one module."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from tests.acceptance.cluster import Cluster


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    started = Cluster(tmp_path_factory.mktemp("cluster"))
    try:
        started.start_replicas(1)
        yield started
    finally:
        started.stop()
