"""KNOWN-RED.txt as CI treats it: a suite of its own, with the conftest of this one."""

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
BROKEN = "tests/test_suite.py::test_broken | it asserts False | 99\n"
BOTH = "tests/test_suite.py::test_both | too small | 98\n"


def run(folder, listed, *args):
    tests = folder / "tests"
    tests.mkdir()
    shutil.copy(Path(__file__).with_name("conftest.py"), tests)
    (tests / "test_suite.py").write_text(SUITE)
    (folder / "pytest.ini").write_text("[pytest]\n")
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *args]
    return subprocess.run(command, cwd=folder, capture_output=True, text=True, timeout=60)


def test_what_is_listed_is_run_passed_over_and_printed(tmp_path):
    done = run(tmp_path, BROKEN + BOTH)
    assert done.returncode == 0 and "1 passed, 3 xfailed" in done.stdout
    assert "known red: tests/test_suite.py::test_broken: it asserts False (issue 99)" in done.stdout


@pytest.mark.parametrize("listed", [None, "\n", BROKEN], ids=["absent", "empty", "one of two"])
def test_what_is_not_listed_fails(tmp_path, listed):
    done = run(tmp_path, listed)
    assert done.returncode == 1 and "test_both" in done.stdout


@pytest.mark.parametrize(
    "listed, says",
    [
        (BROKEN + BOTH + "tests/test_suite.py::test_sound | mended meanwhile | 97\n", "XPASS(strict)"),
        (BROKEN + BOTH + "tests/test_suite.py::test_gone | gone | 96\n", "there is no test tests/test_suite"),
        (4 * BROKEN, "4 lines, 3 at most"),
        ("tests/test_suite.py::test_broken\n", "not `test | cause | issue`"),
    ],
    ids=["passes again", "names no test", "a fourth line", "no cause"],
)  # fmt: skip
def test_a_list_that_is_not_true_fails(tmp_path, listed, says):
    done = run(tmp_path, listed)
    assert done.returncode != 0 and says in done.stdout + done.stderr
