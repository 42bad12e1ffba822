"""What the house asks of every file: its length, and that the module stays within its own."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LONGEST, MODULE, WIDTH = 400, 630, 110
# Files that were longer when the limit came, at their length then. Shorter is welcome; none is ever added.
OVER = {
    "herongap/accord/shares.py": 443,
    "herongap/daemon/wire.py": 411,
    "herongap/fleet/checker.py": 415,
    "herongap/fleet/day.py": 488,
    "herongap/fleet/model.py": 628,
    "herongap/fleet/settling.py": 415,
    "herongap/fleet/worlds.py": 483,
    "herongap/rehearsal/stage.py": 465,
    "herongap/standins/etcd.py": 493,
    "tests/test_accord.py": 421,
    "tests/test_budgets.py": 447,
    "tests/test_etcd.py": 734,
    "tests/test_node.py": 435,
}


def test_no_file_is_longer_than_the_limit_but_those_that_were():
    files = [p for folder in ("herongap", "tests", "benchmarks") for p in (ROOT / folder).rglob("*.py")]
    lines = {str(p.relative_to(ROOT)): len(p.read_text().splitlines()) for p in files}
    assert len(lines) > 150
    long = {name: count for name, count in lines.items() if count > LONGEST}
    assert not {name: count for name, count in long.items() if count > OVER.get(name, 0)}
    assert not OVER.keys() - long.keys(), "short enough now: off the list"


def test_the_module_is_named_whole_in_the_deploy_file_and_within_its_lines():
    told = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    assert sorted(told) == sorted(str(p.relative_to(ROOT)) for p in (ROOT / "herongap/rules").glob("*.py"))
    lines = [line for name in told for line in (ROOT / name).read_text().splitlines() if line.strip()]
    assert 300 < len(lines) <= MODULE and max(map(len, lines)) <= WIDTH
