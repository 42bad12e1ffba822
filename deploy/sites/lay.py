"""Writes variants of the operators' deployments, each with the companion files that the bench needs.

    python deploy/sites/lay.py KIT [FOLDER]      FOLDER defaults to logs/sites, which git ignores

A variant names the file that it changes (`base`, below KIT), the keys that it removes (`drop`), and the keys
that it sets: tables are merged, and all other values, also lists of tables, are replaced.
"""

import json
import shutil
import sys
import tomllib
from pathlib import Path

COMPANION_FILES = ("real.json", "wire.json", "unlock.txt")


def merge(base: dict, change: dict) -> dict:
    """Returns `base` with the values of `change` merged into it."""
    result = dict(base)
    for key, value in change.items():
        old = result.get(key)
        result[key] = merge(old, value) if isinstance(old, dict) and isinstance(value, dict) else value
    return result


def drop_key(site: dict, path: str) -> None:
    """Removes the key at a dotted path from `site`; of a list of tables, from the first one."""
    *tables, last = path.split(".")
    for name in tables:
        site = first(site.get(name, {}))
    site.pop(last, None)


def first(value):
    """Returns the first element of a list, or the value itself."""
    return value[0] if isinstance(value, list) else value


def build_variant(change: dict, base: dict) -> dict:
    """Returns the complete deployment of a variant."""
    change = dict(change)
    change.pop("base")
    result = merge(base, {})
    for path in change.pop("drop", ()):
        drop_key(result, path)
    if isinstance(result.get("tier"), list) and isinstance(change.get("tier"), dict):
        # A table changes the first of several tiers.
        change["tier"] = [merge(result["tier"][0], change["tier"]), *result["tier"][1:]]
    return merge(result, change)


def to_toml(table: dict, path: str = "") -> str:
    """Writes a table as TOML: plain keys first, then its tables."""
    plain, tables = [], []
    for key, value in table.items():
        name = f"{path}.{key}" if path else key
        if isinstance(value, dict):
            tables.append(f"\n[{name}]\n{to_toml(value, name)}")
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            tables += [f"\n[[{name}]]\n{to_toml(item, name)}" for item in value]
        else:
            plain.append(f"{key} = {json.dumps(value)}\n")
    return "".join(plain + tables)


def main(kit: str, folder: str = "logs/sites") -> None:
    """Writes each variant of this folder to a folder of its own."""
    for path in sorted(Path(__file__).parent.glob("*.toml")):
        change = tomllib.loads(path.read_text())
        base = Path(kit) / change["base"]
        target = Path(folder) / path.stem
        target.mkdir(parents=True, exist_ok=True)
        for name in COMPANION_FILES:
            shutil.copyfile(base.parent / name, target / name)
        (target / path.name).write_text(to_toml(build_variant(change, tomllib.loads(base.read_text()))))
        print(target / path.name)


if __name__ == "__main__":
    main(*sys.argv[1:])
