"""The list of known failing tests lets just those pass."""

from __future__ import annotations

import pytest

pytest_plugins = ["pytester"]

TESTS = """
def test_red():
    assert False

def test_green():
    pass
"""
KNOWN = "test_sample.py::test_red | off by one | issue 4\n"


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


@pytest.mark.parametrize("text", ["only a name\n", KNOWN * 4])
def test_a_bad_or_long_list_is_a_usage_error(sample: pytest.Pytester, text: str) -> None:
    sample.path.joinpath("red.txt").write_text(text)
    assert run(sample, "--known-red", "red.txt").ret == pytest.ExitCode.USAGE_ERROR
