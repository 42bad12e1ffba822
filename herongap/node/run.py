"""Assembles one controller on the platform: host, port, viewers, resolver, signals, graceful shutdown."""

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
from herongap.node.streamers import StreamerPort
from herongap.node.viewers import Viewers
from herongap.platform.config import ConfigError, NodeConfig, parse_config
from herongap.platform.shutdown import GracefulShutdown
from herongap.platform.streamer_list import StreamerList

MAINTENANCE_INTERVAL_SECONDS = 0.25
FIGURES_INTERVAL_SECONDS = 5.0  # between two log lines with the process's figures
LAG_CHECK_INTERVAL_SECONDS = 0.05
SHUTDOWN_POLL_SECONDS = 0.02
MAX_LOG_LINES_PER_SECOND = 5  # of one event
log = structlog.get_logger()


def unix_clock():
    """Return a function for the system's Unix time that never steps back after this call.

    Controllers divide the slots of starting streamers among them by it, and the start times of streamers are
    Unix times.
    """
    base = time.time() - time.monotonic()
    return lambda: base + time.monotonic()


class Node:
    """One controller; `path` is its configuration file."""

    def __init__(self, path: str, clock=None):
        self.path, self.clock = path, clock or unix_clock()
        self.config = load_config(path)
        config = self.config
        self.port = StreamerPort(config, self.clock)
        now = self.clock()
        self.host = Host(now, config.seed, config.deployment, self.port)
        self.port.host = self.host
        limiter = ConnectionLimiter(config.sockets // 2, config.sockets // 2 + config.sockets // 20)
        self.viewers = self.port.viewers = Viewers(config, self.host, limiter, self.clock)
        self.resolver = Resolver(
            config.resolver, config.seed, config.racks, config.initial_list.serial, self._on_list, self.clock
        )
        self.stopped, self.stopping = Event(), False

    def start(self) -> None:
        """Begin to listen and to poll the resolver; raises OSError."""
        self._apply_list("remembered", self.config.initial_list)
        listener = listen(self.config.listen)
        self.viewers.ready = True
        loops = (self.port.run, self.resolver.run, self._maintain, self._measure_lag)
        self._greenlets = [gevent.spawn(loop) for loop in loops]
        self._greenlets.append(gevent.spawn(self.viewers.accept, listener))
        streamers = len(self.config.initial_list.entries)
        log.info("ready", name=self.config.name, streamers=streamers, pid=os.getpid())

    def reload(self) -> None:
        """Use the resolver of the changed configuration file; a file that cannot be used changes nothing."""
        try:
            config = load_config(self.path)
        except (OSError, ConfigError) as error:
            log.error("configuration not reloaded, nothing changes", cause=str(error),
                      advice=getattr(error, "advice", "see that the file can be read"))  # fmt: skip
            return
        self.resolver.address = config.resolver
        self.resolver.poll_now.set()
        log.info("reloaded", resolver="{}:{}".format(*config.resolver))

    def stop(self) -> None:
        """Accept what still arrives, answer everything that was accepted, then end."""
        if self.stopping:
            return
        self.stopping = True
        shutdown = GracefulShutdown(self.clock(), self.config.longest_deadline)
        log.info("stopping", held=len(self.host.viewings))
        while shutdown.is_listening(self.clock()):
            gevent.sleep(SHUTDOWN_POLL_SECONDS)
        # One more round: in a process that runs late, connections that are not accepted yet would be reset
        # together with the listener.
        gevent.sleep(SHUTDOWN_POLL_SECONDS)
        self.viewers.stop()
        while not self._is_shutdown_complete(shutdown):
            gevent.sleep(SHUTDOWN_POLL_SECONDS)
        self.viewers.close_all()
        log.info("stopped", left=len(self.host.viewings), **self.host.counts)
        self.stopped.set()

    def _is_shutdown_complete(self, shutdown: GracefulShutdown) -> bool:
        waiting, busy, playing = self.viewers.unfinished()
        return shutdown.is_complete(self.clock(), waiting, busy + self.port.unsent_count(), playing)

    def close(self) -> None:
        """Close everything at once."""
        self.viewers.stop()
        gevent.killall(self._greenlets, block=False)
        self.resolver.close()
        for connection in (*self.viewers.connections, *self.port.connections()):
            connection.close()

    def load_estimates(self) -> dict[str, tuple]:
        """Return for each streamer its viewings, and the estimated utilization of its link and its rack."""
        now, state = self.clock(), self.host.module.state

        def utilization(link) -> float:
            return round(link.utilization(now, state.usual_load), 3)

        return {
            name: (len(streamer.viewings), utilization(streamer.link), utilization(streamer.rack))
            for name, streamer in state.streamers.items()
        }

    def _on_list(self, streamer_list: StreamerList) -> None:
        before = self.host.statuses
        now = {name: entry.status for name, entry in streamer_list.entries.items()}
        changed = {
            name: status.name.lower() for name, status in now.items() if before.get(name) is not status
        }
        log.info("list", serial=streamer_list.serial, streamers=len(now), changed=changed,
                 left=sorted(set(before) - set(now)))  # fmt: skip
        self._apply_list("whole", streamer_list)

    def _apply_list(self, kind: str, streamer_list: StreamerList) -> None:
        self.port.listed(streamer_list.addresses)
        self.host.listed(self.clock(), kind, streamer_list.entries.values())
        self.port.remove_replaced()
        for name, entry in streamer_list.entries.items():
            if entry.started:
                self._end_viewings_before(name, entry.started)

    def _end_viewings_before(self, name: str, started: float) -> None:
        """End what a streamer played before its newest start.

        A streamer may be back before its silence is noticed: then a new process, which knows nothing of the
        viewings, answers on the connections that follow.
        """
        viewings = self.host.viewings
        lost = [
            (viewing, number)
            for viewing, number in self.host.playing_at(name)
            if viewings[viewing].sent_at < started
        ]
        if lost:
            log.warning("streamer lost", streamer=name, viewings=len(lost), cause="restarted")
            self.host.all_ended(self.clock(), lost, EndReason.BROKEN)
        for viewing, number in lost:
            # The list's time may be later than the moment from which the new process took set-ups.
            self.port.tear_down(viewing, number, name, False)

    def _measure_lag(self) -> None:
        """Measure how late this process runs its timers."""
        while True:
            due = self.clock() + LAG_CHECK_INTERVAL_SECONDS
            gevent.sleep(LAG_CHECK_INTERVAL_SECONDS)
            self.viewers.limiter.record_lag(self.clock() - due)

    def _longest_turn(self) -> float:
        """Return how long the longest turn of a peer that sends without a break was, since the last call."""
        pacers = (
            self.viewers.input_pacer,
            self.viewers.accept_pacer,
            self.port.input_pacer,
            self.resolver.pacer,
        )
        return max(pacer.pop_longest_turn() for pacer in pacers)

    def _maintain(self) -> None:
        """Run the periodic maintenance, and log figures of the process."""
        logged_at = self.clock()
        max_lag = 0.0
        while True:
            due = self.clock() + MAINTENANCE_INTERVAL_SECONDS
            gevent.sleep(MAINTENANCE_INTERVAL_SECONDS)
            max_lag = max(max_lag, self.clock() - due)
            for maintain in (self.viewers.maintain, self.port.maintain):
                try:
                    maintain()
                except Exception:
                    log.exception("internal error; maintenance continues")
            if self.clock() - logged_at >= FIGURES_INTERVAL_SECONDS:
                logged_at = self.clock()
                log.info(
                    "figures",
                    held=len(self.host.viewings),
                    viewers=len(self.viewers.connections),
                    streamers=len(self.port.connections()),
                    behind=round(max_lag, 3),
                    longest_turn=round(self._longest_turn(), 3),
                    slowest_answer=round(self.resolver.pop_slowest_answer(), 3),
                    cpu=round(time.process_time(), 2),
                    **self.host.counts,
                )
                log.debug("beliefs", streamers=self.load_estimates())
                max_lag = 0.0


def load_config(path: str) -> NodeConfig:
    """Return the configuration at `path`; raises OSError or ConfigError."""
    with open(path, "rb") as file:
        return parse_config(file.read())


def run(path: str) -> None:
    """Run the controller that the file at `path` describes, until SIGTERM or SIGINT."""
    node = Node(path)
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, lambda: gevent.spawn(node.stop))
    gevent.signal_handler(signal.SIGHUP, node.reload)
    node.start()
    node.stopped.wait()


def main() -> None:
    """Run the controller that the environment describes; if it cannot start, say why and exit."""
    most = 0 if TRACE else MAX_LOG_LINES_PER_SECOND
    observe.configure_logging(os.environ.get("HERONGAP_LOG", "info"), "json", "-", lines_per_second=most)
    if not (path := os.environ.get("PROXY_CONFIG")):
        sys.exit("herongap: PROXY_CONFIG is not set")
    try:
        run(path)
    except ConfigError as error:
        sys.exit(f"herongap: cannot start: {error}\n{error.advice}")
    except OSError as error:
        sys.exit(f"herongap: cannot start: {error}\nsee that the file can be read and the address is free")
