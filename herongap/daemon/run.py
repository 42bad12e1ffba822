"""One front put together: host, port, HTTP, files, timer, and an orderly end."""

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

LOOK = 0.05  # seconds between two looks at how late the process is
log = structlog.get_logger()


class Daemon:
    """A front that listens from `start` to `stop`. `make` is the deciding module, for baselines and tests."""

    def __init__(self, site: Site, make: Callable = Controller, clock: Callable[[], float] = time.monotonic):
        self.site, self.clock = site, clock
        # A restarted front is another one to streamers: what the old one held there must not pass for its
        # own.
        self.name = f"herongap-{site.front.number}-{time.time_ns() // 1_000_000}"
        self.journal = Journal(site.front.journal, self.name) if site.front.journal else None
        if self.journal:
            # What it left at streamers is still its own.
            self.name = self.journal.name
        self.overload_guard = OverloadGuard(site.bounds)
        targets = {name: getattr(site.streamers, name) for name in ("whep", "whip", "dash")}
        self.port = StreamerPort(self.name, site.connect, targets, clock)
        self.port.journal = self.journal
        self.record = self._open_record()
        recorder = Recorder(self.record.write) if self.record else None
        self.host = Host(clock(), site.front.seed, site.charter, self.port, recorder, make)
        self.port.host = self.host
        self.catalogue = None
        self.list = self.registry = None
        if site.etcd is None:
            self.list = FileWatcher(site.streamers.list, self._listed, site.streamers.look)
        else:
            f = site.front
            budgets = tuple(budget_terms(name, whole) for name, whole in site.wholes.items())
            told = self._fed, self._counted, budgets, self._given
            self.registry = StreamerRegistry(
                site.etcd, f.number, f.controllers, f.seed, self.name, clock, *told
            )
            self.port.budgets, self.port.ranked = self.registry.budgets or None, self.registry.ranked
        self.gossip = None
        if site.gossip:
            from herongap.daemon.gossip import GossipMember  # not loaded where it is off

            f, life = site.front, time.time_ns() // 1_000_000
            self.gossip = GossipMember(site.gossip, f.number, life, f.zone, f.seed, clock, self._members)
        self.place: tuple[int | None, int] = (None, site.front.controllers)
        self.counted: tuple[int | None, int] | None = None
        self.titles = FileWatcher(site.catalogue.file, self._catalogued, 1.0)
        self.door: SessionService | None = None
        self.handler: RequestHandler | None = None
        self.server: Server | None = None
        self.metrics: Server | None = None
        self._figures = Figures(self.host, self.overload_guard, self.registry)
        self._greenlets: list = []
        self.stopped = Event()

    @property
    def address(self) -> Address:
        return self.server.address

    def start(self) -> None:
        """Read the files, then listen; raises OSError or ValueError where one cannot be used."""
        self.titles.read()
        if self.list:
            self.list.read()
        site = self.site
        self.door = SessionService(
            site, self.host, self.port, self.overload_guard, self.catalogue, self.clock
        )
        dash = DashService(site.dash, self.door) if site.dash else None
        if dash:
            dash.load()
        self.handler = RequestHandler(self.door, dash)
        recovery = Recovery(self.journal, self.door, self.handler.secrets) if self.journal else None
        if recovery:
            recovery.begin()
        self.server = Server(
            listen(read_address(site.front.listen)), self.handler.handle, site.bounds, self.overload_guard
        )
        if site.front.metrics:
            self.metrics = Server(listen(read_address(site.front.metrics)), self._scraped, site.bounds)
        runs = (self.port.run, self.titles.run, self._beat, self._feel)
        self._greenlets = [gevent.spawn(run) for run in runs]
        # With etcd a front listens before it has a list: it starts on what it remembers, or blocks.
        self._greenlets += self.registry.start() if self.registry else [gevent.spawn(self.list.run)]
        if self.gossip:
            self._greenlets += gevent.spawn(self.gossip.listen), gevent.spawn(self.gossip.run)
        if recovery:
            self._greenlets.append(gevent.spawn(recovery.run))
        log.info("listening", address="{}:{}".format(*self.address), name=self.name)

    def stop(self) -> None:
        """Take no new viewing, answer every one that was taken, end those that play, close; in bounded
        time.
        """
        self.overload_guard.stopping = True
        if self.gossip:
            self.gossip.leave()
        until = self.clock() + self.site.front.stop_within
        log.info("stopping", held=len(self.host.viewings))
        budgets = self.port.budgets
        if budgets:
            budgets.leave()
        while self.clock() < until and any(
            life.state in (ViewingState.WAITING, ViewingState.PENDING) for life in self.host.viewings.values()
        ):
            gevent.sleep(0.02)
        for viewing in list(self.host.viewings):
            self.host.left(self.clock(), viewing)
        while self.clock() < until and self.host.viewings:
            gevent.sleep(0.02)
        while self.clock() < until and budgets and not budgets.released:
            gevent.sleep(0.02)  # what it does not use is of use to others now, not after its lease
        gevent.sleep(0.05)  # replies that are on their way out
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

    def _listed(self, data: bytes) -> None:
        lines, addresses = read_list(data, epoch_on_clock(self.clock))
        self.port.addresses |= addresses
        self.host.listed(self.clock(), "whole", lines)
        log.info("list taken", streamers=len(lines))

    def _fed(self, kind: str, lines: tuple[StreamerEntry, ...], addresses: dict[str, Address]) -> None:
        self.port.addresses |= addresses
        self.host.listed(self.clock(), kind, lines)

    def _counted(self, rank: int | None, count: int) -> None:
        self.place = rank, count
        self._members()

    def _members(self) -> None:
        rank, count = self.place
        if self.gossip:
            count = self.gossip.gossip.count(count, rank is not None)
        if self.registry and (rank, count) != self.counted:
            self.counted = rank, count
            self.host.counted(self.clock(), rank, count)

    def _given(self, whole: str, room: int) -> None:
        self.host.given(self.clock(), whole, room)

    def _catalogued(self, data: bytes) -> None:
        self.catalogue = read_catalogue(data)
        if self.door:
            self.door.catalogue = self.catalogue

    def listing(self) -> dict:
        """The whole list as this controller sees it: each streamer's standing, and where the list is from."""
        told = {
            str(name): {
                "standing": standing.name.lower(),
                "address": "{}:{}".format(*self.port.addresses[name]) if name in self.port.addresses else "",
            }
            for name, standing in sorted(self.host.statuses.items())
        }
        listing = {
            "streamers": told,
            "source": self.registry.status() if self.registry else {"state": "file"},
        }
        return listing | ({"members": self.gossip.status()} if self.gossip else {})

    def _scraped(self, request: Request, peer: Peer) -> Reply:
        if request.method not in ("GET", "HEAD"):
            return problem("bad-method")
        if request.path == ["list"]:
            return Reply(200, (("Content-Type", "application/json"),), json.dumps(self.listing()).encode())
        if request.path != ["metrics"]:
            return problem("no-such-page")
        return Reply(200, (("Content-Type", TEXT),), self._figures.text())

    def _feel(self) -> None:
        """How late this process comes to what it has set itself a time for."""
        while True:
            due = self.clock() + LOOK
            gevent.sleep(LOOK)
            self.overload_guard.record_lag(self.clock() - due)

    def _beat(self) -> None:
        while True:
            gevent.sleep(0.5)
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
    # Said only now: whoever reads it may send a signal at once.
    print("listening http://{}:{}".format(*daemon.address), flush=True)
    daemon.stopped.wait()
