"""A stand-in etcd: one history, members that serve it over the JSON gateway, and faults set while it runs.

Written from etcd's published API (reference, KV guarantees, the JSON of grpc-gateway): revisions, history
and compaction, leases with expiry, transactions that compare revisions, watches with progress and fragments,
tokens. Not here: consensus. The members share one history; one that lags shows it as it was.
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

FRAGMENT = 64  # events of one message; etcd cuts at 1.5 MB
ROOM = 128  # revisions that one message carries at most
BOUNDS = ProcessLimits(idle_seconds=600.0, body=1 << 20, write_seconds=10.0)


class History:
    """All that was ever put, at its revisions, and the leases; no I/O, times are the caller's."""

    def __init__(self):
        self.revision, self.compacted, self.cluster = 1, 0, 0xC1
        self.events: list[tuple[int, bytes, dict | None]] = []  # (revision, key, what it is then)
        self.now_at: dict[bytes, dict] = {}
        self.versions: dict[bytes, list[tuple[int, dict | None]]] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.of_lease: dict[int, set[bytes]] = {}
        self.changed = Event()
        self.noted: Callable[[bytes, dict | None], None] = lambda key, value: None
        self._count = 0

    def put(self, key: bytes, value: bytes, lease: int = 0) -> None:
        old = self.now_at.get(key)
        self.revision += 1
        self._note(
            key,
            {
                "value": value, "lease": lease, "mod": self.revision,
                "create": old["create"] if old else self.revision,
                "version": old["version"] + 1 if old else 1,
            },
        )  # fmt: skip

    def delete(self, *keys: bytes) -> int:
        """All in one revision, as a transaction or a lease's end does."""
        there = [key for key in keys if key in self.now_at]
        if there:
            self.revision += 1
            for key in there:
                self._note(key, None)
        return len(there)

    def _note(self, key: bytes, value: dict | None) -> None:
        for kept in self.of_lease.values():
            kept.discard(key)
        if value is None:
            self.now_at.pop(key, None)
        else:
            self.now_at[key] = value
            if value["lease"]:
                self.of_lease.setdefault(value["lease"], set()).add(key)
        self.events.append((self.revision, key, value))
        self.versions.setdefault(key, []).append((self.revision, value))
        self.noted(key, value)
        changed, self.changed = self.changed, Event()
        changed.set()

    def compact(self, revision: int | None = None) -> None:
        self.compacted = min(self.revision, revision or self.revision)
        cut = bisect_right(self.events, self.compacted, key=lambda event: event[0])
        del self.events[:cut]

    def at(self, revision: int, first: bytes, end: bytes) -> list[tuple[bytes, dict]]:
        """The keys of a range as they were."""
        if revision == self.revision:
            there = self.now_at.items()
        else:
            there = [
                (key, past[i - 1][1])
                for key, past in self.versions.items()
                if (i := bisect_right(past, revision, key=lambda v: v[0]))
            ]
        return sorted((k, v) for k, v in there if v and _inside(k, first, end))

    def since(self, revision: int, until: int) -> list[tuple[int, bytes, dict | None]]:
        """Events of revisions from one to another, both with."""
        low = bisect_right(self.events, revision - 1, key=lambda event: event[0])
        return self.events[low : bisect_right(self.events, until, key=lambda event: event[0])]

    # Leases.

    def grant(self, now: float, ttl: float) -> int:
        self._count += 1
        self.leases[self._count] = now + ttl, ttl
        return self._count

    def keep(self, now: float, lease: int) -> float:
        """The seconds that it has again, 0 where there is none."""
        if lease not in self.leases:
            return 0.0
        ttl = self.leases[lease][1]
        self.leases[lease] = now + ttl, ttl
        return ttl

    def revoke(self, lease: int) -> None:
        if self.leases.pop(lease, None):
            self.delete(*self.of_lease.pop(lease, set()))

    def expire(self, now: float) -> None:
        for lease in [lease for lease, (until, _) in self.leases.items() if until <= now]:
            self.revoke(lease)


def _inside(key: bytes, first: bytes, end: bytes) -> bool:
    return key == first if not end else key >= first and (end == b"\0" or key < end)


class Etcd:
    """A cluster of members on loopback.

    `log(who, what, **details)` gets a line for each drain, and for each time that a peer is told of it, with
    its User-Agent.
    """

    def __init__(self, members: int, clock: Callable[[], float], log: Callable = lambda *_, **__: None):
        self.history, self.clock, self.log = History(), clock, log
        self.progress, self.users, self.tokens = 5.0, {}, {}
        self.electing, self.random = float("-inf"), random.Random(members)
        self.history.noted = self._noted
        self.members = [Member(self, i) for i in range(members)]
        self._expiring = gevent.spawn(self._expire)

    @property
    def addresses(self) -> list[str]:
        return ["{}:{}".format(*member.address) for member in self.members]

    def elect(self, seconds: float) -> None:
        """A new leader is chosen for so long: of the writes meanwhile some are taken and none acknowledged.
        The new leader gives every lease its whole time again.
        """
        self.electing = self.clock() + seconds

        def elected() -> None:
            for lease in list(self.history.leases):
                self.history.keep(self.clock(), lease)

        gevent.spawn_later(seconds, elected)

    def _noted(self, key: bytes, value: dict | None) -> None:
        *_, sort, name = [b"", b"", *key.split(b"/")]
        if sort in (b"budgets", b"controllers"):
            told = None if value is None else value["value"].decode("utf-8", "replace")
            self.log("etcd", sort.decode(), name=name.decode(), revision=self.history.revision, value=told)
        if said := standing(key, value is not None):
            self.log("etcd", "drain", streamer=said[0], drained=said[1])

    def _expire(self) -> None:
        while True:
            gevent.sleep(0.1)
            if self.clock() >= self.electing:
                self.history.expire(self.clock())

    def cut(self) -> None:
        """Break every stream."""
        for member in self.members:
            member.cut()

    def close(self) -> None:
        self._expiring.kill(block=False)
        for member in self.members:
            member.stop()


class Member:
    """One member. Faults: `lag` seconds behind, `stuck` at a revision, `slow` seconds for each answer,
    `hold` seconds for each event, `withhold` seconds for each answer after its request was served, `repeat`
    of events, streams cut after `cut_after` bytes, another `cluster`.
    """

    def __init__(self, etcd: Etcd, number: int):
        self.etcd, self.number = etcd, number
        self.lag = self.slow = self.hold = self.withhold = 0.0
        self.stuck: int | None = None
        self.repeat, self.cut_after, self.cluster, self.parted = False, 0, 0, False
        self.streams: set[object] = set()
        self.past: list[tuple[float, int]] = []
        self.requests = self.opened = 0
        self.server: Server | None = None
        self.address = ("127.0.0.1", 0)
        self.start()

    def start(self) -> None:
        for tried in range(100):
            try:
                self.server = Server(listen(self.address), self.handle, BOUNDS)
                break
            except OSError:
                if tried == 99:
                    raise
                gevent.sleep(0.01)  # the greenlets of the process before still let go of its sockets
        self.address = self.server.address

    def stop(self) -> None:
        """As killed: its connections break."""
        if self.server:
            self.server.close()
            self.server = None

    def cut(self) -> None:
        self.streams.clear()

    def part(self, parted: bool) -> None:
        """Cut off from its peers, or back: it shows what it had, and can take nothing."""
        self.parted, self.stuck = parted, self.etcd.history.revision if parted else None

    def revision(self) -> int:
        """How far this member has got."""
        now, history = self.etcd.clock(), self.etcd.history
        if self.stuck is not None:
            return min(self.stuck, history.revision)
        if not self.lag:
            return history.revision
        if not self.past or self.past[-1][1] != history.revision:
            self.past.append((now, history.revision))
        seen = [revision for at, revision in self.past if at <= now - self.lag]
        self.past = self.past[-200:]
        return seen[-1] if seen else 1

    def header(self) -> dict:
        cluster = self.cluster or self.etcd.history.cluster
        return {
            "cluster_id": str(cluster), "member_id": str(self.number + 1), "revision": str(self.revision()),
            "raft_term": "2",
        }  # fmt: skip

    # The gateway.

    def handle(self, request: Request, peer: Peer) -> Reply:
        self.requests += 1
        if self.slow:
            gevent.sleep(self.slow)
        try:
            asked = json.loads(request.body or b"{}")
            path = "/".join(request.path)
            if path == "v3/auth/authenticate":
                return self._authenticate(asked)
            if self.etcd.users and request.headers.get("authorization") not in self.etcd.tokens:
                return _error(16, "etcdserver: invalid auth token", 401)
            who = request.headers.get("user-agent", "")
            serve = {
                "v3/kv/range": self._range, "v3/kv/put": self._put, "v3/kv/deleterange": self._delete,
                "v3/kv/txn": self._txn, "v3/kv/compaction": self._compact, "v3/watch": self._watch,
                "v3/lease/grant": self._grant, "v3/lease/keepalive": self._keep,
                "v3/lease/revoke": self._revoke,
            }.get(path)  # fmt: skip
            if path != "v3/watch" and serve and self.parted:
                return self._leaderless(asked, who, serve, path)
            if path not in ("v3/watch", "v3/kv/range") and serve and self.etcd.clock() < self.etcd.electing:
                if self.etcd.random.random() < 0.5:
                    serve(asked, who)
                return _error(14, "etcdserver: leader changed", 503)
            reply = serve(asked, who) if serve else _error(12, "Not Found", 404)
            if self.withhold and path != "v3/watch":
                gevent.sleep(self.withhold)
            return reply
        except (ValueError, KeyError, TypeError) as fault:
            return _error(3, f"bad request: {fault!r}", 400)

    def _leaderless(self, asked: dict, who: str, serve: Callable, path: str) -> Reply:
        """Only reads that may be stale are answered (KV API guarantees: serializable); others time out."""
        if path == "v3/kv/range" and asked.get("serializable"):
            return serve(asked, who)
        gevent.sleep(0.3)
        return _error(14, "etcdserver: request timed out", 503)

    def _authenticate(self, asked: dict) -> Reply:
        if self.etcd.users.get(asked["name"]) != asked["password"]:
            return _error(3, "etcdserver: authentication failed, invalid user ID or password", 400)
        token = f"token-{len(self.etcd.tokens) + 1}"
        self.etcd.tokens[token] = asked["name"]
        return self._reply(token=token)

    def _reply(self, **more) -> Reply:
        return _json({"header": self.header(), **more})

    def _range(self, asked: dict, who: str) -> Reply:
        history, here = self.etcd.history, self.revision()
        first, end = _bytes(asked["key"]), _bytes(asked.get("range_end", ""))
        revision, limit = int(asked.get("revision", 0)), int(asked.get("limit", 0))
        if revision > here:
            return _error(11, "etcdserver: mvcc: required revision is a future revision", 400)
        if revision and revision < history.compacted:
            return _error(11, "etcdserver: mvcc: required revision has been compacted", 400)
        found = history.at(revision or here, first, end)
        page = found[:limit] if limit else found
        self._told(who, [(key, value) for key, value in page])
        kvs = [_kv(key, value) for key, value in page]
        more = {"more": True} if len(page) < len(found) else {}
        return self._reply(kvs=kvs, count=str(len(found)), **more)

    def _put(self, asked: dict, who: str) -> Reply:
        lease = int(asked.get("lease", 0))
        if lease and lease not in self.etcd.history.leases:
            return _error(5, "etcdserver: requested lease not found", 404)
        self.etcd.history.put(_bytes(asked["key"]), _bytes(asked.get("value", "")), lease)
        return self._reply()

    def _delete(self, asked: dict, who: str) -> Reply:
        first, end = _bytes(asked["key"]), _bytes(asked.get("range_end", ""))
        keys = [key for key in self.etcd.history.now_at if _inside(key, first, end)]
        return self._reply(deleted=str(self.etcd.history.delete(*keys)))

    def _txn(self, asked: dict, who: str) -> Reply:
        history = self.etcd.history
        holds = True
        for compare in asked.get("compare", []):
            there = history.now_at.get(_bytes(compare["key"]))
            target = {"CREATE": "create", "MOD": "mod", "VERSION": "version"}.get(compare.get("target"))
            if target is None or compare.get("result", "EQUAL") != "EQUAL":
                return _error(12, "this stand-in compares revisions and versions for equality alone", 400)
            wanted = compare.get(target if target == "version" else f"{target}_revision", 0)
            holds &= (there[target] if there else 0) == int(wanted)
        responses = []
        for op in asked.get("success" if holds else "failure", []):
            name, inner = next(iter(op.items()))
            reply = {"request_put": self._put, "request_range": self._range}[name](inner, who)
            if reply.status != 200:
                return reply
            responses.append({name.replace("request", "response"): json.loads(reply.body)})
        return self._reply(responses=responses, **({"succeeded": True} if holds else {}))

    def _compact(self, asked: dict, who: str) -> Reply:
        self.etcd.history.compact(int(asked["revision"]))
        return self._reply()

    def _grant(self, asked: dict, who: str) -> Reply:
        ttl = int(asked["TTL"])
        return self._reply(ID=str(self.etcd.history.grant(self.etcd.clock(), ttl)), TTL=str(ttl))

    def _keep(self, asked: dict, who: str) -> Reply:
        lease = int(asked["ID"])
        self.etcd.history.expire(self.etcd.clock())
        ttl = self.etcd.history.keep(self.etcd.clock(), lease)
        told = {"header": self.header(), "ID": str(lease), **({"TTL": str(int(ttl))} if ttl else {})}
        return _json({"result": told})

    def _revoke(self, asked: dict, who: str) -> Reply:
        self.etcd.history.revoke(int(asked["ID"]))
        return self._reply()

    # Watches.

    def _watch(self, asked: dict, who: str) -> Reply:
        create = asked["create_request"]
        self.opened += 1
        return Reply(200, (("Content-Type", "application/json"),), self._stream(create, who))

    def _stream(self, create: dict, who: str) -> Iterator[bytes]:
        """The messages as bytes; a cut, wherever in a message, breaks the connection."""
        mark, sent = object(), 0
        self.streams.add(mark)
        try:
            for message, told in self._messages(create, mark):
                data = json.dumps({"result": message}).encode() + b"\n"
                if self.cut_after and sent + len(data) > self.cut_after:
                    yield data[: max(1, self.cut_after - sent)]
                    raise ConnectionResetError("cut")
                sent += len(data)
                yield data
                # Only now has its last byte been handed to the network: what is cut short tells nothing.
                self._told(who, told)
            raise ConnectionResetError("cut")
        finally:
            self.streams.discard(mark)

    def _messages(self, create: dict, mark: object) -> Iterator[tuple[dict, list]]:
        history = self.etcd.history
        first, end = _bytes(create["key"]), _bytes(create.get("range_end", ""))
        after = int(create.get("start_revision", 0)) or self.revision() + 1
        whole, filters = not create.get("fragment"), create.get("filters", ())
        yield {"header": self.header(), "created": True}, []
        noted = self.etcd.clock()
        while mark in self.streams:
            changed = history.changed
            if after <= history.compacted and after <= self.revision():
                reason = "etcdserver: mvcc: required revision has been compacted"
                yield {
                    "header": self.header(), "canceled": True, "compact_revision": str(history.compacted),
                    "cancel_reason": reason,
                }, []  # fmt: skip
                return
            until = min(self.revision(), after + ROOM - 1)
            if until >= after:
                if self.hold:
                    gevent.sleep(self.hold)
                events = [
                    e for e in history.since(after, until)
                    if _inside(e[1], first, end) and ("NOPUT" if e[2] else "NODELETE") not in filters
                ]  # fmt: skip
                after = until + 1
                for _ in range(2 if self.repeat else 1):
                    yield from self._parts(events, whole)
                noted = self.etcd.clock()
                continue
            if create.get("progress_notify") and self.etcd.clock() - noted >= self.etcd.progress:
                noted = self.etcd.clock()
                yield {"header": self.header()}, []
            changed.wait(0.02 if self.lag or self.stuck is not None else 0.1)

    def _parts(self, events: list, whole: bool) -> Iterator[tuple[dict, list]]:
        size = len(events) if whole else FRAGMENT
        for i in range(0, len(events), max(1, size)):
            part = events[i : i + size]
            told = [
                {"kv": _kv(key, value)} if value else
                {"type": "DELETE", "kv": {"key": _b64(key), "mod_revision": str(revision)}}
                for revision, key, value in part
            ]  # fmt: skip
            last = i + size >= len(events)
            yield (
                {"header": self.header(), "events": told, **({} if last else {"fragment": True})},
                [(key, value) for _, key, value in part],
            )

    def _told(self, who: str, pairs: list[tuple[bytes, dict | None]]) -> None:
        for key, value in pairs:
            parts = key.split(b"/")
            if len(parts) > 2 and parts[-2] == b"drains":
                self.etcd.log(
                    "etcd", "told", front=who, streamer=parts[-1].decode(), drained=value is not None
                )


def standing(key: bytes, there: bool) -> tuple[str, bool] | None:
    """What a key says of a streamer: its name, and whether no new work may go to it."""
    *_, kind, name = [b"", b"", *key.split(b"/")]
    if kind not in (b"drains", b"streamers"):
        return None
    return name.decode(), there == (kind == b"drains")


def fill(history: History, prefix: str, streamers: dict[str, dict]) -> None:
    """Put streamers, values of the schema without their version."""
    for name, value in streamers.items():
        put(history, f"{prefix}streamers/{name}", v=1, **value)


def put(history: History, key: str, lease: int = 0, **value) -> None:
    history.put(key.encode(), json.dumps(value).encode(), lease)


def whole(history: History, prefix: str) -> dict[str, bytes]:
    """What a reader of the prefix finds now."""
    first = prefix.encode()
    return {k.decode(): v["value"] for k, v in history.at(history.revision, first, prefix_end(prefix))}


def _kv(key: bytes, value: dict) -> dict:
    told = {
        "key": _b64(key), "create_revision": str(value["create"]), "mod_revision": str(value["mod"]),
        "version": str(value["version"]), "value": _b64(value["value"]),
    }  # fmt: skip
    return told | ({"lease": str(value["lease"])} if value["lease"] else {})


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
