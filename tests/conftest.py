"""The hypothesis profile, with the same examples in every run, and the tests that are known to fail."""

import pytest
from hypothesis import settings

settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile("ci")

MAX_KNOWN_RED = 3  # entries of KNOWN-RED.txt


def read_known_red(root) -> list[tuple[str, str, str]]:
    """The entries of KNOWN-RED.txt, `test | cause | issue` each; raises UsageError for an invalid one."""
    file = root / "KNOWN-RED.txt"
    lines = [line.strip() for line in file.read_text().splitlines()] if file.exists() else []
    entries = [tuple(part.strip() for part in line.split("|")) for line in lines if line]
    if len(entries) > MAX_KNOWN_RED:
        raise pytest.UsageError(f"KNOWN-RED.txt: {len(entries)} lines, {MAX_KNOWN_RED} at most")
    if bad := [entry for entry in entries if len(entry) != 3 or not all(entry)]:
        raise pytest.UsageError(f"KNOWN-RED.txt: not `test | cause | issue`: {bad[0]}")
    return entries


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config, items):
    """Expect listed tests to fail; one that passes fails the run until its entry is removed."""
    for test, cause, issue in read_known_red(config.rootpath):
        matching = [item for item in items if item.nodeid == test or item.nodeid.startswith(test + "[")]
        for item in matching:
            item.add_marker(pytest.mark.xfail(reason=f"{cause} (issue {issue})", strict=True))
        file, _, name = test.partition("::")
        path = config.rootpath / file
        if not matching and not (path.is_file() and f"def {name}(" in path.read_text()):
            raise pytest.UsageError(f"KNOWN-RED.txt: there is no test {test}")


def pytest_terminal_summary(terminalreporter, config):
    """Print the known failures at the end of each run."""
    for test, cause, issue in read_known_red(config.rootpath):
        terminalreporter.write_line(f"known red: {test}: {cause} (issue {issue})")
