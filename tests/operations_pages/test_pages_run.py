"""Every command of the operators' pages runs, in order, against real processes."""

from __future__ import annotations

import os
import re
import shlex
import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest
from click.testing import CliRunner

from peppershore.command.main import main
from peppershore.command.options import REPLICA_VARIABLE
from peppershore.process.storage.errors import StoreRefusal
from peppershore.version.tenants import key_fingerprint
from peppershore_lab.fleet.addresses import AddressBlock

PROJECT = Path(__file__).parents[2]
PAGES = PROJECT / "docs" / "operations"
PROGRAMS = Path(sys.executable).parent
PAGE_ADDRESSES = "127.0.0."
PAGE_SECONDS = 150.0
CLUSTER_PAGES = ("first-cluster.md", "replacing-machines.md", "disasters.md")
PIP_LINE = re.compile(r"^peppershore-program/bin/pip install (.*)$", re.MULTILINE)


def blocks(page: str, language: str) -> str:
    found = re.findall(rf"```{language}\n(.*?)```", (PAGES / page).read_text(), re.DOTALL)
    return "\n".join(found)


@pytest.fixture
def folder(tmp_path: Path) -> Iterator[Path]:
    """A folder for a page; the processes that its commands left are ended."""
    yield tmp_path
    for file in tmp_path.glob("*.pid"):
        try:
            os.kill(int(file.read_text()), signal.SIGKILL)
        except ProcessLookupError:
            continue


def run(folder: Path, script: str) -> None:
    path = folder / "page.sh"
    path.write_text(f"set -euo pipefail\n{script}")
    output = folder / "page.output"
    environment = os.environ | {
        "PATH": f"{PROGRAMS}:{os.environ['PATH']}",
        "PROJECT": str(PROJECT),
    }
    with output.open("wb") as file:
        done = subprocess.run(
            ["bash", "-x", str(path)],
            check=False,
            cwd=folder,
            env=environment,
            stdout=file,
            stderr=subprocess.STDOUT,
            timeout=PAGE_SECONDS,
        )
    assert done.returncode == 0, output.read_text()[-4_000:]


def test_pages_about_a_cluster(folder: Path) -> None:
    block = AddressBlock()
    try:
        script = "\n".join(blocks(page, "sh") for page in CLUSTER_PAGES)
        run(folder, script.replace(PAGE_ADDRESSES, f"{block.prefix}."))
    finally:
        block.close()
    output = (folder / "page.output").read_text()
    assert "is in force on 2 nodes" in output
    assert "all paid" in output


def test_page_about_claims(folder: Path) -> None:
    block = AddressBlock()
    try:
        script = blocks("claims.md", "sh")
        run(folder, script.replace(PAGE_ADDRESSES, f"{block.prefix}."))
    finally:
        block.close()
    listed = (folder / "page.output").read_text().split("replica list")[-1]
    assert "claims-4" in listed
    assert "claims-3" not in listed


def test_page_about_replicas(folder: Path) -> None:
    block = AddressBlock()
    try:
        script = blocks("replicas.md", "sh")
        run(folder, script.replace(PAGE_ADDRESSES, f"{block.prefix}."))
    finally:
        block.close()
    recovered = (folder / "page.output").read_text().split("replica recover")[-1]
    assert re.search(r"slots\W+22", recovered), "what was accepted before the backup"
    listed = recovered.split("replica list")[-1]
    assert "c2" in listed
    assert "c4" in listed
    assert "c1" not in listed


def test_page_about_replicas_names_every_reason_for_refusing_a_store() -> None:
    text = (PAGES / "replicas.md").read_text()
    assert all(f"`{refusal.value}`" in text for refusal in StoreRefusal)


def test_page_about_certificates(folder: Path) -> None:
    run(folder, blocks("certificates.md", "sh"))


def test_page_about_tenants(
    folder: Path, replica: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv(REPLICA_VARIABLE, replica)
    run(folder, blocks("tenants.md", "sh"))
    output = (folder / "page.output").read_text()
    next_key = (folder / "next.key").read_text().strip()
    assert re.search(rf"studio +- +100 +- +{key_fingerprint(next_key)} ", output)
    assert output.count("+ peppershore tenant set") == 6
    for file in ("studio.key", "next.key"):
        key = (folder / file).read_text().strip()
        shown = [line for line in output.splitlines() if key in line]
        assert all(line.startswith("+") for line in shown), "only what bash -x tells"


def test_page_about_installing(folder: Path) -> None:
    """All but the two lines of pip, which `make install` runs with the same words."""
    script = blocks("install.md", "sh")
    pip_lines = PIP_LINE.findall(script)
    makefile = (PROJECT / "Makefile").read_text()
    assert len(pip_lines) == 2
    for words in ("--requirement", "--no-deps"):
        assert words in " ".join(pip_lines)
        assert words in makefile
    rest = PIP_LINE.sub("", script)
    run(folder, rest.replace("peppershore-program/bin/peppershore", "peppershore"))


def test_unit_file_starts_a_command_that_there_is() -> None:
    (line,) = re.findall(r"^ExecStart=(.*)$", blocks("first-cluster.md", "ini"), re.M)
    program, *words = shlex.split(line)
    assert program.endswith("/peppershore")
    described = CliRunner().invoke(main, [*words[:2], "--help"])
    assert described.exit_code == 0
    assert words[2] in described.output


@pytest.mark.parametrize("page", sorted(path.name for path in PAGES.glob("*.md")))
def test_no_page_has_commands_that_are_not_run(page: str) -> None:
    run_elsewhere = {"changing-the-tree.md"}
    run_here = {
        *CLUSTER_PAGES,
        "certificates.md",
        "claims.md",
        "install.md",
        "replicas.md",
        "tenants.md",
    }
    if blocks(page, "sh"):
        assert page in run_here | run_elsewhere


@pytest.mark.parametrize("page", sorted(path.name for path in PAGES.glob("*.md")))
def test_links_lead_to_files(page: str) -> None:
    targets = re.findall(r"\]\(([^)#]+)", (PAGES / page).read_text())
    assert all((PAGES / target).exists() for target in targets), targets
