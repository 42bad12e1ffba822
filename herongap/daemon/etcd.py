"""The gevent client of etcd: carries between sockets and the machines of `herongap.etcd`, which decide."""

import time
from collections.abc import Callable

import gevent
import h11
import structlog

from herongap.accord import BudgetTerms
from herongap.daemon.budgets import Budgets
from herongap.daemon.file_watcher import epoch_on_clock
from herongap.daemon.http_connection import ClientConnection, ConnectionPool, PeerDisconnectedError
from herongap.daemon.list_cache import ListCache
from herongap.daemon.listen import read_address
from herongap.etcd import (
    EndpointSelector,
    EtcdError,
    LeaseRequest,
    LineSplitter,
    Membership,
    MessageOutcome,
    NextAction,
    PrefixFollower,
    RegistryState,
)
from herongap.etcd import messages as m
from herongap.etcd.keys import update_value
from herongap.ini.parts import Etcd

DOUBT = 0.1  # seconds between two looks at whether the lease still holds; CLOCK_MARGIN_SECONDS covers it
PAGE = 1000  # keys of one page of a read
NETWORK_ERRORS = (OSError, PeerDisconnectedError, h11.RemoteProtocolError, EtcdError, m.MalformedReplyError)
log = structlog.get_logger()


class EtcdClient:
    """Unary calls to one cluster, with its token where it asks for one."""

    def __init__(self, terms: Etcd, name: str):
        self.terms, self.name, self.token = terms, name, ""
        self.pools: dict[str, ConnectionPool] = {}

    def headers(self, address: str) -> list[tuple[str, str]]:
        """The headers of any request, with a token made there if one is needed and missing."""
        if self.terms.user and not self.token:
            self._authenticate(address)
        return self._headers()

    def _headers(self) -> list[tuple[str, str]]:
        told = [("User-Agent", self.name), ("Content-Type", "application/json")]
        return told + ([("Authorization", self.token)] if self.token else [])

    def call(self, address: str, path: str, body: bytes, kind: type):
        """One request; raises OSError, EtcdError or MalformedReplyError. An expired token is renewed once."""
        try:
            return self._call(address, path, body, kind, self.headers(address))
        except EtcdError as fault:
            if fault.code != m.GRPC_UNAUTHENTICATED or not self.terms.user:
                raise
        self.forget_token()
        return self._call(address, path, body, kind, self.headers(address))

    def _call(self, address: str, path: str, body: bytes, kind: type, headers: list[tuple[str, str]]):
        pool = self.pools.get(address)
        if pool is None:
            pool = self.pools[address] = ConnectionPool(read_address(address), self.terms.connect)
        reply = pool.call("POST", path, headers, body, self.terms.time_out)
        if reply.status != 200:
            raise m.decode_error(reply.body)
        return m.decode_reply(reply.body, kind)

    def forget_token(self) -> None:
        self.token = ""

    def _authenticate(self, address: str) -> None:
        body = m.authenticate_body(self.terms.user, self.terms.secret())
        self.token = self._call(
            address, "/v3/auth/authenticate", body, m.AuthenticateResponse, self._headers()
        ).token

    def close(self) -> None:
        for pool in self.pools.values():
            pool.close()


class StreamerRegistry:
    """The list of streamers over etcd, for one controller.

    `listed(kind, lines, addresses)` is told of every change, `counted(rank, count)` of every change of this
    controller's place among the live ones.
    """

    def __init__(self, terms: Etcd, number: int, expected: int, seed: int, name: str, clock: Callable,
                 listed: Callable, counted: Callable, budgets: tuple[BudgetTerms, ...] = (),
                 given: Callable = lambda name, room: None):  # fmt: skip
        self.terms, self.name, self.clock = terms, name, clock
        self.on_list_change, self.on_rank_change = listed, counted
        self.client = EtcdClient(terms, name)
        self.endpoints = EndpointSelector(terms.endpoints, seed)
        # A member that is cut off from its peers still shows what it had, and takes nothing.
        self.takers = EndpointSelector(terms.endpoints, seed)
        self.follower = PrefixFollower()
        self.directory = RegistryState(terms.prefix, epoch_on_clock(clock))
        self.membership = Membership(number, expected, terms.ttl)
        self.key = f"{terms.prefix}controllers/{number}"
        self.life, self.failing = -1, False  # the revision of our claim; whether a renewal has failed
        carries = self._swap, NETWORK_ERRORS, self._claims, given
        self.budgets = budgets and Budgets(budgets, terms.prefix, number, terms.ttl, seed, clock, *carries)
        self.store = ListCache(terms.remembered) if terms.remembered else None
        self.known_at: float | None = None  # when the list was last known to be whole
        self.from_store, self.place = False, None
        self._owed = False
        self._stream: ClientConnection | None = None
        self._stored = 0

    @property
    def state(self) -> str:
        """In one word, for operators; the page `operators/etcd.md` says what each means."""
        if self.follower.watching:
            return "following"
        if self.known_at is None:
            return "remembered" if self.from_store else "starting"
        return "reading" if self.follower.next_action is NextAction.READ else "lost"

    def status(self) -> dict:
        """Where the list stands, for operators."""
        f, now = self.follower, self.clock()
        age = None if self.known_at is None else round(now - self.known_at, 3)
        controllers = {str(n): name for n, name in sorted(self.directory.controllers.items())}
        return {
            "state": self.state, "revision": f.revision, "seen": f.highest_revision,
            "cluster": f"{f.cluster:x}",
            "age": age, "counts": f.counts, "bad": self.directory.bad_values,
            "drains": sorted(self.directory.drains),
            "controllers": controllers, "number": self.membership.number,
            "holds_number": self.membership.holds_number(now), "place": self.place and list(self.place),
            "budgets": self.budgets.status() if self.budgets else {},
        }  # fmt: skip

    def start(self) -> list:
        """Take what is remembered, then follow; gives the greenlets that do."""
        kept = self.store.load() if self.store else None
        if kept:
            self.follower = PrefixFollower(*kept)
            self.from_store = True
            self._publish("remembered", first=True)
            log.warning("list remembered", streamers=len(self.directory.streamers), revision=kept[1])
        runs = (self.follow, self._live, self._doubt, *((self._keep,) if self.store else ()))
        runs += (self.budgets.run,) if self.budgets else ()
        return [gevent.spawn(run) for run in runs]

    # The list.

    def follow(self) -> None:
        """Follow the list for ever."""
        while True:
            address = self.endpoints.choose(self.clock())
            try:
                if self.follower.next_action is NextAction.READ:
                    self._read(address)
                else:
                    self._watch(address)
            except NETWORK_ERRORS as fault:
                self.endpoints.mark_failed(address)
                if isinstance(fault, EtcdError) and fault.code == m.GRPC_UNAUTHENTICATED:
                    self.client.forget_token()
                log.warning("etcd failed", member=address, cause=repr(fault), state=self.state)
            except Exception:
                # A fault of ours: a list that has silently stopped would be worse than one that is tried on.
                self.endpoints.mark_failed(address)
                log.exception("the list could not be taken", member=address)
            gevent.sleep(self.endpoints.retry_delay())

    def _read(self, address: str) -> None:
        told = MessageOutcome.PARTIAL
        while told is MessageOutcome.PARTIAL:
            after, revision = self.follower.next_page_start()
            first = after.encode("utf-8", "surrogateescape") + b"\0" if after else self.terms.prefix
            body = m.range_body(first, m.prefix_end(self.terms.prefix), revision, PAGE)
            try:
                reply = self.client.call(address, "/v3/kv/range", body, m.RangeResponse)
            except NETWORK_ERRORS:
                self.follower.abort_read()
                raise
            told = self.follower.handle_page(reply)
        if not self._worth(address, told, reply.header.cluster_id):
            return
        self.endpoints.mark_healthy(address)
        first = self.known_at is None and not self.from_store
        self.from_store, self.known_at = False, self.clock()
        self._publish("whole", first)
        log.info("list read", member=address, revision=self.follower.revision,
                 streamers=len(self.directory.streamers), bad=len(self.directory.bad_values))  # fmt: skip

    def _watch(self, address: str) -> None:
        turn, start = self.follower.start_watch()
        headers = self.client.headers(address)
        call = self._stream = ClientConnection(read_address(address), self.terms.connect)
        frames = LineSplitter()
        try:
            call.send("POST", "/v3/watch", headers, m.watch_body(self.terms.prefix, start))
            head = call.head(time.monotonic() + self.terms.time_out)
            if head.status != 200:
                raise m.decode_error(b"".join(call.chunks(self.terms.time_out)))
            while True:
                quiet = self.terms.silent if self.follower.watching else self.terms.time_out
                try:
                    chunk = call.chunk(quiet)
                except TimeoutError:
                    if not self.follower.watching:
                        raise
                    # Nothing to tell, or cut off from the others and unable to: a new watch misses nothing.
                    self.endpoints.mark_silent(address)
                    return
                if chunk is None:
                    raise ConnectionResetError("the stream ended")
                for line in frames.feed(chunk):
                    if not self._told(turn, address, m.decode_stream_line(line, m.WatchResponse)):
                        return
                self._publish("changes")
        finally:
            self.follower.stop_watch(turn)
            call.close()
            self._publish("changes")

    def _told(self, turn: int, address: str, reply: m.WatchResponse) -> bool:
        """Whether this watch is worth going on with."""
        told = self.follower.handle_watch(turn, reply)
        if told is MessageOutcome.APPLIED:
            self.known_at = self.clock()
        if reply.created and told is MessageOutcome.APPLIED:
            self.endpoints.mark_healthy(address)
        if told in (MessageOutcome.CANCELED, MessageOutcome.COMPACTED):
            log.warning("watch ended", member=address, cause=reply.cancel_reason, word=told.value)
            if told is MessageOutcome.CANCELED:
                self.endpoints.mark_failed(address)
            return False
        return self._worth(address, told, reply.header.cluster_id)

    def _worth(self, address: str, told: MessageOutcome, cluster: int) -> bool:
        if told is MessageOutcome.MEMBER_BEHIND:
            self.endpoints.mark_behind(self.clock(), address)
            log.warning("etcd member behind", member=address, seen=self.follower.highest_revision)
            return False
        if told is MessageOutcome.OTHER_CLUSTER:
            log.error("etcd member of another cluster", member=address, cluster=cluster)
            if self.endpoints.mark_other_cluster(self.clock(), address, cluster):
                log.error("another cluster followed, every member names it", cluster=cluster)
                self.follower.switch_cluster(cluster)
                if self.budgets:
                    # Leases and revisions of the one before mean nothing in this one.
                    self.membership.lease_lost()
                    self.budgets.set_back()
            return False
        return True

    def _publish(self, kind: str, first: bool = False) -> None:
        """Tell what has changed; a whole list is told whole, so that what vanished is known to."""
        if self._owed:
            kind = "whole"  # changes were taken and never told: a fault came between
        changes = self.follower.take_changes()
        if self.budgets and self.follower.next_action is not NextAction.READ:
            self.budgets.heard(self.follower.revision, self.follower.items)
        if not changes and kind == "changes":
            return
        self._owed = True
        touched = self.directory.apply(self.clock(), changes, first)
        lines = self.directory.entries(touched) if kind == "changes" else self.directory.all_entries()
        if touched or kind != "changes":
            # Addresses of what has changed alone: a list of thousands changes a thousand times a second.
            self.on_list_change(kind, lines, self.directory.addresses(line.streamer for line in lines))
        self._owed = False
        self._reckon()

    # Controllers.

    def _live(self) -> None:
        """Hold the lease and the number."""
        while True:
            now = self.clock()
            step = self.membership.next_request(now)
            if step:
                try:
                    self._ask(step, now)
                except NETWORK_ERRORS as fault:
                    self.membership.request_failed(self.clock())
                    self.failing = True
                    log.warning("lease not kept", step=step.value, cause=repr(fault))
                    if isinstance(fault, EtcdError) and fault.code == m.GRPC_NOT_FOUND:
                        self.membership.lease_lost()
                except Exception:
                    self.membership.request_failed(self.clock())
                    log.exception("lease not kept", step=step.value)
            gevent.sleep(min(0.2, max(0.01, self.membership.next_due - self.clock())))

    def _doubt(self) -> None:
        """The place changes by time alone too, also while a request hangs that would renew the lease."""
        while True:
            self._reckon()
            gevent.sleep(DOUBT)

    def _ask(self, step: LeaseRequest, now: float) -> None:
        match step:
            case LeaseRequest.GRANT:
                reply = self._take("/v3/lease/grant", m.grant_body(int(self.terms.ttl)), m.LeaseResponse)
                self.membership.lease_granted(now, reply.ID, reply.TTL)
            case LeaseRequest.CLAIM:
                value = update_value(None, name=self.name)
                body = m.claim_body(self.key, value, self.membership.lease)
                reply = self._take("/v3/kv/txn", body, m.TxnResponse)
                won = reply.claimed(self.membership.lease)
                if won:
                    self.life = reply.header.revision if reply.succeeded else reply.existing.create_revision
                self.membership.claim_answered(self.clock(), now, won)
                if not won:
                    log.warning("number held by another", key=self.key)
            case LeaseRequest.KEEP_ALIVE:
                body = m.lease_body(self.membership.lease)
                call = self._take("/v3/lease/keepalive", body, _Kept)
                self.membership.keepalive_answered(now, call.result.TTL)
                self.failing = False

    def _take(self, path: str, body: bytes, kind: type):
        """A request that changes something, at a member that took the last one."""
        address = self.takers.choose(self.clock())
        try:
            reply = self.client.call(address, path, body, kind)
        except NETWORK_ERRORS:
            self.takers.mark_failed(address)
            raise
        self.takers.mark_healthy(address)
        return reply

    def _swap(self, body: bytes) -> m.TxnResponse:
        """A transaction; one that another cluster answers is as good as unanswered."""
        reply = self._take("/v3/kv/txn", body, m.TxnResponse)
        if reply.header.cluster_id != self.follower.cluster:
            raise m.MalformedReplyError(f"another cluster: {reply.header.cluster_id:x}")
        return reply

    def _claims(self) -> dict[str, int] | None:
        """Each live controller's claim, None while the list does not follow."""
        if not self.follower.watching:
            return None
        start = f"{self.terms.prefix}controllers/"
        found = self.follower.items.items()
        return {key.removeprefix(start): item.create_revision for key, item in found if key.startswith(start)}

    def ranked(self) -> bool:
        """Whether the place that was told last still holds: one that was stopped asks before it acts."""
        return self.place is None or self.place.rank is None or self.membership.holds_number(self.clock())

    def _reckon(self) -> None:
        if self.budgets:
            held = self.membership.holds_number(self.clock())
            self.budgets.leased(self.life, self.membership.trusted_until, held, self.failing)
        live = None if self.known_at is None else self.directory.controllers
        place = self.membership.rank_among(self.clock(), live)
        if place != self.place:
            self.place = place
            self.on_rank_change(*place)

    # The store.

    def _keep(self) -> None:
        while True:
            gevent.sleep(self.terms.keep)
            self._save()

    def _save(self) -> None:
        f = self.follower
        if self.known_at is not None and f.revision != self._stored:
            self._stored = f.revision
            self.store.save(f.cluster, f.revision, f.items)

    def close(self) -> None:
        """Leave the number free for the next process, if that can be done at once; keep the list."""
        if self._stream:
            self._stream.close()
        if self.membership.lease:
            try:
                body = m.lease_body(self.membership.lease)
                with gevent.Timeout(0.5, OSError("too slow")):
                    self._take("/v3/lease/revoke", body, m.LeaseResponse)
            except NETWORK_ERRORS as fault:
                log.info("lease left to run out", cause=repr(fault))
        if self.store:
            self._save()
            self.store.close()
        self.client.close()


class _Kept(m.msgspec.Struct):
    result: m.LeaseResponse
