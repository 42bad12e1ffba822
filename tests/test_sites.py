"""The variants of the operators' deployments and how they are written."""

import importlib.util
import tomllib
from pathlib import Path

SITES = Path(__file__).resolve().parent.parent / "deploy" / "sites"
spec = importlib.util.spec_from_file_location("lay", SITES / "lay.py")
lay = importlib.util.module_from_spec(spec)
spec.loader.exec_module(lay)

BASE = """
name = "theirs"
[net]
zones = ["a", "b"]
jitter = [0.1, 0.3]
[rules]
budget_ms = 5000
[[tier]]
name = "pool"
[tier.conn]
idle_s = 30
streams = 32
[[tier.kind]]
name = "std"
[[class]]
name = "one"
[[tenant]]
name = "who"
"""


def test_each_variant_is_written_completely_with_its_changes(tmp_path):
    base = tmp_path / "node" / "sites" / "fotopers-brussel.toml"
    base.parent.mkdir(parents=True)
    base.write_text(BASE)
    for name in lay.COMPANION_FILES:
        (base.parent / name).write_text(name)
    lay.main(str(tmp_path), str(tmp_path / "out"))
    written = sorted((tmp_path / "out").glob("*/*.toml"))
    assert len(written) == len(list(SITES.glob("*.toml"))) >= 2
    for path in written:
        site = tomllib.loads(path.read_text())
        change = tomllib.loads((SITES / path.name).read_text())
        assert site["name"] == change["name"] != "theirs" and site["net"]["jitter"] == [0.1, 0.3]
        assert site["class"] == change["class"] and site["net"]["zones"] == change["net"]["zones"]
        assert all((path.parent / name).read_text() == name for name in lay.COMPANION_FILES)
    one_zone = tomllib.loads((tmp_path / "out" / "onezone" / "onezone.toml").read_text())
    assert "tenant" not in one_zone and "budget_ms" not in one_zone["rules"]
    (tier,) = one_zone["tier"]
    assert tier["conn"] == {"idle_s": 8, "connect_timeout_ms": 150, "streams": 32}
    assert tier["kind"] == [{"name": "std"}]
