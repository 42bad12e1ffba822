"""The command `budget`: fleet budgets in etcd, shown and set."""

import json
import sys
import time
from pathlib import Path

import click

from herongap.cli.lists import FILE, JSON, Store

MAX_SET_ATTEMPTS = 20


@click.group("budget")
def budgets() -> None:
    """Show and set the budgets that are divided among the controllers through etcd.

    FILE is a controller's INI file with a section [etcd]. Exit code 1 if a document cannot be parsed or a
    change was not accepted, 2 if etcd cannot be reached.
    """


def _read_budgets(store: Store) -> dict:
    """Each budget with its allotments; one is `live` if the claim under which it was written still exists."""
    from herongap.accord.shares import read_allocation

    revision, found = store.items()
    keys = {key.removeprefix(store.terms.prefix): kv for key, kv in found.items()}
    budgets_by_name = {}
    for key, kv in sorted(keys.items()):
        kind, _, name = key.partition("/")
        if kind != "budgets":
            continue
        try:
            allocation = read_allocation(kv.value)
        except ValueError as error:
            budgets_by_name[name] = {"bad": str(error)}
            continue
        parts = {}
        for member, allotment in sorted(allocation.allotments.items()):
            claim = keys.get(f"controllers/{member}")
            live = claim is not None and claim.create_revision == allotment.life
            parts[member] = {"part": allotment.amount, "want": allotment.want, "live": live}
        budgets_by_name[name] = {
            "whole": allocation.limit,
            "open": allocation.open,
            "free": allocation.free,
            "parts": parts,
        }
    return {"revision": revision, "budgets": budgets_by_name}


def _print_budgets(status: dict) -> None:
    for name, budget in status["budgets"].items():
        if "bad" in budget:
            click.echo(f"{name}: invalid document, so none of it is used: {budget['bad']}", err=True)
            continue
        state = "" if budget["open"] else ", recounting: no new use is allowed"
        click.echo(f"{name}: whole {budget['whole']}, free {budget['free']}{state}")
        for member, part in budget["parts"].items():
            note = "" if part["live"] else "  its claim is gone; counts until its uses have ended"
            click.echo(f"  controller {member:4} part {part['part']:6} wants {part['want']:6}{note}")


def _has_invalid(status: dict) -> bool:
    return any("bad" in budget for budget in status["budgets"].values())


@budgets.command()
@click.argument("file", type=FILE)
@JSON
def show(file: Path, as_json: bool) -> None:
    """Show every budget, its allotments by controller and the amount that each controller wants.

    Current use and commits with an unknown outcome are in each controller's metrics.
    """
    status = _read_budgets(Store(file))
    if as_json:
        click.echo(json.dumps(status))
    else:
        _print_budgets(status)
    sys.exit(1 if _has_invalid(status) else 0)


@budgets.command()
@click.argument("file", type=FILE)
@click.option("--every", default=1.0, show_default=True, help="Seconds between two reads.")
@click.option("--seconds", type=float, help="End after this time.")
@JSON
def watch(file: Path, every: float, seconds: float | None, as_json: bool) -> None:
    """Print the budgets whenever they have changed."""
    store, deadline = Store(file), None if seconds is None else time.monotonic() + seconds
    last = None
    while deadline is None or time.monotonic() < deadline:
        status = _read_budgets(store)
        if status["budgets"] != last:
            last = status["budgets"]
            click.echo(json.dumps(status) if as_json else f"revision {status['revision']}")
            if not as_json:
                _print_budgets(status)
        time.sleep(every)


@budgets.command("set")
@click.argument("file", type=FILE)
@click.argument("name")
@click.argument("whole", type=click.IntRange(min=0))
@click.option("--unused", is_flag=True, help="If it is created: nothing that counts against it is in use.")
def set_budget(file: Path, name: str, whole: int, unused: bool) -> None:
    """Set the size of budget NAME to WHOLE, or create the budget.

    The use of a new budget is counted first, since allotments of a deleted one may still be in use: no new
    use is allowed until a lease and a linger time have passed, unless --unused is given.

    Lowering it below the current use ends nothing: the allotments shrink as uses end, and no new use is
    allowed above it. An increase takes effect at once. The sizes in the controllers' files count only if
    etcd holds no document.
    """
    from herongap.accord.shares import with_limit
    from herongap.etcd import messages

    store = Store(file)
    key = store.key("budgets", name)
    if name not in store.site.fleet_budgets:
        raise click.ClickException(f"{file}: no [budget {name}]")
    for _ in range(MAX_SET_ATTEMPTS):
        reply = store.call("/v3/kv/range", messages.range_body(key, b""), messages.RangeResponse)
        current = reply.kvs[0] if reply.kvs else None
        try:
            data = with_limit(current.value if current else None, whole, unused)
        except ValueError as error:
            raise click.ClickException(f"{key}: invalid document, left unchanged: {error}") from error
        base = current.mod_revision if current else 0
        response = store.call("/v3/kv/txn", messages.swap_body(key, base, data), messages.TxnResponse)
        if response.succeeded:
            click.echo(f"{name}: whole {whole}, revision {response.header.revision}")
            return
    raise click.ClickException(
        f"{name}: not set, another client changed it during each of {MAX_SET_ATTEMPTS} attempts"
    )
