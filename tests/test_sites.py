"""Our variants of the operators' deployments: how they are laid out."""

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


def test_every_variant_says_what_it_changes_and_is_laid_out_whole(tmp_path):
    base = tmp_path / "node" / "sites" / "fotopers-brussel.toml"
    base.parent.mkdir(parents=True)
    base.write_text(BASE)
    for name in lay.COMPANION_FILES:
        (base.parent / name).write_text(name)
    lay.main(str(tmp_path), str(tmp_path / "out"))
    made = sorted((tmp_path / "out").glob("*/*.toml"))
    assert len(made) == len(list(SITES.glob("*.toml"))) >= 2
    for path in made:
        told = tomllib.loads(path.read_text())
        change = tomllib.loads((SITES / path.name).read_text())
        assert told["name"] == change["name"] != "theirs" and told["net"]["jitter"] == [0.1, 0.3]
        assert told["class"] == change["class"] and told["net"]["zones"] == change["net"]["zones"]
        assert all((path.parent / name).read_text() == name for name in lay.COMPANION_FILES)
    one = tomllib.loads((tmp_path / "out" / "onezone" / "onezone.toml").read_text())
    assert "tenant" not in one and "budget_ms" not in one["rules"]
    (tier,) = one["tier"]
    assert tier["conn"] == {"idle_s": 8, "connect_timeout_ms": 150, "streams": 32}
    assert tier["kind"] == [{"name": "std"}]
