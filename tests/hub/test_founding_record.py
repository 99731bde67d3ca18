"""Hubs that are started again before their group was founded.

Guards against a group that is never founded: only the settings of the very first start let
a hub found it, so one that ended within the first second never did.
"""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from peppershore.process.hub.founding_record import FILE_NAME, FoundingRecord
from peppershore.process.hub.plan import plan_hub
from peppershore.process.settings import HubSettings

SEEDS = ("10.0.0.1:8080", "10.0.0.2:8080", "10.0.0.3:8080")
FOUNDERS = ("10.0.0.1:8300", "10.0.0.2:8300", "10.0.0.3:8300")


def settings(folder: Path, **changes: object) -> HubSettings:
    values = {
        "cluster": "c",
        "host": "10.0.0.1",
        "zone": "a",
        "seeds": SEEDS,
        "first_start": True,
        "data_folder": str(folder),
        "replica_port": 8_300,
        "relay_port": 8_400,
        "api_listen": "10.0.0.1:8080",
        "tolerated_losses": 1,
    }
    return HubSettings(**(values | changes))  # type: ignore[arg-type]


def started_again(folder: Path, **changes: object) -> HubSettings:
    return settings(folder, **({"first_start": False} | changes))


def test_a_hub_that_is_started_again_continues_with_the_first_seeds(tmp_path: Path) -> None:
    assert FoundingRecord(settings(tmp_path)).founders() == FOUNDERS
    again = started_again(tmp_path, seeds=("10.0.0.2:8080", "10.0.0.9:8080"))
    record = FoundingRecord(again)
    founders = record.founders()
    assert (founders, record.problem) == (FOUNDERS, None)
    control = plan_hub(again, founders).control
    assert not control.join
    assert tuple(each.name for each in control.replicas) == FOUNDERS


def test_a_hub_with_an_empty_disk_founds_nothing(tmp_path: Path) -> None:
    """All seeds may be exchanged for empty hubs while the group lives elsewhere."""
    again = started_again(tmp_path)
    founders = FoundingRecord(again).founders()
    assert founders == ()
    control = plan_hub(again, founders).control
    assert control.join
    assert control.replicas == ()


def test_a_hub_that_is_no_seed_of_the_first_start_founds_nothing(tmp_path: Path) -> None:
    other = settings(tmp_path, host="10.0.0.7")
    control = plan_hub(other, FoundingRecord(other).founders()).control
    assert control.join


@pytest.mark.parametrize("content", [b"", b"x", b"peppershore hub founding \x01garbage"])
def test_a_damaged_record_founds_nothing_and_is_told(
    tmp_path: Path, content: bytes
) -> None:
    (tmp_path / FILE_NAME).write_bytes(content)
    record = FoundingRecord(started_again(tmp_path))
    assert record.founders() == ()
    assert record.problem is not None
    assert record.problem.path.endswith(FILE_NAME)


def test_a_folder_that_takes_no_file_does_not_keep_the_first_start_from_founding(
    tmp_path: Path,
) -> None:
    blocked = tmp_path / "file"
    blocked.write_bytes(b"")
    record = FoundingRecord(settings(blocked))
    assert record.founders() == FOUNDERS
    assert record.problem is not None
    assert msgspec.to_builtins(record.problem)["advice"]
