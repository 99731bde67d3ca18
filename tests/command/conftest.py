"""A running control replica, shared by the tests of one module."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from tests.acceptance.site import Site


@pytest.fixture(scope="module")
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Site]:
    started = Site(tmp_path_factory.mktemp("site"))
    yield started
    started.stop()
