"""One controller on the platform put together: host, port, viewers, resolver, signals, and an orderly end."""

import os
import signal
import sys
import time

import gevent
import structlog
from gevent.event import Event

from herongap import observe
from herongap.daemon.listen import listen
from herongap.host import Host
from herongap.interface import EndReason
from herongap.limiter import ConnectionLimiter
from herongap.node.connection import TRACE
from herongap.node.resolver import Resolver
from herongap.node.streamers import Streamers
from herongap.node.viewers import Viewers
from herongap.platform.launch import Fault, Launch, read
from herongap.platform.roster import Roster
from herongap.platform.shutdown import GracefulShutdown

TEND = 0.25  # seconds between two looks at what has gone quiet
FIGURES = 5.0  # seconds between two lines of figures in the log
LOOK = 0.05  # seconds between two looks at how late the process is
MOST = 5  # lines of one kind that are logged a second
log = structlog.get_logger()


def unix_clock():
    """The system's Unix clock, which never steps back after the start.

    Controllers share the slots of cold streamers by it, and starts of streamers are told in it.
    """
    base = time.time() - time.monotonic()
    return lambda: base + time.monotonic()


class Node:
    """A controller from its configuration to its end."""

    def __init__(self, path: str, clock=None):
        self.path, self.clock = path, clock or unix_clock()
        self.launch = load(path)
        launch = self.launch
        self.port = Streamers(launch, self.clock)
        now = self.clock()
        self.host = Host(now, launch.seed, launch.charter, self.port)
        self.port.host = self.host
        limiter = ConnectionLimiter(launch.sockets // 2, launch.sockets // 2 + launch.sockets // 20)
        self.viewers = self.port.viewers = Viewers(launch, self.host, limiter, self.clock)
        self.resolver = Resolver(launch.resolver, launch.seed, launch.racks, launch.known.serial, self._told)
        self.stopped, self.stopping = Event(), False

    def start(self) -> None:
        """Listen; raises OSError."""
        self._take("remembered", self.launch.known)
        listener = listen(self.launch.listen)
        self.viewers.ready = True
        runs = (self.port.run, self.resolver.run, self._tend, self._feel)
        self._greenlets = [gevent.spawn(run) for run in runs]
        self._greenlets.append(gevent.spawn(self.viewers.accept, listener))
        log.info("ready", name=self.launch.name, streamers=len(self.launch.known.lines), pid=os.getpid())

    def reload(self) -> None:
        """Take the configuration's new resolver; a file that cannot be used changes nothing."""
        try:
            launch = load(self.path)
        except (OSError, Fault) as fault:
            log.error("configuration not taken, all stays as it was", cause=str(fault),
                      advice=getattr(fault, "advice", "see that the file can be read"))  # fmt: skip
            return
        self.resolver.address = launch.resolver
        self.resolver.nudge.set()
        log.info("reloaded", resolver="{}:{}".format(*launch.resolver))

    def stop(self) -> None:
        """Take what still comes, answer all that was taken, then end."""
        if self.stopping:
            return
        self.stopping = True
        shutdown = GracefulShutdown(self.clock(), self.launch.longest)
        log.info("stopping", held=len(self.host.viewings))
        while shutdown.listens(self.clock()):
            gevent.sleep(0.02)
        # Once more round: what a late process has not accepted yet would be reset with the listener.
        gevent.sleep(0.02)
        self.viewers.stop()
        while not self._over(shutdown):
            gevent.sleep(0.02)
        self.viewers.leave()
        log.info("stopped", left=len(self.host.viewings), **self.host.counts)
        self.stopped.set()

    def _over(self, shutdown: GracefulShutdown) -> bool:
        waiting, unsettled, playing = self.viewers.pending()
        return shutdown.over(self.clock(), waiting, unsettled + self.port.owing(), playing)

    def close(self) -> None:
        """Cut everything at once."""
        self.viewers.stop()
        gevent.killall(self._greenlets, block=False)
        for conn in (*self.viewers.connections, *self.port.lines()):
            conn.close()

    def beliefs(self) -> dict[str, tuple]:
        """Of each streamer: viewings held, what is asked of its link and uplink over what these give."""
        now, known = self.clock(), self.host.module.state

        def use(pipe) -> float:
            return round(pipe.utilization(now, known.usual_load), 3)

        return {name: (len(st.viewings), use(st.link), use(st.rack)) for name, st in known.streamers.items()}

    def _told(self, roster: Roster) -> None:
        before = self.host.statuses
        now = {name: line.status for name, line in roster.lines.items()}
        changed = {n: s.name.lower() for n, s in now.items() if before.get(n) is not s}
        log.info("list", serial=roster.serial, streamers=len(now), changed=changed,
                 left=sorted(set(before) - set(now)))  # fmt: skip
        self._take("whole", roster)

    def _take(self, kind: str, roster: Roster) -> None:
        self.port.listed(roster.addresses)
        self.host.listed(self.clock(), kind, roster.lines.values())
        self.port.replaced()
        for name, line in roster.lines.items():
            if line.started:
                self._restarted(name, line.started)

    def _restarted(self, name: str, since: float) -> None:
        """What a streamer played before its newest start is over, also where it was back before its silence
        could tell: on the connections that follow a new process answers, and knows nothing of it.
        """
        lives = self.host.viewings
        before = [(vw, number) for vw, number in self.host.playing_at(name) if lives[vw].sent_at < since]
        if before:
            log.warning("streamer lost", streamer=name, viewings=len(before), cause="restarted")
        for viewing, number in before:
            self.host.ended(self.clock(), viewing, number, EndReason.BROKEN)

    def _feel(self) -> None:
        """How late this process comes to what it has set itself a time for."""
        while True:
            due = self.clock() + LOOK
            gevent.sleep(LOOK)
            self.viewers.limiter.record_lag(self.clock() - due)

    def _tend(self) -> None:
        told = self.clock()
        worst = 0.0
        while True:
            due = self.clock() + TEND
            gevent.sleep(TEND)
            worst = max(worst, self.clock() - due)
            for tend in (self.viewers.tend, self.port.tend):
                try:
                    tend()
                except Exception:
                    log.exception("a fault of ours; the next look goes on")
            if self.clock() - told >= FIGURES:
                told = self.clock()
                log.info(
                    "figures",
                    held=len(self.host.viewings),
                    viewers=len(self.viewers.connections),
                    streamers=len(self.port.lines()),
                    behind=round(worst, 3),
                    cpu=round(time.process_time(), 2),
                    **self.host.counts,
                )
                log.debug("beliefs", streamers=self.beliefs())
                worst = 0.0


def load(path: str) -> Launch:
    """The configuration at `path`; raises OSError or Fault."""
    with open(path, "rb") as file:
        return read(file.read())


def run(path: str) -> None:
    """Run the controller that the file at `path` describes, until SIGTERM or SIGINT."""
    node = Node(path)
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, lambda: gevent.spawn(node.stop))
    gevent.signal_handler(signal.SIGHUP, node.reload)
    node.start()
    node.stopped.wait()


def main() -> None:
    """The program: what it needs is in the environment, and what it cannot start with ends it with a word."""
    observe.set_up(os.environ.get("HERONGAP_LOG", "info"), "json", "-", most=0 if TRACE else MOST)
    if not (path := os.environ.get("PROXY_CONFIG")):
        sys.exit("herongap: PROXY_CONFIG is not set")
    try:
        run(path)
    except Fault as fault:
        sys.exit(f"herongap: cannot start: {fault}\n{fault.advice}")
    except OSError as fault:
        sys.exit(f"herongap: cannot start: {fault}\nsee that the file can be read and the address is free")
