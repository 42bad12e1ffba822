"""The command `list`: the streamer list, as a running controller knows it and as etcd holds it."""

import json
import sys
import time
from pathlib import Path

import click
import msgspec

from herongap.cli.errors import command_failure
from herongap.cli.serve import load
from herongap.ini import ConfigFileError
from herongap.ini.files import StreamerListFile

FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
JSON = click.option("--json", "as_json", is_flag=True, help="JSON on standard output.")


@click.group("list")
def lists() -> None:
    """Show and change the streamer list, as a controller knows it or as etcd holds it.

    FILE is a controller's INI file with a section [etcd]. Exit code 1 if a value is invalid or etcd rejects a
    request, 2 if etcd or the controller cannot be reached.
    """


class Store:
    """The etcd cluster of a controller's file; its members are tried one after another."""

    def __init__(self, file: Path):
        from herongap.daemon.etcd import EtcdClient

        self.site = load(file)
        self.terms = self.site.etcd
        if self.terms is None:
            raise click.ClickException(f"{file}: no section [etcd]; its streamer list is a file")
        self.client = EtcdClient(self.terms, "herongap-list")

    def call(self, path: str, body: bytes, response_type: type):
        """The response of the first member that can be reached; exits with status 2 if none can."""
        from herongap.daemon.etcd import NETWORK_ERRORS
        from herongap.etcd import EtcdError

        errors = []
        for address in self.terms.endpoints:
            try:
                return self.client.call(address, path, body, response_type)
            except NETWORK_ERRORS as error:
                if isinstance(error, EtcdError):
                    raise click.ClickException(f"{address}: {error}") from error
                errors.append(f"{address}: {error!r}")
        click.echo("no member of etcd can be reached\n" + "\n".join(errors), err=True)
        sys.exit(2)

    def key(self, kind: str, name: str) -> str:
        """The etcd key of an object; `kind` is the part after the prefix, such as "streamers"."""
        return f"{self.terms.prefix}{kind}/{name}"

    def items(self) -> tuple[int, dict]:
        """The revision, and all keys under the prefix with their etcd metadata."""
        from herongap.etcd import messages

        prefix = self.terms.prefix
        reply = self.call(
            "/v3/kv/range", messages.range_body(prefix, messages.prefix_end(prefix)), messages.RangeResponse
        )
        return reply.header.revision, {kv.key.decode("utf-8", "replace"): kv for kv in reply.kvs}

    def read(self) -> tuple[int, dict[str, bytes]]:
        """The revision, and the values of all keys under the prefix."""
        revision, found = self.items()
        return revision, {key: kv.value for key, kv in found.items()}

    def put(self, key: str, value: bytes) -> int:
        """Store a value; returns the new revision."""
        from herongap.etcd import messages

        return self.call("/v3/kv/put", messages.put_body(key, value), messages.PutResponse).header.revision

    def delete(self, key: str) -> int:
        """Delete a key; returns the new revision."""
        from herongap.etcd import messages

        return self.call(
            "/v3/kv/deleterange", messages.delete_body(key), messages.PutResponse
        ).header.revision


@lists.command()
@click.argument("file", type=FILE)
@click.option("--from-etcd", is_flag=True, help="Read etcd, not the running controller.")
@JSON
def show(file: Path, from_etcd: bool, as_json: bool) -> None:
    """Show the complete list, its revision, its age and the live controllers.

    The list is requested from the running controller at its `metrics` address, or from etcd if there is no
    such address or with --from-etcd.
    """
    address = load(file).front.metrics
    status = _read_etcd(Store(file)) if from_etcd or not address else _query_controller(address)
    if as_json:
        click.echo(json.dumps(status))
    else:
        _print_list(status)
    sys.exit(1 if status["source"].get("bad") else 0)


def _query_controller(address: str) -> dict:
    from herongap.daemon.etcd import NETWORK_ERRORS
    from herongap.daemon.http_connection import request_once
    from herongap.daemon.listen import read_address

    try:
        return json.loads(request_once(read_address(address), "GET", "/list", timeout=3.0).body)
    except (*NETWORK_ERRORS, ValueError) as error:
        click.echo(f"the controller at {address} does not answer: {error!r}", err=True)
        sys.exit(2)


def _read_etcd(store: Store) -> dict:
    from herongap.etcd import KeyChange, KeyEntry, RegistryState

    revision, found = store.read()
    registry = RegistryState(store.terms.prefix, 0.0)
    registry.apply(
        0.0, [KeyChange(key, None, KeyEntry(value, 0, 0)) for key, value in found.items()], first=True
    )
    streamers = {
        str(entry.streamer): {
            "standing": entry.status.name.lower(), "address": "{}:{}".format(*value.address),
            "zone": entry.zone, "kind": entry.kind, "rack": entry.rack, "started": entry.started,
        }
        for entry in registry.all_entries() for value in [registry.streamers[entry.streamer]]
    }  # fmt: skip
    controllers = {str(n): name for n, name in sorted(registry.controllers.items())}
    unmatched_drains = sorted(registry.drains - set(streamers))
    source = {"state": "etcd", "revision": revision, "bad": registry.bad_values, "controllers": controllers,
              "drains": sorted(registry.drains), "drains_of_nobody": unmatched_drains}  # fmt: skip
    return {"streamers": streamers, "source": source}


def _print_list(status: dict) -> None:
    source = status["source"]
    for name, streamer in status["streamers"].items():
        location = " ".join(f"{key} {streamer[key]}" for key in ("zone", "rack") if streamer.get(key))
        click.echo(f"{name:20} {streamer['standing']:8} {streamer['address']:24} {location}".rstrip())
    age = f", last confirmed {source['age']:.1f} s ago" if source.get("age") is not None else ""
    revision = f", revision {source['revision']}" if "revision" in source else ""
    click.echo(f"{len(status['streamers'])} streamers, {source['state']}{revision}{age}")
    for number, name in source.get("controllers", {}).items():
        click.echo(f"controller {number}: {name or '(unreadable value)'}")
    for key, reason in source.get("bad", {}).items():
        click.echo(f"bad value: {key}: {reason}", err=True)


@lists.command()
@click.argument("file", type=FILE)
@click.option("--seconds", type=float, help="End after this time.")
@JSON
def watch(file: Path, seconds: float | None, as_json: bool) -> None:
    """Print every change of the list as it arrives, with its revision."""
    import gevent

    from herongap.daemon.etcd import StreamerRegistry

    # Use no cache file: the one in the settings belongs to the running controller.
    settings = Store(file).terms.model_copy(update={"remembered": ""})

    def print_changes(kind: str, entries, addresses) -> None:
        for entry in entries:
            standing, revision = entry.status.name.lower(), registry.follower.revision
            if as_json:
                change = {"at": round(time.time(), 3), "kind": kind, "revision": revision}
                click.echo(json.dumps(change | {"streamer": entry.streamer, "standing": standing}))
            else:
                click.echo(f"{revision:>10} {kind:8} {entry.streamer:20} {standing}")
            sys.stdout.flush()

    # Only `follow` runs, which claims no controller number: number, expected count and seed are placeholders.
    registry = StreamerRegistry(
        settings, 0, 1, 1, "herongap-list", time.monotonic, print_changes, lambda *rank: None
    )
    follow_greenlet = gevent.spawn(registry.follow)
    try:
        follow_greenlet.join(timeout=seconds)
    except KeyboardInterrupt:
        pass
    finally:
        follow_greenlet.kill()
        registry.close()


@lists.command()
@click.argument("file", type=FILE)
@click.argument("streamers", nargs=-1, required=True)
@click.option("--reason", default="", help="Stored with the drain.")
@click.option("--by", default="", help="Who drains; stored with the drain.")
def drain(file: Path, streamers: tuple[str, ...], reason: str, by: str) -> None:
    """Send no new work to STREAMERS; their viewings continue. Prints the revision from which this holds."""
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
    """Allow new work for STREAMERS again."""
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
@click.option("--delete-others", is_flag=True, help="Delete streamers that are not in SOURCE.")
@click.option("--dry-run", is_flag=True, help="Only print what would be done.")
def import_(file: Path, source: Path, delete_others: bool, dry_run: bool) -> None:
    """Write the streamers of SOURCE, a streamer list file as in [streamers] list, to etcd.

    Unchanged values are not written again, and fields that SOURCE cannot contain are kept. An entry
    with standing "leaving" adds a drain, "active" removes it, "left" deletes the streamer.
    """
    from herongap.etcd.keys import InvalidValueError, decode_value, update_value

    try:
        entries = msgspec.json.decode(source.read_bytes(), type=StreamerListFile).streamers
    except (msgspec.MsgspecError, ConfigFileError) as error:
        raise command_failure(error, f"{source}: ") from error
    store = Store(file)
    _, found = store.read()
    puts: list[tuple[str, bytes]] = []
    deletions: list[str] = []
    for entry in entries:
        key, drain_key = store.key("streamers", entry.id), store.key("drains", entry.id)
        if entry.standing == "left":
            deletions += [k for k in (key, drain_key) if k in found]
            continue
        fields = {k: v for k, v in msgspec.to_builtins(entry).items() if k not in ("id", "standing")}
        if fields["started"] is None:
            del fields["started"]
        try:
            value = update_value(found.get(key), **fields)
            decode_value("streamers", value)
        except InvalidValueError as error:
            raise click.ClickException(f"{entry.id}: {error}; nothing was written") from error
        if key not in found or msgspec.json.decode(found[key]) != msgspec.json.decode(value):
            puts.append((key, value))
        if entry.standing == "leaving" and drain_key not in found:
            puts.append((drain_key, update_value(None, since=time.time(), reason=f"import of {source.name}")))
        if entry.standing == "active" and drain_key in found:
            deletions.append(drain_key)
    if delete_others:
        named = {store.key("streamers", entry.id) for entry in entries}
        deletions += [k for k in found if k.startswith(store.key("streamers", "")) and k not in named]
    for key, value in puts:
        click.echo(f"put {key}")
        if not dry_run:
            store.put(key, value)
    for key in deletions:
        click.echo(f"delete {key}")
        if not dry_run:
            store.delete(key)
    click.echo(
        f"{len(puts)} put, {len(deletions)} deleted" + (", nothing done: --dry-run" if dry_run else "")
    )
