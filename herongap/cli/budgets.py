"""`budget`: wholes divided among the controllers, as they stand in etcd, and a whole set anew."""

import json
import sys
import time
from pathlib import Path

import click

from herongap.cli.lists import FILE, JSON, Store


@click.group("budget")
def budgets() -> None:
    """Wholes divided among the controllers: what stands in etcd, and setting one.

    FILE is a front's INI file with a section [etcd]. Exit code 1 where a document is not understood or a
    change was not taken, 2 where etcd cannot be reached.
    """


def _stands(store: Store) -> dict:
    """Each whole with its parts; a part is `live` if the claim that wrote it still stands."""
    from herongap.accord.shares import read_allocation

    revision, found = store.items()
    keys = {key.removeprefix(store.terms.prefix): kv for key, kv in found.items()}
    told = {}
    for key, kv in sorted(keys.items()):
        kind, _, name = key.partition("/")
        if kind != "budgets":
            continue
        try:
            d = read_allocation(kv.value)
        except ValueError as fault:
            told[name] = {"bad": str(fault)}
            continue
        parts = {}
        for member, part in sorted(d.allotments.items()):
            claim = keys.get(f"controllers/{member}")
            live = claim is not None and claim.create_revision == part.life
            parts[member] = {"part": part.amount, "want": part.want, "live": live}
        told[name] = {"whole": d.limit, "open": d.open, "free": d.free, "parts": parts}
    return {"revision": revision, "budgets": told}


def _tell(told: dict) -> None:
    for name, b in told["budgets"].items():
        if "bad" in b:
            click.echo(f"{name}: not understood, nothing of it is used: {b['bad']}", err=True)
            continue
        state = "" if b["open"] else ", being counted: nothing is begun"
        click.echo(f"{name}: whole {b['whole']}, free {b['free']}{state}")
        for member, p in b["parts"].items():
            gone = "" if p["live"] else "  its claim is gone; counts until what it began is over"
            click.echo(f"  controller {member:4} part {p['part']:6} wants {p['want']:6}{gone}")


def _bad(told: dict) -> bool:
    return any("bad" in b for b in told["budgets"].values())


@budgets.command()
@click.argument("file", type=FILE)
@JSON
def show(file: Path, as_json: bool) -> None:
    """Every whole, its parts by controller, and what each wants.

    What a controller uses now, and whether a commit of it is in doubt, its own metrics tell.
    """
    told = _stands(Store(file))
    if as_json:
        click.echo(json.dumps(told))
    else:
        _tell(told)
    sys.exit(1 if _bad(told) else 0)


@budgets.command()
@click.argument("file", type=FILE)
@click.option("--every", default=1.0, show_default=True, help="Seconds between two looks.")
@click.option("--seconds", type=float, help="End after so long.")
@JSON
def watch(file: Path, every: float, seconds: float | None, as_json: bool) -> None:
    """Tell the wholes whenever they have changed."""
    store, until = Store(file), None if seconds is None else time.monotonic() + seconds
    last = None
    while until is None or time.monotonic() < until:
        told = _stands(store)
        if told["budgets"] != last:
            last = told["budgets"]
            click.echo(json.dumps(told) if as_json else f"revision {told['revision']}")
            if not as_json:
                _tell(told)
        time.sleep(every)


@budgets.command("set")
@click.argument("file", type=FILE)
@click.argument("name")
@click.argument("whole", type=click.IntRange(min=0))
@click.option("--unused", is_flag=True, help="Where it is made: nothing that counts for it is in use.")
def set_whole(file: Path, name: str, whole: int, unused: bool) -> None:
    """Set the whole of budget NAME, or make it.

    One that is made is counted first, for somebody may use what a deleted one gave out: until a lease and a
    linger have passed nothing is begun, but for --unused.

    Lowered below what is used it ends nothing: the parts fall as what was begun ends, and nothing is begun
    above it. Raised, it is of use at once. What the files of the controllers say counts only where there is
    no document.
    """
    from herongap.accord.shares import with_limit
    from herongap.etcd import messages as m

    store = Store(file)
    key = store.key("budgets", name)
    if name not in store.site.wholes:
        raise click.ClickException(f"{file}: no [budget {name}]")
    for _ in range(20):
        reply = store.call("/v3/kv/range", m.range_body(key, b""), m.RangeResponse)
        there = reply.kvs[0] if reply.kvs else None
        try:
            data = with_limit(there.value if there else None, whole, unused)
        except ValueError as fault:
            raise click.ClickException(f"{key}: not understood, left as it is: {fault}") from fault
        base = there.mod_revision if there else 0
        answer = store.call("/v3/kv/txn", m.swap_body(key, base, data), m.TxnResponse)
        if answer.succeeded:
            click.echo(f"{name}: whole {whole}, revision {answer.header.revision}")
            return
    raise click.ClickException(f"{name}: others changed it each time; not set")
