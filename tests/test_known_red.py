"""The handling of KNOWN-RED.txt in conftest.py, tested on a separate small suite."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

SUITE = """
import pytest

def test_sound(): pass

def test_broken(): assert False

@pytest.mark.parametrize("n", [1, 2])
def test_both(n): assert n > 2
"""
BROKEN_ENTRY = "tests/test_suite.py::test_broken | it asserts False | 99\n"
BOTH_ENTRY = "tests/test_suite.py::test_both | too small | 98\n"


def run_suite(folder, listed, *args):
    tests = folder / "tests"
    tests.mkdir()
    shutil.copy(Path(__file__).with_name("conftest.py"), tests)
    (tests / "test_suite.py").write_text(SUITE)
    (folder / "pytest.ini").write_text("[pytest]\n")
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *args]
    return subprocess.run(command, cwd=folder, capture_output=True, text=True, timeout=60)


def test_listed_tests_are_run_expected_to_fail_and_printed(tmp_path):
    result = run_suite(tmp_path, BROKEN_ENTRY + BOTH_ENTRY)
    assert result.returncode == 0 and "1 passed, 3 xfailed" in result.stdout
    assert "known red: tests/test_suite.py::test_broken: it asserts False (issue 99)" in result.stdout


@pytest.mark.parametrize("listed", [None, "\n", BROKEN_ENTRY], ids=["absent", "empty", "one of two"])
def test_unlisted_failure_fails_the_run(tmp_path, listed):
    result = run_suite(tmp_path, listed)
    assert result.returncode == 1 and "test_both" in result.stdout


@pytest.mark.parametrize(
    "listed, message",
    [
        (
            BROKEN_ENTRY + BOTH_ENTRY + "tests/test_suite.py::test_sound | mended meanwhile | 97\n",
            "XPASS(strict)",
        ),
        (
            BROKEN_ENTRY + BOTH_ENTRY + "tests/test_suite.py::test_gone | gone | 96\n",
            "there is no test tests/test_suite",
        ),
        (4 * BROKEN_ENTRY, "4 lines, 3 at most"),
        ("tests/test_suite.py::test_broken\n", "not `test | cause | issue`"),
    ],
    ids=["passes again", "names no test", "a fourth line", "no cause"],
)  # fmt: skip
def test_invalid_list_fails_the_run(tmp_path, listed, message):
    result = run_suite(tmp_path, listed)
    assert result.returncode != 0 and message in result.stdout + result.stderr
