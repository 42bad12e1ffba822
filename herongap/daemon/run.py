"""The daemon: one controller with its host, port, HTTP servers, files and timer, and an orderly shutdown."""

import json
import os
import signal
import time
from collections.abc import Callable

import gevent
import structlog
from gevent.event import Event

from herongap.daemon.budgets import budget_terms
from herongap.daemon.dash import DashService
from herongap.daemon.etcd import StreamerRegistry
from herongap.daemon.file_watcher import FileWatcher, epoch_on_clock
from herongap.daemon.http_connection import Peer, Server
from herongap.daemon.journal import Journal
from herongap.daemon.listen import Address, listen, read_address
from herongap.daemon.recovery import Recovery
from herongap.daemon.request_handler import RequestHandler
from herongap.daemon.session_service import SessionService
from herongap.daemon.streamers import StreamerPort
from herongap.host import Host, Recorder, ViewingState
from herongap.http import Reply, Request, problem
from herongap.ini import Site, read_catalogue, read_list
from herongap.interface import StreamerEntry
from herongap.observe.metrics import TEXT, Figures
from herongap.overload import OverloadGuard
from herongap.rules import Controller

LAG_CHECK_SECONDS = 0.05
CATALOGUE_CHECK_SECONDS = 1.0
RECORD_FLUSH_SECONDS = 0.5
log = structlog.get_logger()


class Daemon:
    """A controller that listens from `start` to `stop`.

    `make_controller` builds the deciding module; baselines and tests pass others.
    """

    def __init__(
        self,
        site: Site,
        make_controller: Callable = Controller,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.site, self.clock = site, clock
        # A restarted controller has another name at streamers, so that sessions of the previous process are
        # not taken for its own.
        self.name = f"herongap-{site.front.number}-{time.time_ns() // 1_000_000}"
        self.journal = Journal(site.front.journal, self.name) if site.front.journal else None
        if self.journal:
            # With a journal, sessions of the previous process are still its own.
            self.name = self.journal.name
        self.overload_guard = OverloadGuard(site.bounds)
        targets = {name: getattr(site.streamers, name) for name in ("whep", "whip", "dash")}
        self.port = StreamerPort(self.name, site.connect, targets, clock)
        self.port.journal = self.journal
        self.record = self._open_record()
        recorder = Recorder(self.record.write) if self.record else None
        self.host = Host(clock(), site.front.seed, site.charter, self.port, recorder, make_controller)
        self.port.host = self.host
        self.catalogue = None
        self.list_watcher = self.registry = None
        if site.etcd is None:
            self.list_watcher = FileWatcher(site.streamers.list, self._on_list_file, site.streamers.look)
        else:
            f = site.front
            budgets = tuple(budget_terms(name, section) for name, section in site.wholes.items())
            callbacks = self._on_list_change, self._on_registry_rank, budgets, self._on_room_change
            self.registry = StreamerRegistry(
                site.etcd, f.number, f.controllers, f.seed, self.name, clock, *callbacks
            )
            self.port.budgets, self.port.is_rank_valid = (
                self.registry.budgets or None,
                self.registry.is_rank_valid,
            )
        self.gossip = None
        if site.gossip:
            from herongap.daemon.gossip import GossipMember  # only loaded where gossip is configured

            f, incarnation = site.front, time.time_ns() // 1_000_000
            self.gossip = GossipMember(
                site.gossip, f.number, incarnation, f.zone, f.seed, clock, self._report_rank
            )
        self.registry_rank: tuple[int | None, int] = (None, site.front.controllers)
        self.reported_rank: tuple[int | None, int] | None = None
        self.catalogue_watcher = FileWatcher(site.catalogue.file, self._on_catalogue, CATALOGUE_CHECK_SECONDS)
        self.service: SessionService | None = None
        self.handler: RequestHandler | None = None
        self.server: Server | None = None
        self.metrics: Server | None = None
        self._figures = Figures(self.host, self.overload_guard, self.registry)
        self._greenlets: list = []
        self.stopped = Event()

    @property
    def address(self) -> Address:
        """The address at which clients are served."""
        return self.server.address

    def start(self) -> None:
        """Read the files, then listen; raises OSError or ValueError where one cannot be used."""
        self.catalogue_watcher.read()
        if self.list_watcher:
            self.list_watcher.read()
        site = self.site
        self.service = SessionService(
            site, self.host, self.port, self.overload_guard, self.catalogue, self.clock
        )
        dash = DashService(site.dash, self.service) if site.dash else None
        if dash:
            dash.load()
        self.handler = RequestHandler(self.service, dash)
        recovery = (
            Recovery(self.journal, self.service, self.handler.sessions_by_secret) if self.journal else None
        )
        if recovery:
            recovery.restore_sessions()
        self.server = Server(
            listen(read_address(site.front.listen)), self.handler.handle, site.bounds, self.overload_guard
        )
        if site.front.metrics:
            self.metrics = Server(listen(read_address(site.front.metrics)), self._handle_metrics, site.bounds)
        runs = (self.port.run, self.catalogue_watcher.run, self._flush_record, self._measure_lag)
        self._greenlets = [gevent.spawn(run) for run in runs]
        # With etcd, the controller listens before it has a list: it uses the cached one, or blocks viewings.
        self._greenlets += self.registry.start() if self.registry else [gevent.spawn(self.list_watcher.run)]
        if self.gossip:
            self._greenlets += gevent.spawn(self.gossip.listen), gevent.spawn(self.gossip.run)
        if recovery:
            self._greenlets.append(gevent.spawn(recovery.run))
        log.info("listening", address="{}:{}".format(*self.address), name=self.name)

    def stop(self) -> None:
        """Shut down in bounded time: reject new viewings, answer pending ones, end playing ones, close."""
        self.overload_guard.stopping = True
        if self.gossip:
            self.gossip.leave()
        deadline = self.clock() + self.site.front.stop_within
        log.info("stopping", held=len(self.host.viewings))
        budgets = self.port.budgets
        if budgets:
            budgets.leave()
        while self.clock() < deadline and any(
            hosted.state in (ViewingState.WAITING, ViewingState.PENDING)
            for hosted in self.host.viewings.values()
        ):
            gevent.sleep(0.02)
        for viewing in list(self.host.viewings):
            self.host.left(self.clock(), viewing)
        while self.clock() < deadline and self.host.viewings:
            gevent.sleep(0.02)
        while self.clock() < deadline and budgets and not budgets.released:
            gevent.sleep(0.02)  # so that others can use the unused shares now, not after the lease expires
        gevent.sleep(0.05)  # lets replies in progress be sent
        self.kill()
        log.info("stopped", left=len(self.host.viewings), **self.host.counts)

    def kill(self) -> None:
        """Close everything at once."""
        if self.registry:
            self.registry.close()
        if self.gossip:
            self.gossip.close()
        for server in (self.server, self.metrics):
            if server:
                server.close()
        for greenlet in self._greenlets:
            greenlet.kill(block=False)
        self.port.close()
        if self.journal:
            self.journal.close()
            self.port.journal = None
        if self.record:
            self.record.close()
            self.host.recorder = None
        self.stopped.set()

    def _open_record(self):
        if not self.site.front.record:
            return None
        path = self.site.front.record.replace("{name}", self.name)
        return open(path, "ab", buffering=1 << 16)  # noqa: SIM115

    # Changes of the list, the rank, the budgets and the catalogue.

    def _on_list_file(self, data: bytes) -> None:
        entries, addresses = read_list(data, epoch_on_clock(self.clock))
        self.port.addresses |= addresses
        self.host.listed(self.clock(), "whole", entries)
        log.info("list read from file", streamers=len(entries))

    def _on_list_change(
        self, kind: str, entries: tuple[StreamerEntry, ...], addresses: dict[str, Address]
    ) -> None:
        self.port.addresses |= addresses
        self.host.listed(self.clock(), kind, entries)

    def _on_registry_rank(self, rank: int | None, count: int) -> None:
        self.registry_rank = rank, count
        self._report_rank()

    def _report_rank(self) -> None:
        rank, count = self.registry_rank
        if self.gossip:
            count = self.gossip.protocol.controller_count(count, rank is not None)
        if self.registry and (rank, count) != self.reported_rank:
            self.reported_rank = rank, count
            self.host.counted(self.clock(), rank, count)

    def _on_room_change(self, budget: str, room: int) -> None:
        self.host.given(self.clock(), budget, room)

    def _on_catalogue(self, data: bytes) -> None:
        self.catalogue = read_catalogue(data)
        if self.service:
            self.service.catalogue = self.catalogue

    # The server for operators.

    def list_status(self) -> dict:
        """Return the whole list as this controller sees it, with each streamer's status and the list's
        source.
        """
        streamers = {
            str(name): {
                "standing": status.name.lower(),
                "address": "{}:{}".format(*self.port.addresses[name]) if name in self.port.addresses else "",
            }
            for name, status in sorted(self.host.statuses.items())
        }
        result = {
            "streamers": streamers,
            "source": self.registry.status() if self.registry else {"state": "file"},
        }
        return result | ({"members": self.gossip.status()} if self.gossip else {})

    def _handle_metrics(self, request: Request, peer: Peer) -> Reply:
        if request.method not in ("GET", "HEAD"):
            return problem("bad-method")
        if request.path == ["list"]:
            return Reply(
                200, (("Content-Type", "application/json"),), json.dumps(self.list_status()).encode()
            )
        if request.path != ["metrics"]:
            return problem("no-such-page")
        return Reply(200, (("Content-Type", TEXT),), self._figures.text())

    # Background work.

    def _measure_lag(self) -> None:
        """Measure how late this process runs what it has scheduled; never returns."""
        while True:
            due = self.clock() + LAG_CHECK_SECONDS
            gevent.sleep(LAG_CHECK_SECONDS)
            self.overload_guard.record_lag(self.clock() - due)

    def _flush_record(self) -> None:
        while True:
            gevent.sleep(RECORD_FLUSH_SECONDS)
            if self.record:
                self.record.flush()


def run_until_signal(daemon: Daemon) -> None:
    """Announce a daemon's address on standard output and run it until SIGTERM or SIGINT.

    A second signal ends the process at once.
    """
    signals = []

    def stop() -> None:
        signals.append(True)
        if len(signals) > 1:
            os._exit(1)
        gevent.spawn(daemon.stop)

    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop)
    # Printed after the handlers are installed: whoever reads it may send a signal at once.
    print("listening http://{}:{}".format(*daemon.address), flush=True)
    daemon.stopped.wait()
