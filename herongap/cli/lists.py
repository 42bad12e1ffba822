"""`list`: the list of streamers, as a running controller sees it and as etcd has it."""

import json
import sys
import time
from pathlib import Path

import click
import msgspec

from herongap.cli.refused import refused
from herongap.cli.serve import load
from herongap.ini import Faults
from herongap.ini.files import List

FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
JSON = click.option("--json", "as_json", is_flag=True, help="JSON on standard output.")


@click.group("list")
def lists() -> None:
    """The list of streamers: what a controller knows of it, and what stands in etcd.

    FILE is a front's INI file with a section [etcd]. Exit code 1 where a key's value is bad or etcd refuses,
    2 where it cannot be reached.
    """


class Store:
    """The etcd of a front's file, asked member after member."""

    def __init__(self, file: Path):
        from herongap.daemon.etcd import EtcdClient

        self.site = load(file)
        self.terms = self.site.etcd
        if self.terms is None:
            raise click.ClickException(f"{file}: no section [etcd]; its list is a file")
        self.client = EtcdClient(self.terms, "herongap-list")

    def call(self, path: str, body: bytes, kind: type):
        from herongap.daemon.etcd import NETWORK_ERRORS
        from herongap.etcd import EtcdError

        faults = []
        for address in self.terms.endpoints:
            try:
                return self.client.call(address, path, body, kind)
            except NETWORK_ERRORS as fault:
                if isinstance(fault, EtcdError):
                    raise click.ClickException(f"{address}: {fault}") from fault
                faults.append(f"{address}: {fault!r}")
        click.echo("no member of etcd can be reached\n" + "\n".join(faults), err=True)
        sys.exit(2)

    def key(self, kind: str, name: str) -> str:
        return f"{self.terms.prefix}{kind}/{name}"

    def items(self) -> tuple[int, dict]:
        """The revision, and all keys under the prefix as the store holds them."""
        from herongap.etcd import messages as m

        prefix = self.terms.prefix
        reply = self.call("/v3/kv/range", m.range_body(prefix, m.prefix_end(prefix)), m.RangeResponse)
        return reply.header.revision, {kv.key.decode("utf-8", "replace"): kv for kv in reply.kvs}

    def read(self) -> tuple[int, dict[str, bytes]]:
        """The revision, and the values of all keys under the prefix."""
        revision, found = self.items()
        return revision, {key: kv.value for key, kv in found.items()}

    def put(self, key: str, value: bytes) -> int:
        from herongap.etcd import messages as m

        return self.call("/v3/kv/put", m.put_body(key, value), m.PutResponse).header.revision

    def delete(self, key: str) -> int:
        from herongap.etcd import messages as m

        return self.call("/v3/kv/deleterange", m.delete_body(key), m.PutResponse).header.revision


@lists.command()
@click.argument("file", type=FILE)
@click.option("--from-etcd", is_flag=True, help="What stands in etcd now, not what the controller knows.")
@JSON
def show(file: Path, from_etcd: bool, as_json: bool) -> None:
    """The whole list, its revision, how old it is, and which controllers live.

    Asks the running controller at its `metrics` address; without one, or with --from-etcd, etcd itself.
    """
    address = load(file).front.metrics
    told = _stands(Store(file)) if from_etcd or not address else _known(address)
    if as_json:
        click.echo(json.dumps(told))
    else:
        _tell(told)
    sys.exit(1 if told["source"].get("bad") else 0)


def _known(address: str) -> dict:
    from herongap.daemon.etcd import NETWORK_ERRORS
    from herongap.daemon.http_connection import request_once
    from herongap.daemon.listen import read_address

    try:
        return json.loads(request_once(read_address(address), "GET", "/list", timeout=3.0).body)
    except (*NETWORK_ERRORS, ValueError) as fault:
        click.echo(f"the controller at {address} does not answer: {fault!r}", err=True)
        sys.exit(2)


def _stands(store: Store) -> dict:
    from herongap.etcd import KeyChange, KeyEntry, RegistryState

    revision, found = store.read()
    directory = RegistryState(store.terms.prefix, 0.0)
    directory.apply(
        0.0, [KeyChange(key, None, KeyEntry(value, 0, 0)) for key, value in found.items()], first=True
    )
    streamers = {
        str(line.streamer): {
            "standing": line.status.name.lower(), "address": "{}:{}".format(*value.address),
            "zone": line.zone, "kind": line.kind, "rack": line.rack, "started": line.started,
        }
        for line in directory.all_entries() for value in [directory.streamers[line.streamer]]
    }  # fmt: skip
    controllers = {str(n): name for n, name in sorted(directory.controllers.items())}
    lost = sorted(directory.drains - set(streamers))
    source = {"state": "etcd", "revision": revision, "bad": directory.bad_values, "controllers": controllers,
              "drains": sorted(directory.drains), "drains_of_nobody": lost}  # fmt: skip
    return {"streamers": streamers, "source": source}


def _tell(told: dict) -> None:
    source = told["source"]
    for name, st in told["streamers"].items():
        where = " ".join(f"{k} {st[k]}" for k in ("zone", "rack") if st.get(k))
        click.echo(f"{name:20} {st['standing']:8} {st['address']:24} {where}".rstrip())
    age = f", known whole {source['age']:.1f} s ago" if source.get("age") is not None else ""
    revision = f", revision {source['revision']}" if "revision" in source else ""
    click.echo(f"{len(told['streamers'])} streamers, {source['state']}{revision}{age}")
    for number, name in source.get("controllers", {}).items():
        click.echo(f"controller {number}: {name or '(value not readable)'}")
    for key, reason in source.get("bad", {}).items():
        click.echo(f"bad value: {key}: {reason}", err=True)


@lists.command()
@click.argument("file", type=FILE)
@click.option("--seconds", type=float, help="End after so long.")
@JSON
def watch(file: Path, seconds: float | None, as_json: bool) -> None:
    """Tell every change of the list as it comes, with its revision."""
    import gevent

    from herongap.daemon.etcd import StreamerRegistry

    terms = Store(file).terms.model_copy(update={"remembered": ""})

    def listed(kind: str, lines, addresses) -> None:
        for line in lines:
            standing, revision = line.status.name.lower(), feed.follower.revision
            if as_json:
                told = {"at": round(time.time(), 3), "kind": kind, "revision": revision}
                click.echo(json.dumps(told | {"streamer": line.streamer, "standing": standing}))
            else:
                click.echo(f"{revision:>10} {kind:8} {line.streamer:20} {standing}")
            sys.stdout.flush()

    feed = StreamerRegistry(terms, 0, 1, 1, "herongap-list", time.monotonic, listed, lambda *place: None)
    following = gevent.spawn(feed.follow)
    try:
        following.join(timeout=seconds)
    except KeyboardInterrupt:
        pass
    finally:
        following.kill()
        feed.close()


@lists.command()
@click.argument("file", type=FILE)
@click.argument("streamers", nargs=-1, required=True)
@click.option("--reason", default="", help="Kept with the drain.")
@click.option("--by", default="", help="Who drains; kept with it.")
def drain(file: Path, streamers: tuple[str, ...], reason: str, by: str) -> None:
    """Send no new work to STREAMERS; what plays there plays on. Tells the revision from which that holds."""
    from herongap.etcd.keys import update_value

    store = Store(file)
    _, found = store.read()
    unknown = [name for name in streamers if store.key("streamers", name) not in found]
    if unknown:
        raise click.ClickException(f"not in the list: {', '.join(unknown)}; nothing was drained")
    for name in streamers:
        value = update_value(None, since=time.time(), by=by, reason=reason)
        click.echo(f"{name}: drained from revision {store.put(store.key('drains', name), value)}")


@lists.command()
@click.argument("file", type=FILE)
@click.argument("streamers", nargs=-1, required=True)
def undrain(file: Path, streamers: tuple[str, ...]) -> None:
    """Let new work go to STREAMERS again."""
    store = Store(file)
    _, found = store.read()
    for name in streamers:
        if store.key("drains", name) not in found:
            click.echo(f"{name}: was not drained")
            continue
        click.echo(f"{name}: takes work from revision {store.delete(store.key('drains', name))}")


@lists.command("import")
@click.argument("file", type=FILE)
@click.argument("source", type=FILE)
@click.option("--delete-others", is_flag=True, help="Delete streamers that SOURCE does not name.")
@click.option("--dry-run", is_flag=True, help="Tell what would be done.")
def import_(file: Path, source: Path, delete_others: bool, dry_run: bool) -> None:
    """Put the streamers of SOURCE, a list as [streamers] list takes it, into etcd.

    What is the same already is left alone; fields that SOURCE does not know are kept. Standing "leaving" puts
    a drain, "active" ends one, "left" deletes the streamer.
    """
    from herongap.etcd.keys import InvalidValueError, decode_value, update_value

    try:
        entries = msgspec.json.decode(source.read_bytes(), type=List).streamers
    except (msgspec.MsgspecError, Faults) as fault:
        raise refused(fault, f"{source}: ") from fault
    store = Store(file)
    _, found = store.read()
    puts: list[tuple[str, bytes]] = []
    gone: list[str] = []
    for entry in entries:
        key, drain_key = store.key("streamers", entry.id), store.key("drains", entry.id)
        if entry.standing == "left":
            gone += [k for k in (key, drain_key) if k in found]
            continue
        fields = {k: v for k, v in msgspec.to_builtins(entry).items() if k not in ("id", "standing")}
        if fields["started"] is None:
            del fields["started"]
        try:
            value = update_value(found.get(key), **fields)
            decode_value("streamers", value)
        except InvalidValueError as fault:
            raise click.ClickException(f"{entry.id}: {fault}; nothing was put") from fault
        if key not in found or msgspec.json.decode(found[key]) != msgspec.json.decode(value):
            puts.append((key, value))
        if entry.standing == "leaving" and drain_key not in found:
            puts.append((drain_key, update_value(None, since=time.time(), reason=f"import of {source.name}")))
        if entry.standing == "active" and drain_key in found:
            gone.append(drain_key)
    if delete_others:
        named = {store.key("streamers", entry.id) for entry in entries}
        gone += [k for k in found if k.startswith(store.key("streamers", "")) and k not in named]
    for key, value in puts:
        click.echo(f"put {key}")
        if not dry_run:
            store.put(key, value)
    for key in gone:
        click.echo(f"delete {key}")
        if not dry_run:
            store.delete(key)
    click.echo(f"{len(puts)} put, {len(gone)} deleted" + (", nothing done: --dry-run" if dry_run else ""))
