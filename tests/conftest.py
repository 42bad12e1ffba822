"""One profile for properties, the same examples every time; and the tests that are known to be red."""

import pytest
from hypothesis import settings

settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile("ci")

MOST = 3  # tests that may be red at a time


def known_red(root) -> list[tuple[str, str, str]]:
    """The lines of KNOWN-RED.txt, `test | cause | issue` each; raises UsageError where one is not so."""
    file = root / "KNOWN-RED.txt"
    lines = [line.strip() for line in file.read_text().splitlines()] if file.exists() else []
    entries = [tuple(part.strip() for part in line.split("|")) for line in lines if line]
    if len(entries) > MOST:
        raise pytest.UsageError(f"KNOWN-RED.txt: {len(entries)} lines, {MOST} at most")
    if bad := [entry for entry in entries if len(entry) != 3 or not all(entry)]:
        raise pytest.UsageError(f"KNOWN-RED.txt: not `test | cause | issue`: {bad[0]}")
    return entries


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config, items):
    """What is listed is run and has to fail: one that passes again fails the run until its line goes."""
    for test, cause, issue in known_red(config.rootpath):
        named = [item for item in items if item.nodeid == test or item.nodeid.startswith(test + "[")]
        for item in named:
            item.add_marker(pytest.mark.xfail(reason=f"{cause} (issue {issue})", strict=True))
        file, _, name = test.partition("::")
        path = config.rootpath / file
        if not named and not (path.is_file() and f"def {name}(" in path.read_text()):
            raise pytest.UsageError(f"KNOWN-RED.txt: there is no test {test}")


def pytest_terminal_summary(terminalreporter, config):
    for test, cause, issue in known_red(config.rootpath):
        terminalreporter.write_line(f"known red: {test}: {cause} (issue {issue})")
