"""The list of known failing tests lets just those pass."""

from __future__ import annotations

import shlex
import subprocess
from pathlib import Path

import pytest

pytest_plugins = ["pytester"]

TESTS = """
def test_red():
    assert False

def test_green():
    pass
"""
KNOWN = "test_sample.py::test_red | make test | off by one | issue 4\n"
REPOSITORY = Path(__file__).resolve().parents[2]


@pytest.fixture
def sample(pytester: pytest.Pytester) -> pytest.Pytester:
    pytester.makepyfile(test_sample=TESTS)
    pytester.makeini("[pytest]\n")
    return pytester


def run(sample: pytest.Pytester, *arguments: str) -> pytest.RunResult:
    return sample.runpytest_inprocess("-p", "tests.known_red", *arguments)


def test_a_listed_failure_passes_and_is_printed(sample: pytest.Pytester) -> None:
    sample.path.joinpath("red.txt").write_text(KNOWN)
    result = run(sample, "--known-red", "red.txt")
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(["KNOWN RED (failed): *::test_red: off by one (issue 4)"])
    result.assert_outcomes(passed=1, failed=1)


def test_an_unlisted_failure_beside_a_listed_one_fails(sample: pytest.Pytester) -> None:
    sample.path.joinpath("red.txt").write_text(KNOWN)
    sample.makepyfile(test_other="def test_new():\n    assert False\n")
    assert run(sample, "--known-red", "red.txt").ret == pytest.ExitCode.TESTS_FAILED


def test_without_the_option_or_the_file_a_failure_fails(sample: pytest.Pytester) -> None:
    assert run(sample).ret == pytest.ExitCode.TESTS_FAILED
    assert run(sample, "--known-red", "none.txt").ret == pytest.ExitCode.TESTS_FAILED


@pytest.mark.parametrize("text", ["only a name\n", "a | b | c\n", KNOWN * 2])
def test_a_bad_list_or_one_that_repeats_itself_is_a_usage_error(
    sample: pytest.Pytester, text: str
) -> None:
    sample.path.joinpath("red.txt").write_text(text)
    assert run(sample, "--known-red", "red.txt").ret == pytest.ExitCode.USAGE_ERROR


def arguments_of_the_test_command() -> list[str]:
    """Give what CI passes to pytest, as ``make test`` would print it."""
    shown = subprocess.run(
        ["make", "--dry-run", "--always-make", "test", "CI=true", "JOBS=2"],
        cwd=REPOSITORY,
        capture_output=True,
        text=True,
        check=True,
    )
    (line,) = [line for line in shown.stdout.splitlines() if "bin/pytest" in line]
    return shlex.split(line)[1:]


def test_the_test_command_of_ci_reads_the_list(pytester: pytest.Pytester) -> None:
    """The option comes from tests/conftest.py, which pytest must find by itself.

    An option and its file as two words made pytest take the file for a place of
    tests, so it read no conftest.py below "tests" and knew no such option.
    """
    pytester.makepyprojecttoml('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    folder = pytester.mkpydir("tests")
    conftest = 'pytest_plugins = ["tests.known_red"]\n'
    folder.joinpath("conftest.py").write_text(conftest, encoding="utf-8")
    plugin = REPOSITORY.joinpath("tests", "known_red.py").read_text(encoding="utf-8")
    folder.joinpath("known_red.py").write_text(plugin, encoding="utf-8")
    folder.joinpath("test_sample.py").write_text(TESTS, encoding="utf-8")
    listed = KNOWN.replace("test_sample.py", "tests/test_sample.py")
    pytester.path.joinpath("KNOWN-RED.txt").write_text(listed, encoding="utf-8")

    result = pytester.runpytest_subprocess(*arguments_of_the_test_command())

    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(["KNOWN RED (failed): *::test_red: *"])
