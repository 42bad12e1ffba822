"""The gevent client of etcd: carries requests and replies for `herongap.etcd`, which makes the decisions."""

import time
from collections.abc import Callable

import gevent
import h11
import structlog

from herongap.accord import Terms
from herongap.daemon.budgets import Budgets
from herongap.daemon.file_watcher import epoch_on_clock
from herongap.daemon.http_connection import ClientConnection, ConnectionPool, PeerDisconnectedError
from herongap.daemon.list_cache import ListCache
from herongap.daemon.listen import read_address
from herongap.etcd import Directory, Endpoints, Follower, Frames, Membership, Need, Refused, Step, Told
from herongap.etcd import messages as m
from herongap.etcd.keys import changed_value
from herongap.ini.parts import Etcd

RANK_CHECK_SECONDS = 0.1  # between two checks whether the lease still holds; the lease's MARGIN covers it
PAGE_SIZE = 1000  # keys in one page of a read
REVOKE_TIMEOUT_SECONDS = 0.5
NETWORK_ERRORS = (OSError, PeerDisconnectedError, h11.RemoteProtocolError, Refused, m.Garbled)
log = structlog.get_logger()


class EtcdClient:
    """Unary requests to the members of one cluster, with an authentication token if one is configured."""

    def __init__(self, settings: Etcd, name: str):
        self.settings, self.name, self.token = settings, name, ""
        self.pools: dict[str, ConnectionPool] = {}

    def headers(self, address: str) -> list[tuple[str, str]]:
        """Return the headers of any request; authenticates at `address` first if a token is missing."""
        if self.settings.user and not self.token:
            self._authenticate(address)
        return self._headers()

    def _headers(self) -> list[tuple[str, str]]:
        headers = [("User-Agent", self.name), ("Content-Type", "application/json")]
        return headers + ([("Authorization", self.token)] if self.token else [])

    def call(self, address: str, path: str, body: bytes, kind: type):
        """Send one request and decode its reply as `kind`; an expired token is renewed once.

        Raises one of NETWORK_ERRORS.
        """
        try:
            return self._call(address, path, body, kind, self.headers(address))
        except Refused as error:
            if error.code != m.UNAUTHENTICATED or not self.settings.user:
                raise
        self.forget_token()
        return self._call(address, path, body, kind, self.headers(address))

    def _call(self, address: str, path: str, body: bytes, kind: type, headers: list[tuple[str, str]]):
        pool = self.pools.get(address)
        if pool is None:
            pool = self.pools[address] = ConnectionPool(read_address(address), self.settings.connect)
        reply = pool.call("POST", path, headers, body, self.settings.time_out)
        if reply.status != 200:
            raise m.refusal(reply.body)
        return m.read(reply.body, kind)

    def forget_token(self) -> None:
        """Drop the token, so that the next request authenticates again."""
        self.token = ""

    def _authenticate(self, address: str) -> None:
        body = m.authenticate_body(self.settings.user, self.settings.secret())
        self.token = self._call(address, "/v3/auth/authenticate", body, m.Token, self._headers()).token

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self.pools.values():
            pool.close()


class StreamerRegistry:
    """The streamer list, controller membership and budgets in etcd, for one controller.

    `on_list_change(kind, entries, addresses)` is called at every change of the list, `on_rank_change(rank,
    count)` at every change of this controller's rank among the live ones, `on_room_change(name, room)` when a
    budget's room for new work changes.
    """

    def __init__(self, settings: Etcd, number: int, expected: int, seed: int, name: str, clock: Callable,
                 on_list_change: Callable, on_rank_change: Callable, budgets: tuple[Terms, ...] = (),
                 on_room_change: Callable = lambda name, room: None):  # fmt: skip
        self.settings, self.name, self.clock = settings, name, clock
        self.on_list_change, self.on_rank_change = on_list_change, on_rank_change
        self.client = EtcdClient(settings, name)
        self.endpoints = Endpoints(settings.endpoints, seed)
        # Separate for writes: a member cut off from its peers still serves what it had, but takes no writes.
        self.write_endpoints = Endpoints(settings.endpoints, seed)
        self.follower = Follower()
        self.directory = Directory(settings.prefix, epoch_on_clock(clock))
        self.membership = Membership(number, expected, settings.ttl)
        self.claim_key = f"{settings.prefix}controllers/{number}"
        self.claim_revision, self.renewal_failing = -1, False
        callbacks = self._commit, NETWORK_ERRORS, self._live_claims, on_room_change
        self.budgets = budgets and Budgets(
            budgets, settings.prefix, number, settings.ttl, seed, clock, *callbacks
        )
        self.cache = ListCache(settings.remembered) if settings.remembered else None
        self.confirmed_at: float | None = None  # when the list was last known to be complete
        self.from_cache, self.place = False, None
        self._has_unpublished = False
        self._stream: ClientConnection | None = None
        self._cached_revision = 0

    @property
    def state(self) -> str:
        """The state in one word, for operators; the page `operators/etcd.md` explains each."""
        if self.follower.watching:
            return "following"
        if self.confirmed_at is None:
            return "remembered" if self.from_cache else "starting"
        return "reading" if self.follower.need is Need.READ else "lost"

    def status(self) -> dict:
        """Return the state of the list, the membership and the budgets, for operators."""
        f, now = self.follower, self.clock()
        age = None if self.confirmed_at is None else round(now - self.confirmed_at, 3)
        controllers = {str(n): name for n, name in sorted(self.directory.controllers.items())}
        return {
            "state": self.state, "revision": f.revision, "seen": f.seen, "cluster": f"{f.cluster:x}",
            "age": age, "counts": f.counts, "bad": self.directory.bad,
            "drains": sorted(self.directory.drains),
            "controllers": controllers, "number": self.membership.number,
            "holds_number": self.membership.holds(now), "place": self.place and list(self.place),
            "budgets": self.budgets.status() if self.budgets else {},
        }  # fmt: skip

    def start(self) -> list:
        """Publish the cached list, if any, then follow etcd; returns the greenlets that do so."""
        cached = self.cache.load() if self.cache else None
        if cached:
            self.follower = Follower(*cached)
            self.from_cache = True
            self._publish("remembered", first=True)
            log.warning(
                "started from the cached list", streamers=len(self.directory.streamers), revision=cached[1]
            )
        runs = (
            self.follow,
            self._keep_lease,
            self._recheck_rank,
            *((self._save_periodically,) if self.cache else ()),
        )
        runs += (self.budgets.run,) if self.budgets else ()
        return [gevent.spawn(run) for run in runs]

    # The streamer list.

    def follow(self) -> None:
        """Read the list and follow its changes; never returns."""
        while True:
            address = self.endpoints.choose(self.clock())
            try:
                if self.follower.need is Need.READ:
                    self._read_list(address)
                else:
                    self._watch(address)
            except NETWORK_ERRORS as error:
                self.endpoints.failed(address)
                if isinstance(error, Refused) and error.code == m.UNAUTHENTICATED:
                    self.client.forget_token()
                log.warning("etcd request failed", member=address, cause=repr(error), state=self.state)
            except Exception:
                # Internal error: retrying is better than a list that silently stops being updated.
                self.endpoints.failed(address)
                log.exception("internal error while following the list", member=address)
            gevent.sleep(self.endpoints.wait())

    def _read_list(self, address: str) -> None:
        result = Told.PART
        while result is Told.PART:
            after, revision = self.follower.read_from()
            first_key = after.encode("utf-8", "surrogateescape") + b"\0" if after else self.settings.prefix
            body = m.range_body(first_key, m.end_of(self.settings.prefix), revision, PAGE_SIZE)
            try:
                reply = self.client.call(address, "/v3/kv/range", body, m.Range)
            except NETWORK_ERRORS:
                self.follower.unread()
                raise
            result = self.follower.paged(reply)
        if not self._is_usable(address, result, reply.header.cluster_id):
            return
        self.endpoints.fine(address)
        first = self.confirmed_at is None and not self.from_cache
        self.from_cache, self.confirmed_at = False, self.clock()
        self._publish("whole", first)
        log.info("list read", member=address, revision=self.follower.revision,
                 streamers=len(self.directory.streamers), bad=len(self.directory.bad))  # fmt: skip

    def _watch(self, address: str) -> None:
        generation, start = self.follower.watch_from()
        headers = self.client.headers(address)
        stream = self._stream = ClientConnection(read_address(address), self.settings.connect)
        frames = Frames()
        try:
            stream.send("POST", "/v3/watch", headers, m.watch_body(self.settings.prefix, start))
            head = stream.head(time.monotonic() + self.settings.time_out)
            if head.status != 200:
                raise m.refusal(b"".join(stream.chunks(self.settings.time_out)))
            while True:
                timeout = self.settings.silent if self.follower.watching else self.settings.time_out
                try:
                    chunk = stream.chunk(timeout)
                except TimeoutError:
                    if not self.follower.watching:
                        raise
                    # Either nothing has changed, or the member is cut off from the others and cannot know. A
                    # new watch, at another member, misses nothing.
                    self.endpoints.quiet(address)
                    return
                if chunk is None:
                    raise ConnectionResetError("watch stream ended")
                for line in frames.feed(chunk):
                    if not self._process_watch_reply(generation, address, m.read_line(line, m.Watch)):
                        return
                self._publish("changes")
        finally:
            self.follower.broke(generation)
            stream.close()
            self._publish("changes")

    def _process_watch_reply(self, generation: int, address: str, reply: m.Watch) -> bool:
        """Pass a message of the watch to the follower; return whether to go on with this watch."""
        result = self.follower.watched(generation, reply)
        if result is Told.TAKEN:
            self.confirmed_at = self.clock()
        if reply.created and result is Told.TAKEN:
            self.endpoints.fine(address)
        if result in (Told.ENDED, Told.COMPACTED):
            log.warning("watch ended", member=address, cause=reply.cancel_reason, word=result.value)
            if result is Told.ENDED:
                self.endpoints.failed(address)
            return False
        return self._is_usable(address, result, reply.header.cluster_id)

    def _is_usable(self, address: str, result: Told, cluster: int) -> bool:
        """Return whether a member's reply was current and of the cluster that is followed."""
        if result is Told.BEHIND:
            self.endpoints.behind(self.clock(), address)
            log.warning("etcd member behind", member=address, seen=self.follower.seen)
            return False
        if result is Told.FOREIGN:
            log.error("etcd member belongs to another cluster", member=address, cluster=cluster)
            if self.endpoints.foreign(self.clock(), address, cluster):
                log.error("switched to another cluster: every member belongs to it", cluster=cluster)
                self.follower.adopt(cluster)
                if self.budgets:
                    # Leases and revisions of the previous cluster mean nothing in this one.
                    self.membership.lapsed()
                    self.budgets.reset()
            return False
        return True

    def _publish(self, kind: str, first: bool = False) -> None:
        """Report changes of the list.

        A "whole" list is complete, so that missing streamers count as removed.
        """
        if self._has_unpublished:
            kind = "whole"  # an error came after changes were taken and before they were reported
        changes = self.follower.changes()
        if self.budgets and self.follower.need is not Need.READ:
            self.budgets.documents_changed(self.follower.revision, self.follower.items)
        if not changes and kind == "changes":
            return
        self._has_unpublished = True
        touched = self.directory.take(self.clock(), changes, first)
        entries = self.directory.lines(touched) if kind == "changes" else self.directory.whole()
        if touched or kind != "changes":
            # Addresses of the reported entries only: a list of thousands changes a thousand times a second.
            self.on_list_change(kind, entries, self.directory.addresses(entry.streamer for entry in entries))
        self._has_unpublished = False
        self._update_rank()

    # The membership of this controller.

    def _keep_lease(self) -> None:
        """Hold the lease and the claim of the controller number; never returns."""
        while True:
            now = self.clock()
            step = self.membership.step(now)
            if step:
                try:
                    self._run_step(step, now)
                except NETWORK_ERRORS as error:
                    self.membership.failed(self.clock())
                    self.renewal_failing = True
                    log.warning("lease request failed", step=step.value, cause=repr(error))
                    if isinstance(error, Refused) and error.code == m.NOT_FOUND:
                        self.membership.lapsed()
                except Exception:
                    self.membership.failed(self.clock())
                    log.exception("internal error while keeping the lease", step=step.value)
            gevent.sleep(min(0.2, max(0.01, self.membership.due - self.clock())))

    def _recheck_rank(self) -> None:
        """Update the rank periodically: a lease expires with time, also while its renewal hangs."""
        while True:
            self._update_rank()
            gevent.sleep(RANK_CHECK_SECONDS)

    def _run_step(self, step: Step, now: float) -> None:
        match step:
            case Step.GRANT:
                reply = self._write("/v3/lease/grant", m.grant_body(int(self.settings.ttl)), m.Lease)
                self.membership.granted(now, reply.ID, reply.TTL)
            case Step.CLAIM:
                value = changed_value(None, name=self.name)
                body = m.claim_body(self.claim_key, value, self.membership.lease)
                reply = self._write("/v3/kv/txn", body, m.Txn)
                won = reply.won(self.membership.lease)
                if won:
                    self.claim_revision = (
                        reply.header.revision if reply.succeeded else reply.found.create_revision
                    )
                self.membership.claim_answered(self.clock(), now, won)
                if not won:
                    log.warning("controller number held by another process", key=self.claim_key)
            case Step.KEEP:
                body = m.lease_body(self.membership.lease)
                reply = self._write("/v3/lease/keepalive", body, _KeepAliveReply)
                self.membership.kept(now, reply.result.TTL)
                self.renewal_failing = False

    def _write(self, path: str, body: bytes, kind: type):
        """Send a request that changes something, to a member that took the last one."""
        address = self.write_endpoints.choose(self.clock())
        try:
            reply = self.client.call(address, path, body, kind)
        except NETWORK_ERRORS:
            self.write_endpoints.failed(address)
            raise
        self.write_endpoints.fine(address)
        return reply

    def _commit(self, body: bytes) -> m.Txn:
        """Send a transaction; an answer of another cluster counts as none."""
        reply = self._write("/v3/kv/txn", body, m.Txn)
        if reply.header.cluster_id != self.follower.cluster:
            raise m.Garbled(f"another cluster: {reply.header.cluster_id:x}")
        return reply

    def _live_claims(self) -> dict[str, int] | None:
        """Return each live controller's claim; None while the list is not being followed."""
        if not self.follower.watching:
            return None
        start = f"{self.settings.prefix}controllers/"
        found = self.follower.items.items()
        return {key.removeprefix(start): item.create for key, item in found if key.startswith(start)}

    def is_rank_valid(self) -> bool:
        """Return whether the rank reported last still holds; a process that was stopped checks before it
        acts.
        """
        return self.place is None or self.place.rank is None or self.membership.holds(self.clock())

    def _update_rank(self) -> None:
        if self.budgets:
            held = self.membership.holds(self.clock())
            self.budgets.lease_changed(self.claim_revision, self.membership.until, held, self.renewal_failing)
        live = None if self.confirmed_at is None else self.directory.controllers
        place = self.membership.place(self.clock(), live)
        if place != self.place:
            self.place = place
            self.on_rank_change(*place)

    # The cache on disk.

    def _save_periodically(self) -> None:
        while True:
            gevent.sleep(self.settings.keep)
            self._save()

    def _save(self) -> None:
        f = self.follower
        if self.confirmed_at is not None and f.revision != self._cached_revision:
            self._cached_revision = f.revision
            self.cache.save(f.cluster, f.revision, f.items)

    def close(self) -> None:
        """Revoke the lease, if that can be done at once, so that a next process gets the number; save the
        list.
        """
        if self._stream:
            self._stream.close()
        if self.membership.lease:
            try:
                body = m.lease_body(self.membership.lease)
                with gevent.Timeout(REVOKE_TIMEOUT_SECONDS, OSError("too slow")):
                    self._write("/v3/lease/revoke", body, m.Lease)
            except NETWORK_ERRORS as error:
                log.info("lease not revoked, it will expire", cause=repr(error))
        if self.cache:
            self._save()
            self.cache.close()
        self.client.close()


class _KeepAliveReply(m.msgspec.Struct):
    result: m.Lease
