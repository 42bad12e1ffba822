"""Lay our variants of the operators' deployments out beside the files that their bench wants with them.

    python deploy/sites/lay.py KIT [FOLDER]      FOLDER is logs/sites, which git ignores

A variant names the file that it changes (`base`, below KIT), what it leaves out (`drop`), and what it sets:
tables are merged, everything else, lists of tables too, replaces what was there.
"""

import json
import shutil
import sys
import tomllib
from pathlib import Path

COMPANION_FILES = ("real.json", "wire.json", "unlock.txt")


def merged(base: dict, change: dict) -> dict:
    """`base` with `change` in it."""
    out = dict(base)
    for key, value in change.items():
        old = out.get(key)
        out[key] = merged(old, value) if isinstance(old, dict) and isinstance(value, dict) else value
    return out


def dropped(site: dict, path: str) -> None:
    """Take the key at this dotted path, in the first of a list of tables, out of `site`."""
    *tables, last = path.split(".")
    for name in tables:
        site = first(site.get(name, {}))
    site.pop(last, None)


def first(value):
    return value[0] if isinstance(value, list) else value


def laid(change: dict, base: dict) -> dict:
    """A variant's whole deployment."""
    change = dict(change)
    change.pop("base")
    out = merged(base, {})
    for path in change.pop("drop", ()):
        dropped(out, path)
    if isinstance(out.get("tier"), list) and isinstance(change.get("tier"), dict):
        # The first tier of several is meant.
        change["tier"] = [merged(out["tier"][0], change["tier"]), *out["tier"][1:]]
    return merged(out, change)


def text(table: dict, path: str = "") -> str:
    """A table as TOML: plain keys first, then what is below it."""
    plain, below = [], []
    for key, value in table.items():
        name = f"{path}.{key}" if path else key
        if isinstance(value, dict):
            below.append(f"\n[{name}]\n{text(value, name)}")
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            below += [f"\n[[{name}]]\n{text(one, name)}" for one in value]
        else:
            plain.append(f"{key} = {json.dumps(value)}\n")
    return "".join(plain + below)


def main(kit: str, folder: str = "logs/sites") -> None:
    for path in sorted(Path(__file__).parent.glob("*.toml")):
        change = tomllib.loads(path.read_text())
        base = Path(kit) / change["base"]
        into = Path(folder) / path.stem
        into.mkdir(parents=True, exist_ok=True)
        for name in COMPANION_FILES:
            shutil.copyfile(base.parent / name, into / name)
        (into / path.name).write_text(text(laid(change, tomllib.loads(base.read_text()))))
        print(into / path.name)


if __name__ == "__main__":
    main(*sys.argv[1:])
