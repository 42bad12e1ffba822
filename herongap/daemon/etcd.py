"""The gevent client of etcd: carries out the network I/O for `herongap.etcd`, which makes the decisions."""

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
from herongap.ini.sections import EtcdSection

# Between two checks whether the lease still holds; `herongap.etcd.membership.CLOCK_MARGIN_SECONDS` covers it.
RANK_CHECK_SECONDS = 0.1
# Shortest and longest pause between two checks whether a lease request is due.
MIN_LEASE_PAUSE_SECONDS = 0.01
MAX_LEASE_PAUSE_SECONDS = 0.2
PAGE_SIZE = 1000  # keys in one page of a read
REVOKE_TIMEOUT_SECONDS = 0.5
NETWORK_ERRORS = (OSError, PeerDisconnectedError, h11.RemoteProtocolError, EtcdError, m.MalformedReplyError)
log = structlog.get_logger()


class EtcdClient:
    """Unary requests to the members of one cluster, with an authentication token if one is configured."""

    def __init__(self, settings: EtcdSection, name: str):
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
        except EtcdError as error:
            if error.code != m.GRPC_UNAUTHENTICATED or not self.settings.user:
                raise
        self.forget_token()
        return self._call(address, path, body, kind, self.headers(address))

    def _call(self, address: str, path: str, body: bytes, kind: type, headers: list[tuple[str, str]]):
        pool = self.pools.get(address)
        if pool is None:
            pool = self.pools[address] = ConnectionPool(read_address(address), self.settings.connect)
        reply = pool.call("POST", path, headers, body, self.settings.time_out)
        if reply.status != 200:
            raise m.decode_error(reply.body)
        return m.decode_reply(reply.body, kind)

    def forget_token(self) -> None:
        """Drop the token, so that the next request authenticates again."""
        self.token = ""

    def _authenticate(self, address: str) -> None:
        body = m.authenticate_body(self.settings.user, self.settings.secret())
        self.token = self._call(
            address, "/v3/auth/authenticate", body, m.AuthenticateResponse, self._headers()
        ).token

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

    def __init__(self, settings: EtcdSection, number: int, expected: int, seed: int, name: str,
                 clock: Callable, on_list_change: Callable, on_rank_change: Callable,
                 budgets: tuple[BudgetTerms, ...] = (),
                 on_room_change: Callable = lambda name, room: None):  # fmt: skip
        self.settings, self.name, self.clock = settings, name, clock
        self.on_list_change, self.on_rank_change = on_list_change, on_rank_change
        self.client = EtcdClient(settings, name)
        self.endpoints = EndpointSelector(settings.endpoints, seed)
        # Separate for writes: a member cut off from its peers still serves its data, but takes no writes.
        self.write_endpoints = EndpointSelector(settings.endpoints, seed)
        self.follower = PrefixFollower()
        self.directory = RegistryState(settings.prefix, epoch_on_clock(clock))
        self.membership = Membership(number, expected, settings.ttl)
        self.claim_key = f"{settings.prefix}controllers/{number}"
        self.claim_revision, self.renewal_failing = -1, False  # -1: no claim yet
        callbacks = self._commit, NETWORK_ERRORS, self._live_claims, on_room_change
        self.budgets = budgets and Budgets(
            budgets, settings.prefix, number, settings.ttl, seed, clock, *callbacks
        )
        self.cache = ListCache(settings.remembered) if settings.remembered else None
        self.confirmed_at: float | None = None  # when the list was last known to be complete
        self.from_cache, self.controller_rank = False, None
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
        return "reading" if self.follower.next_action is NextAction.READ else "lost"

    def status(self) -> dict:
        """Return the state of the list, the membership and the budgets, for operators."""
        f, now = self.follower, self.clock()
        age = None if self.confirmed_at is None else round(now - self.confirmed_at, 3)
        controllers = {str(n): name for n, name in sorted(self.directory.controllers.items())}
        return {
            "state": self.state, "revision": f.revision, "seen": f.highest_revision,
            "cluster": f"{f.cluster:x}",
            "age": age, "counts": f.counts, "bad": self.directory.bad_values,
            "drains": sorted(self.directory.drains),
            "controllers": controllers, "number": self.membership.number,
            "holds_number": self.membership.holds_number(now),
            "place": self.controller_rank and list(self.controller_rank),
            "budgets": self.budgets.status() if self.budgets else {},
        }  # fmt: skip

    def start(self) -> list:
        """Publish the cached list, if any, then follow etcd; returns the greenlets that do so."""
        cached = self.cache.load() if self.cache else None
        if cached:
            self.follower = PrefixFollower(*cached)
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
                if self.follower.next_action is NextAction.READ:
                    self._read_list(address)
                else:
                    self._watch(address)
            except NETWORK_ERRORS as error:
                self.endpoints.mark_failed(address)
                if isinstance(error, EtcdError) and error.code == m.GRPC_UNAUTHENTICATED:
                    self.client.forget_token()
                log.warning("etcd request failed", member=address, cause=repr(error), state=self.state)
            except Exception:
                # Internal error: retrying is better than a list that silently stops being updated.
                self.endpoints.mark_failed(address)
                log.exception("internal error while following the list", member=address)
            gevent.sleep(self.endpoints.retry_delay())

    def _read_list(self, address: str) -> None:
        result = MessageOutcome.PARTIAL
        while result is MessageOutcome.PARTIAL:
            after, revision = self.follower.next_page_start()
            first_key = after.encode("utf-8", "surrogateescape") + b"\0" if after else self.settings.prefix
            body = m.range_body(first_key, m.prefix_end(self.settings.prefix), revision, PAGE_SIZE)
            try:
                reply = self.client.call(address, "/v3/kv/range", body, m.RangeResponse)
            except NETWORK_ERRORS:
                self.follower.abort_read()
                raise
            result = self.follower.handle_page(reply)
        if not self._is_usable(address, result, reply.header.cluster_id):
            return
        self.endpoints.mark_healthy(address)
        first = self.confirmed_at is None and not self.from_cache
        self.from_cache, self.confirmed_at = False, self.clock()
        self._publish("whole", first)
        log.info("list read", member=address, revision=self.follower.revision,
                 streamers=len(self.directory.streamers), bad=len(self.directory.bad_values))  # fmt: skip

    def _watch(self, address: str) -> None:
        generation, start = self.follower.start_watch()
        headers = self.client.headers(address)
        stream = self._stream = ClientConnection(read_address(address), self.settings.connect)
        splitter = LineSplitter()
        try:
            stream.send("POST", "/v3/watch", headers, m.watch_body(self.settings.prefix, start))
            head = stream.head(time.monotonic() + self.settings.time_out)
            if head.status != 200:
                raise m.decode_error(b"".join(stream.chunks(self.settings.time_out)))
            while True:
                timeout = self.settings.silent if self.follower.watching else self.settings.time_out
                try:
                    chunk = stream.chunk(timeout)
                except TimeoutError:
                    if not self.follower.watching:
                        raise
                    # Either nothing has changed, or the member is cut off from the others and receives no
                    # changes. A new watch, at another member, misses none.
                    self.endpoints.mark_silent(address)
                    return
                if chunk is None:
                    raise ConnectionResetError("watch stream ended")
                for line in splitter.feed(chunk):
                    if not self._process_watch_reply(
                        generation, address, m.decode_stream_line(line, m.WatchResponse)
                    ):
                        return
                self._publish("changes")
        finally:
            self.follower.stop_watch(generation)
            stream.close()
            self._publish("changes")

    def _process_watch_reply(self, generation: int, address: str, reply: m.WatchResponse) -> bool:
        """Pass a message of the watch to the follower; return whether to go on with this watch."""
        result = self.follower.handle_watch(generation, reply)
        if result is MessageOutcome.APPLIED:
            self.confirmed_at = self.clock()
        if reply.created and result is MessageOutcome.APPLIED:
            self.endpoints.mark_healthy(address)
        if result in (MessageOutcome.CANCELED, MessageOutcome.COMPACTED):
            log.warning("watch ended", member=address, cause=reply.cancel_reason, word=result.value)
            if result is MessageOutcome.CANCELED:
                self.endpoints.mark_failed(address)
            return False
        return self._is_usable(address, result, reply.header.cluster_id)

    def _is_usable(self, address: str, result: MessageOutcome, cluster: int) -> bool:
        """Return whether a member's reply was current and of the cluster that is followed."""
        if result is MessageOutcome.MEMBER_BEHIND:
            self.endpoints.mark_behind(self.clock(), address)
            log.warning("etcd member behind", member=address, seen=self.follower.highest_revision)
            return False
        if result is MessageOutcome.OTHER_CLUSTER:
            log.error("etcd member belongs to another cluster", member=address, cluster=cluster)
            if self.endpoints.mark_other_cluster(self.clock(), address, cluster):
                log.error("switched to another cluster: every member belongs to it", cluster=cluster)
                self.follower.switch_cluster(cluster)
                if self.budgets:
                    # Leases and revisions of the previous cluster mean nothing in this one.
                    self.membership.lease_lost()
                    self.budgets.reset()
            return False
        return True

    def _publish(self, kind: str, first: bool = False) -> None:
        """Report changes of the list.

        `kind` is "changes" for the changed entries only, "remembered" for the cached list, or "whole" for the
        complete list, in which missing streamers count as removed. `first` means that no list was known
        before.
        """
        if self._has_unpublished:
            kind = "whole"  # an error came after changes were taken and before they were reported
        changes = self.follower.take_changes()
        if self.budgets and self.follower.next_action is not NextAction.READ:
            self.budgets.documents_changed(self.follower.revision, self.follower.items)
        if not changes and kind == "changes":
            return
        self._has_unpublished = True
        touched = self.directory.apply(self.clock(), changes, first)
        entries = self.directory.entries(touched) if kind == "changes" else self.directory.all_entries()
        if touched or kind != "changes":
            # Reported entries only: a list of thousands of streamers may change a thousand times a second.
            self.on_list_change(kind, entries, self.directory.addresses(entry.streamer for entry in entries))
        self._has_unpublished = False
        self._update_rank()

    # The membership of this controller.

    def _keep_lease(self) -> None:
        """Hold the lease and the claim of the controller number; never returns."""
        while True:
            now = self.clock()
            step = self.membership.next_request(now)
            if step:
                try:
                    self._run_step(step, now)
                except NETWORK_ERRORS as error:
                    self.membership.request_failed(self.clock())
                    self.renewal_failing = True
                    log.warning("lease request failed", step=step.value, cause=repr(error))
                    if isinstance(error, EtcdError) and error.code == m.GRPC_NOT_FOUND:
                        self.membership.lease_lost()
                except Exception:
                    self.membership.request_failed(self.clock())
                    log.exception("internal error while keeping the lease", step=step.value)
            gevent.sleep(
                min(
                    MAX_LEASE_PAUSE_SECONDS,
                    max(MIN_LEASE_PAUSE_SECONDS, self.membership.next_due - self.clock()),
                )
            )

    def _recheck_rank(self) -> None:
        """Update the rank periodically: a lease expires with time, also while its renewal hangs."""
        while True:
            self._update_rank()
            gevent.sleep(RANK_CHECK_SECONDS)

    def _run_step(self, step: LeaseRequest, now: float) -> None:
        match step:
            case LeaseRequest.GRANT:
                reply = self._write("/v3/lease/grant", m.grant_body(int(self.settings.ttl)), m.LeaseResponse)
                self.membership.lease_granted(now, reply.ID, reply.TTL)
            case LeaseRequest.CLAIM:
                value = update_value(None, name=self.name)
                body = m.claim_body(self.claim_key, value, self.membership.lease)
                reply = self._write("/v3/kv/txn", body, m.TxnResponse)
                won = reply.claimed(self.membership.lease)
                if won:
                    self.claim_revision = (
                        reply.header.revision if reply.succeeded else reply.existing.create_revision
                    )
                self.membership.claim_answered(self.clock(), now, won)
                if not won:
                    log.warning("controller number held by another process", key=self.claim_key)
            case LeaseRequest.KEEP_ALIVE:
                body = m.lease_body(self.membership.lease)
                reply = self._write("/v3/lease/keepalive", body, _KeepAliveReply)
                self.membership.keepalive_answered(now, reply.result.TTL)
                self.renewal_failing = False

    def _write(self, path: str, body: bytes, kind: type):
        """Send a request that changes something, to the member that accepted the last one if possible."""
        address = self.write_endpoints.choose(self.clock())
        try:
            reply = self.client.call(address, path, body, kind)
        except NETWORK_ERRORS:
            self.write_endpoints.mark_failed(address)
            raise
        self.write_endpoints.mark_healthy(address)
        return reply

    def _commit(self, body: bytes) -> m.TxnResponse:
        """Send a transaction; a reply from another cluster is an error, as if none had come."""
        reply = self._write("/v3/kv/txn", body, m.TxnResponse)
        if reply.header.cluster_id != self.follower.cluster:
            raise m.MalformedReplyError(f"another cluster: {reply.header.cluster_id:x}")
        return reply

    def _live_claims(self) -> dict[str, int] | None:
        """Return each live controller's claim; None while the list is not being followed."""
        if not self.follower.watching:
            return None
        start = f"{self.settings.prefix}controllers/"
        found = self.follower.items.items()
        return {key.removeprefix(start): item.create_revision for key, item in found if key.startswith(start)}

    def is_rank_valid(self) -> bool:
        """Return whether the rank reported last still holds.

        To be checked before each effect: the process may have been suspended for longer than its lease.
        """
        return (
            self.controller_rank is None
            or self.controller_rank.rank is None
            or self.membership.holds_number(self.clock())
        )

    def _update_rank(self) -> None:
        """Pass the state of the lease to the budgets, and report this controller's rank if it has changed."""
        if self.budgets:
            held = self.membership.holds_number(self.clock())
            self.budgets.lease_changed(
                self.claim_revision, self.membership.trusted_until, held, self.renewal_failing
            )
        live = None if self.confirmed_at is None else self.directory.controllers
        rank = self.membership.rank_among(self.clock(), live)
        if rank != self.controller_rank:
            self.controller_rank = rank
            self.on_rank_change(*rank)

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
        """Save the list, and revoke the lease if that is possible at once.

        The next process can then claim the controller number without waiting for the lease to expire.
        """
        if self._stream:
            self._stream.close()
        if self.membership.lease:
            try:
                body = m.lease_body(self.membership.lease)
                with gevent.Timeout(REVOKE_TIMEOUT_SECONDS, OSError("too slow")):
                    self._write("/v3/lease/revoke", body, m.LeaseResponse)
            except NETWORK_ERRORS as error:
                log.info("lease not revoked, it will expire", cause=repr(error))
        if self.cache:
            self._save()
            self.cache.close()
        self.client.close()


class _KeepAliveReply(m.msgspec.Struct):
    result: m.LeaseResponse
