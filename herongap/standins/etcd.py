"""A fake etcd cluster: members that serve one shared history over the JSON gateway, with fault injection.

Written from etcd's published API (reference, KV guarantees, the JSON of grpc-gateway): revisions, history
and compaction, leases with expiry, transactions that compare revisions, watches with progress notifications
and fragments, auth tokens. There is no consensus: the members share one history, and a lagging member serves
an earlier revision of it.
"""

import base64
import json
import random
from bisect import bisect_right
from collections.abc import Callable, Iterator
from contextlib import suppress

import gevent
from gevent.event import Event

from herongap.daemon.http_connection import Peer, Server
from herongap.daemon.listen import listen
from herongap.etcd.messages import prefix_end
from herongap.http import Reply, Request
from herongap.overload import ProcessLimits
from herongap.standins.errors import BadBase64

FRAGMENT_EVENTS = 64  # events in one fragment; etcd fragments at 1.5 MB
MAX_MESSAGE_REVISIONS = 128
BIND_ATTEMPTS = 100
LIMITS = ProcessLimits(idle_seconds=600.0, body=1 << 20, write_seconds=10.0)


class History:
    """Every key at every revision, and the leases. Does no I/O; the caller passes the time."""

    def __init__(self):
        self.revision, self.compacted, self.cluster = 1, 0, 0xC1
        self.events: list[tuple[int, bytes, dict | None]] = []  # (revision, key, value or None if deleted)
        self.current: dict[bytes, dict] = {}
        self.versions: dict[bytes, list[tuple[int, dict | None]]] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.keys_by_lease: dict[int, set[bytes]] = {}
        self.changed = Event()
        self.on_change: Callable[[bytes, dict | None], None] = lambda key, value: None
        self._last_lease = 0

    def put(self, key: bytes, value: bytes, lease: int = 0) -> None:
        """Puts a key, at a new revision."""
        old = self.current.get(key)
        self.revision += 1
        self._record(
            key,
            {
                "value": value, "lease": lease, "mod": self.revision,
                "create": old["create"] if old else self.revision,
                "version": old["version"] + 1 if old else 1,
            },
        )  # fmt: skip

    def delete(self, *keys: bytes) -> int:
        """Deletes keys in one revision, as an expired lease does; returns how many of them existed."""
        existing = [key for key in keys if key in self.current]
        if existing:
            self.revision += 1
            for key in existing:
                self._record(key, None)
        return len(existing)

    def _record(self, key: bytes, value: dict | None) -> None:
        for keys in self.keys_by_lease.values():
            keys.discard(key)
        if value is None:
            self.current.pop(key, None)
        else:
            self.current[key] = value
            if value["lease"]:
                self.keys_by_lease.setdefault(value["lease"], set()).add(key)
        self.events.append((self.revision, key, value))
        self.versions.setdefault(key, []).append((self.revision, value))
        self.on_change(key, value)
        changed, self.changed = self.changed, Event()
        changed.set()

    def compact(self, revision: int | None = None) -> None:
        """Discards the events up to a revision, by default the latest."""
        self.compacted = min(self.revision, revision or self.revision)
        count = bisect_right(self.events, self.compacted, key=lambda event: event[0])
        del self.events[:count]

    def at(self, revision: int, first: bytes, end: bytes) -> list[tuple[bytes, dict]]:
        """Returns the keys of a range as they were at a revision, sorted."""
        if revision == self.revision:
            entries = self.current.items()
        else:
            entries = [
                (key, versions[i - 1][1])
                for key, versions in self.versions.items()
                if (i := bisect_right(versions, revision, key=lambda v: v[0]))
            ]
        return sorted((k, v) for k, v in entries if v and _in_range(k, first, end))

    def since(self, revision: int, until: int) -> list[tuple[int, bytes, dict | None]]:
        """Returns the events of a range of revisions, both ends included."""
        low = bisect_right(self.events, revision - 1, key=lambda event: event[0])
        return self.events[low : bisect_right(self.events, until, key=lambda event: event[0])]

    # Leases.

    def grant(self, now: float, ttl: float) -> int:
        """Grants a lease and returns its ID."""
        self._last_lease += 1
        self.leases[self._last_lease] = now + ttl, ttl
        return self._last_lease

    def keep_alive(self, now: float, lease: int) -> float:
        """Renews a lease and returns its TTL in seconds, 0 if the lease does not exist."""
        if lease not in self.leases:
            return 0.0
        ttl = self.leases[lease][1]
        self.leases[lease] = now + ttl, ttl
        return ttl

    def revoke(self, lease: int) -> None:
        """Ends a lease and deletes its keys."""
        if self.leases.pop(lease, None):
            self.delete(*self.keys_by_lease.pop(lease, set()))

    def expire(self, now: float) -> None:
        """Revokes the leases that have expired."""
        for lease in [lease for lease, (expiry, _) in self.leases.items() if expiry <= now]:
            self.revoke(lease)


def _in_range(key: bytes, first: bytes, end: bytes) -> bool:
    return key == first if not end else key >= first and (end == b"\0" or key < end)


class Etcd:
    """A cluster of members on loopback.

    `log(who, what, **details)` gets an entry for each drain, and for each time that a client receives that
    drain, with the client's User-Agent.
    """

    def __init__(self, members: int, clock: Callable[[], float], log: Callable = lambda *_, **__: None):
        self.history, self.clock, self.log = History(), clock, log
        self.progress_interval_seconds, self.users, self.tokens = 5.0, {}, {}
        self.election_ends, self.random = float("-inf"), random.Random(members)
        self.history.on_change = self._log_change
        self.members = [Member(self, i) for i in range(members)]
        self._expiry_greenlet = gevent.spawn(self._expire_leases)

    @property
    def addresses(self) -> list[str]:
        """The members' addresses as HOST:PORT."""
        return ["{}:{}".format(*member.address) for member in self.members]

    def elect(self, seconds: float) -> None:
        """Holds a leader election. Some of the writes during it are applied, and none is acknowledged.

        The new leader extends every lease by its full TTL.
        """
        self.election_ends = self.clock() + seconds

        def extend_leases() -> None:
            for lease in list(self.history.leases):
                self.history.keep_alive(self.clock(), lease)

        gevent.spawn_later(seconds, extend_leases)

    def _log_change(self, key: bytes, value: dict | None) -> None:
        *_, kind, name = [b"", b"", *key.split(b"/")]
        if kind in (b"budgets", b"controllers"):
            text = None if value is None else value["value"].decode("utf-8", "replace")
            self.log("etcd", kind.decode(), name=name.decode(), revision=self.history.revision, value=text)
        if state := drain_state(key, value is not None):
            self.log("etcd", "drain", streamer=state[0], drained=state[1])

    def _expire_leases(self) -> None:
        while True:
            gevent.sleep(0.1)
            if self.clock() >= self.election_ends:
                self.history.expire(self.clock())

    def cut(self) -> None:
        """Breaks every watch stream of every member."""
        for member in self.members:
            member.cut()

    def close(self) -> None:
        """Stops all members."""
        self._expiry_greenlet.kill(block=False)
        for member in self.members:
            member.stop()


class Member:
    """One member. Its attributes inject faults:

    - `lag`: seconds by which it is behind; `frozen_revision`: the revision at which it has stopped
    - `request_delay`: seconds before each request is served
    - `reply_delay`: seconds between serving a request and the reply
    - `event_delay`: seconds before each batch of events
    - `repeats_events`: every event is sent twice
    - `break_after_bytes`: bytes after which a stream breaks
    - `cluster`: the ID of another cluster
    """

    def __init__(self, etcd: Etcd, number: int):
        self.etcd, self.number = etcd, number
        self.lag = self.request_delay = self.event_delay = self.reply_delay = 0.0
        self.frozen_revision: int | None = None
        self.repeats_events, self.break_after_bytes, self.cluster, self.partitioned = False, 0, 0, False
        self.streams: set[object] = set()
        self.revisions_seen: list[tuple[float, int]] = []
        self.requests = self.opened = 0
        self.server: Server | None = None
        self.address = ("127.0.0.1", 0)
        self.start()

    def start(self) -> None:
        """Listens, after a stop at the same address as before."""
        for attempt in range(BIND_ATTEMPTS):
            try:
                self.server = Server(listen(self.address), self.handle, LIMITS)
                break
            except OSError:
                if attempt == BIND_ATTEMPTS - 1:
                    raise
                gevent.sleep(0.01)  # greenlets of the stopped server may still hold its sockets
        self.address = self.server.address

    def stop(self) -> None:
        """Stops as if killed: its connections break."""
        if self.server:
            self.server.close()
            self.server = None

    def cut(self) -> None:
        """Breaks every watch stream."""
        self.streams.clear()

    def partition(self, partitioned: bool) -> None:
        """Separates the member from its peers, with only the data it has by then, or reconnects it."""
        self.partitioned = partitioned
        self.frozen_revision = self.etcd.history.revision if partitioned else None

    def revision(self) -> int:
        """Returns the latest revision that this member has."""
        now, history = self.etcd.clock(), self.etcd.history
        if self.frozen_revision is not None:
            return min(self.frozen_revision, history.revision)
        if not self.lag:
            return history.revision
        if not self.revisions_seen or self.revisions_seen[-1][1] != history.revision:
            self.revisions_seen.append((now, history.revision))
        visible = [revision for at, revision in self.revisions_seen if at <= now - self.lag]
        self.revisions_seen = self.revisions_seen[-200:]
        return visible[-1] if visible else 1

    def header(self) -> dict:
        """Returns the header of a response."""
        cluster = self.cluster or self.etcd.history.cluster
        return {
            "cluster_id": str(cluster), "member_id": str(self.number + 1), "revision": str(self.revision()),
            "raft_term": "2",
        }  # fmt: skip

    # JSON gateway.

    def handle(self, request: Request, peer: Peer) -> Reply:
        """Handles one request to the JSON gateway."""
        self.requests += 1
        if self.request_delay:
            gevent.sleep(self.request_delay)
        try:
            body = json.loads(request.body or b"{}")
            path = "/".join(request.path)
            if path == "v3/auth/authenticate":
                return self._authenticate(body)
            if self.etcd.users and request.headers.get("authorization") not in self.etcd.tokens:
                return _error(16, "etcdserver: invalid auth token", 401)
            user_agent = request.headers.get("user-agent", "")
            serve = {
                "v3/kv/range": self._range, "v3/kv/put": self._put, "v3/kv/deleterange": self._delete,
                "v3/kv/txn": self._txn, "v3/kv/compaction": self._compact, "v3/watch": self._watch,
                "v3/lease/grant": self._grant, "v3/lease/keepalive": self._keep,
                "v3/lease/revoke": self._revoke,
            }.get(path)  # fmt: skip
            if path != "v3/watch" and serve and self.partitioned:
                return self._leaderless(body, user_agent, serve, path)
            if (
                path not in ("v3/watch", "v3/kv/range")
                and serve
                and self.etcd.clock() < self.etcd.election_ends
            ):
                if self.etcd.random.random() < 0.5:
                    serve(body, user_agent)
                return _error(14, "etcdserver: leader changed", 503)
            reply = serve(body, user_agent) if serve else _error(12, "Not Found", 404)
            if self.reply_delay and path != "v3/watch":
                gevent.sleep(self.reply_delay)
            return reply
        except (ValueError, KeyError, TypeError) as error:
            return _error(3, f"bad request: {error!r}", 400)

    def _leaderless(self, body: dict, user_agent: str, serve: Callable, path: str) -> Reply:
        """Serves only reads that may be stale (serializable, in the KV API guarantees); others time out."""
        if path == "v3/kv/range" and body.get("serializable"):
            return serve(body, user_agent)
        gevent.sleep(0.3)
        return _error(14, "etcdserver: request timed out", 503)

    def _authenticate(self, body: dict) -> Reply:
        if self.etcd.users.get(body["name"]) != body["password"]:
            return _error(3, "etcdserver: authentication failed, invalid user ID or password", 400)
        token = f"token-{len(self.etcd.tokens) + 1}"
        self.etcd.tokens[token] = body["name"]
        return self._reply(token=token)

    def _reply(self, **more) -> Reply:
        return _json({"header": self.header(), **more})

    def _range(self, body: dict, user_agent: str) -> Reply:
        history, latest = self.etcd.history, self.revision()
        first, end = _bytes(body["key"]), _bytes(body.get("range_end", ""))
        revision, limit = int(body.get("revision", 0)), int(body.get("limit", 0))
        if revision > latest:
            return _error(11, "etcdserver: mvcc: required revision is a future revision", 400)
        if revision and revision < history.compacted:
            return _error(11, "etcdserver: mvcc: required revision has been compacted", 400)
        found = history.at(revision or latest, first, end)
        page = found[:limit] if limit else found
        self._log_drains(user_agent, [(key, value) for key, value in page])
        kvs = [_kv(key, value) for key, value in page]
        more = {"more": True} if len(page) < len(found) else {}
        return self._reply(kvs=kvs, count=str(len(found)), **more)

    def _put(self, body: dict, user_agent: str) -> Reply:
        lease = int(body.get("lease", 0))
        if lease and lease not in self.etcd.history.leases:
            return _error(5, "etcdserver: requested lease not found", 404)
        self.etcd.history.put(_bytes(body["key"]), _bytes(body.get("value", "")), lease)
        return self._reply()

    def _delete(self, body: dict, user_agent: str) -> Reply:
        first, end = _bytes(body["key"]), _bytes(body.get("range_end", ""))
        keys = [key for key in self.etcd.history.current if _in_range(key, first, end)]
        return self._reply(deleted=str(self.etcd.history.delete(*keys)))

    def _txn(self, body: dict, user_agent: str) -> Reply:
        history = self.etcd.history
        holds = True
        for compare in body.get("compare", []):
            entry = history.current.get(_bytes(compare["key"]))
            target = {"CREATE": "create", "MOD": "mod", "VERSION": "version"}.get(compare.get("target"))
            if target is None or compare.get("result", "EQUAL") != "EQUAL":
                return _error(
                    12, "this fake etcd compares only revisions and versions, and only for equality", 400
                )
            wanted = compare.get(target if target == "version" else f"{target}_revision", 0)
            holds &= (entry[target] if entry else 0) == int(wanted)
        responses = []
        for op in body.get("success" if holds else "failure", []):
            name, inner = next(iter(op.items()))
            reply = {"request_put": self._put, "request_range": self._range}[name](inner, user_agent)
            if reply.status != 200:
                return reply
            responses.append({name.replace("request", "response"): json.loads(reply.body)})
        return self._reply(responses=responses, **({"succeeded": True} if holds else {}))

    def _compact(self, body: dict, user_agent: str) -> Reply:
        self.etcd.history.compact(int(body["revision"]))
        return self._reply()

    def _grant(self, body: dict, user_agent: str) -> Reply:
        ttl = int(body["TTL"])
        return self._reply(ID=str(self.etcd.history.grant(self.etcd.clock(), ttl)), TTL=str(ttl))

    def _keep(self, body: dict, user_agent: str) -> Reply:
        lease = int(body["ID"])
        self.etcd.history.expire(self.etcd.clock())
        ttl = self.etcd.history.keep_alive(self.etcd.clock(), lease)
        result = {"header": self.header(), "ID": str(lease), **({"TTL": str(int(ttl))} if ttl else {})}
        return _json({"result": result})

    def _revoke(self, body: dict, user_agent: str) -> Reply:
        self.etcd.history.revoke(int(body["ID"]))
        return self._reply()

    # Watches.

    def _watch(self, body: dict, user_agent: str) -> Reply:
        create = body["create_request"]
        self.opened += 1
        return Reply(200, (("Content-Type", "application/json"),), self._stream(create, user_agent))

    def _stream(self, create: dict, user_agent: str) -> Iterator[bytes]:
        """Yields the messages as bytes. A break, even in the middle of a message, breaks the connection."""
        stream, sent = object(), 0
        self.streams.add(stream)
        try:
            for message, entries in self._messages(create, stream):
                data = json.dumps({"result": message}).encode() + b"\n"
                if self.break_after_bytes and sent + len(data) > self.break_after_bytes:
                    yield data[: max(1, self.break_after_bytes - sent)]
                    raise ConnectionResetError("the watch stream was broken")
                sent += len(data)
                yield data
                # Logged only now that the last byte was sent: a truncated message does not inform the client.
                self._log_drains(user_agent, entries)
            raise ConnectionResetError("the watch stream was broken")
        finally:
            self.streams.discard(stream)

    def _messages(self, create: dict, stream: object) -> Iterator[tuple[dict, list]]:
        history = self.etcd.history
        first, end = _bytes(create["key"]), _bytes(create.get("range_end", ""))
        after = int(create.get("start_revision", 0)) or self.revision() + 1
        unfragmented, filters = not create.get("fragment"), create.get("filters", ())
        yield {"header": self.header(), "created": True}, []
        last_message = self.etcd.clock()
        while stream in self.streams:
            changed = history.changed
            if after <= history.compacted and after <= self.revision():
                reason = "etcdserver: mvcc: required revision has been compacted"
                yield {
                    "header": self.header(), "canceled": True, "compact_revision": str(history.compacted),
                    "cancel_reason": reason,
                }, []  # fmt: skip
                return
            until = min(self.revision(), after + MAX_MESSAGE_REVISIONS - 1)
            if until >= after:
                if self.event_delay:
                    gevent.sleep(self.event_delay)
                events = [
                    e for e in history.since(after, until)
                    if _in_range(e[1], first, end) and ("NOPUT" if e[2] else "NODELETE") not in filters
                ]  # fmt: skip
                after = until + 1
                for _ in range(2 if self.repeats_events else 1):
                    yield from self._fragments(events, unfragmented)
                last_message = self.etcd.clock()
                continue
            if (
                create.get("progress_notify")
                and self.etcd.clock() - last_message >= self.etcd.progress_interval_seconds
            ):
                last_message = self.etcd.clock()
                yield {"header": self.header()}, []
            changed.wait(0.02 if self.lag or self.frozen_revision is not None else 0.1)

    def _fragments(self, events: list, unfragmented: bool) -> Iterator[tuple[dict, list]]:
        size = len(events) if unfragmented else FRAGMENT_EVENTS
        for i in range(0, len(events), max(1, size)):
            fragment = events[i : i + size]
            encoded = [
                {"kv": _kv(key, value)} if value else
                {"type": "DELETE", "kv": {"key": _b64(key), "mod_revision": str(revision)}}
                for revision, key, value in fragment
            ]  # fmt: skip
            last = i + size >= len(events)
            yield (
                {"header": self.header(), "events": encoded, **({} if last else {"fragment": True})},
                [(key, value) for _, key, value in fragment],
            )

    def _log_drains(self, user_agent: str, pairs: list[tuple[bytes, dict | None]]) -> None:
        for key, value in pairs:
            parts = key.split(b"/")
            if len(parts) > 2 and parts[-2] == b"drains":
                self.etcd.log(
                    "etcd", "told", front=user_agent, streamer=parts[-1].decode(), drained=value is not None
                )


def drain_state(key: bytes, exists: bool) -> tuple[str, bool] | None:
    """Returns the streamer that a key is about, and whether the key means that it takes no new work."""
    *_, kind, name = [b"", b"", *key.split(b"/")]
    if kind not in (b"drains", b"streamers"):
        return None
    return name.decode(), exists == (kind == b"drains")


def fill(history: History, prefix: str, streamers: dict[str, dict]) -> None:
    """Puts streamers; their values follow the schema, without its version."""
    for name, value in streamers.items():
        put(history, f"{prefix}streamers/{name}", v=1, **value)


def put(history: History, key: str, lease: int = 0, **value) -> None:
    """Puts a key with the keyword arguments as its JSON value."""
    history.put(key.encode(), json.dumps(value).encode(), lease)


def snapshot(history: History, prefix: str) -> dict[str, bytes]:
    """Returns the current values below a prefix, by key."""
    first = prefix.encode()
    return {k.decode(): v["value"] for k, v in history.at(history.revision, first, prefix_end(prefix))}


def _kv(key: bytes, value: dict) -> dict:
    encoded = {
        "key": _b64(key), "create_revision": str(value["create"]), "mod_revision": str(value["mod"]),
        "version": str(value["version"]), "value": _b64(value["value"]),
    }  # fmt: skip
    return encoded | ({"lease": str(value["lease"])} if value["lease"] else {})


def _b64(data: bytes) -> str:
    return base64.b64encode(data).decode("ascii")


def _bytes(text: str) -> bytes:
    with suppress(AttributeError):
        return base64.b64decode(text)
    raise BadBase64("a key or value is not base64")


def _json(value: dict, status: int = 200) -> Reply:
    return Reply(status, (("Content-Type", "application/json"),), json.dumps(value).encode() + b"\n")


def _error(code: int, message: str, status: int) -> Reply:
    return _json({"error": message, "code": code, "message": message}, status)
