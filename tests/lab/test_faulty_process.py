"""The shim between a process and its disk and clock, in a process of its own."""

import errno
import subprocess
import sys

import pytest

from peppershore_lab.faulty_process import ProcessFaults, write_faults

PROBE = """
import errno, logging, os, sqlite3, sys, time
from pathlib import Path
from peppershore_lab.faulty_process import FaultFile, install

faults, database = Path(sys.argv[1]), sys.argv[2]
true_time = time.time()
install(FaultFile(faults))
connection = sqlite3.connect(database, isolation_level=None, timeout=0)
connection.execute("BEGIN IMMEDIATE")
connection.execute("CREATE TABLE IF NOT EXISTS kept (number INTEGER)")
try:
    connection.execute("COMMIT")
    print("committed")
except sqlite3.OperationalError as problem:
    print("full" if problem.sqlite_errorcode == sqlite3.SQLITE_FULL else problem)
    connection.execute("ROLLBACK")
with open(database + ".other", "wb") as file:
    try:
        os.fsync(file.fileno())
        print("synced")
    except OSError as problem:
        print(problem.errno)
print(round(time.time() - true_time, -2))
print(round(time.time_ns() / 1e9 - true_time, -2))
record = logging.LogRecord("name", logging.INFO, "", 0, "", (), None)
print(round(record.created - true_time, -2))
"""


def probe(tmp_path, faults):
    path = tmp_path / "faults"
    write_faults(path, faults)
    database = tmp_path / "store.sqlite"
    arguments = [sys.executable, "-c", PROBE, str(path), str(database)]
    done = subprocess.run(arguments, capture_output=True, text=True, check=True)
    return done.stdout.split()


@pytest.mark.parametrize("offset", [-3_600.0, 3_600.0])
def test_the_wall_clock_jumps_and_the_log_keeps_the_true_time(tmp_path, offset):
    lines = probe(tmp_path, ProcessFaults(clock_offset_seconds=offset))
    assert lines == ["committed", "synced", str(offset), str(offset), "0.0"]


def test_a_full_disk_refuses_commits_and_syncs(tmp_path):
    lines = probe(tmp_path, ProcessFaults(disk_full=True))
    assert lines[:2] == ["full", str(errno.ENOSPC)]


def test_without_faults_nothing_differs(tmp_path):
    assert probe(tmp_path, ProcessFaults())[:2] == ["committed", "synced"]
