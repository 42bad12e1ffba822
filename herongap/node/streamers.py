"""The port of the host: its decisions as messages to streamers and viewers, and what streamers say back.

A connection carries one set-up at a time. What spoils it, or breaks it, then harms no other viewing.
"""

from collections import Counter
from collections.abc import Callable
from errno import EMFILE
from itertools import count
from math import inf

import gevent
import structlog

from herongap.daemon.timer import Timer
from herongap.host import Answer, Host, ViewingState
from herongap.host.liveness import (
    PAID_TEST_TIMES,
    TEST_INTERVAL_SECONDS,
    TESTED_LOST_AFTER_SECONDS,
    Liveness,
    StreamerLiveness,
)
from herongap.interface import EndReason, LoadReport, ViewingRequest
from herongap.node.upstream import Address, Attempt, Line, Upstream, dial, unreached
from herongap.platform import messages
from herongap.platform.launch import Launch
from herongap.platform.messages import Message, Unfit, Unreadable

log = structlog.get_logger()


class Streamers:
    """Carries between the host and the streamers. `viewers` gets what is for viewers."""

    def __init__(self, launch: Launch, clock: Callable[[], float]):
        self.connect, self.clock = launch.connect, clock
        # Descriptors: beyond `most` set-ups share connections, beyond `limit` none is dialled.
        self.most, self.limit = launch.sockets // 3, launch.sockets // 3 + launch.sockets // 20
        # Connections that have been still for longer may be closed there while a set-up is on its way.
        self.idle = max(launch.idle - launch.connect, launch.idle / 2) or inf
        self.late = launch.longest + messages.OWED  # the answer to what was given up is known for so long
        self.liveness_times = (
            PAID_TEST_TIMES if launch.tests_paid else (TESTED_LOST_AFTER_SECONDS, TEST_INTERVAL_SECONDS)
        )
        self.host: Host | None = None
        self.viewers = None
        self.upstreams: dict[str, Upstream] = {}
        self.attempts: dict[tuple[str, str], Attempt] = {}
        self.given_up: dict[tuple[str, str], float] = {}
        # Ends of viewings that nobody has handed over yet: a release may come before the set-up with `at`.
        self.released: dict[tuple[str, str], tuple[EndReason, float]] = {}
        self.alarm = Timer(clock)
        self._tests = count(1)
        self.probes: dict[str, tuple[str, float]] = {}

    # What the list says of addresses.

    def listed(self, addresses: dict[str, Address]) -> None:
        """Where each streamer of the newest list listens. One that has gone is kept while it plays for us."""
        now = self.clock()
        for name, address in addresses.items():
            if (upstream := self.upstreams.get(name)) is None:
                self.upstreams[name] = Upstream(name, address, StreamerLiveness(now, *self.liveness_times))
            elif upstream.address != address:
                # Its own lines go with it; viewings that it still has are told of on the next.
                upstream.address, upstream.shut = address, 0.0
                for line in upstream.lines:
                    line.half_close()
        for name, upstream in self.upstreams.items():
            upstream.gone = name not in addresses

    def replaced(self) -> None:
        """To be called when the host has the list too: what ends here may be decided on anew at once."""
        taken = {upstream.address for upstream in self.upstreams.values() if not upstream.gone}
        for upstream in list(self.upstreams.values()):
            if upstream.gone and upstream.address in taken:
                # Another one listens there now: whatever answers is not the one that played for us.
                self._gone(upstream, "replaced")

    # The port.

    def tune_in(self, ask: ViewingRequest, number: int, streamer: str, rung: int, time_out: float) -> None:
        attempt = self.attempts[streamer, ask.viewing] = Attempt(ask, number, rung, self.clock() + time_out)
        # Not from within the host's call: all that the system has told by now is heard first.
        gevent.spawn(self._leave, self.upstreams[streamer], attempt)

    def lines(self) -> list[Line]:
        """All connections to streamers."""
        return [line for upstream in self.upstreams.values() for line in upstream.lines]

    def owing(self) -> int:
        """To how many streamers something is still to be told, or has not left whole."""
        return sum(one.unsettled(self.clock()) for one in self.upstreams.values())

    def room(self, most: int | None = None) -> bool:
        """Whether descriptors are left for a connection of its own to each set-up."""
        return sum(len(one.lines) + one.connecting for one in self.upstreams.values()) < (most or self.most)

    def ended(self, viewing: str, streamer: str) -> EndReason | None:
        """How a viewing that is handed over only now has ended already, if it has."""
        return self.released.pop((streamer, viewing), (None,))[0]

    def call_off(self, viewing: str, number: int, streamer: str) -> None:
        if attempt := self.attempts.pop((streamer, viewing), None):
            self._take_back(self.upstreams[streamer], attempt)

    def set_rung(self, viewing: str, number: int, streamer: str, rung: int) -> None:
        self._say(self.upstreams[streamer], messages.step(viewing, rung))

    def tear_down(self, viewing: str, number: int, streamer: str, wanted: bool) -> None:
        if upstream := self.upstreams.get(streamer):
            self._release(upstream, viewing)
        if wanted:
            self.viewers.moved(viewing)

    def answer(self, viewing: str, answer: Answer) -> None:
        self.viewers.answer(viewing, answer)

    def viewing_ended(self, viewing: str, how: EndReason) -> None:
        self.viewers.over(viewing, how)

    def probe(self, streamer: str) -> None:
        ref = self._test()
        self.probes[ref] = streamer, self.clock()
        self._say(self.upstreams[streamer], messages.hb(ref))

    def follow(self) -> None: ...  # the resolver is asked from the start

    def send_to_peer(self, peer: int, words: bytes) -> None:
        log.warning("no way to controllers", peer=peer)

    def request_budget(self, whole: str) -> None: ...  # the platform has no store to divide wholes through

    def wake(self, at: float) -> None:
        self.alarm.set(at)

    def run(self) -> None:
        """Wake the host whenever it asked to be; never returns."""
        self.alarm.run(lambda now: self.host.woke(now))

    # Connections.

    def _open(self, upstream: Upstream, time_out: float) -> Line:
        """A new connection; raises OSError."""
        if not self.room(self.limit):
            raise OSError(EMFILE, "as many connections to streamers as descriptors allow")
        upstream.connecting, address = upstream.connecting + 1, upstream.address
        try:
            sock = dial(address, time_out)
        finally:
            upstream.connecting -= 1
            upstream.settled.set()
        if upstream.address != address:
            sock.close()
            raise ConnectionAbortedError("its address changed: whoever listens there now is another")
        line = Line(sock, upstream, self._heard, self._lost, self.clock())
        upstream.lines.add(line)
        upstream.reset = False
        upstream.pay(line, self.clock())
        return line

    def _leave(self, upstream: Upstream, attempt: Attempt) -> None:
        """Send a tune-in on its way, on a connection that may have to come up first."""
        key, fresh = (upstream.name, attempt.ask.viewing), None
        while self._stays(upstream, attempt):
            line = fresh or upstream.sound(self.room(), self.clock(), self.idle)
            if line and not line.closed:
                self._send(line, attempt)
                return
            if not fresh and upstream.connecting and not self.room():
                # Descriptors are short: one that is only coming up for another set-up will do.
                upstream.settle(attempt.until - self.clock())
                continue
            try:
                if fresh:
                    raise ConnectionAbortedError("closed as soon as it was up")
                fresh = self._open(upstream, max(0.01, min(self.connect, attempt.until - self.clock())))
            except OSError as fault:
                if self.attempts.get(key) is attempt:
                    del self.attempts[key]
                    log.info("streamer not reached", streamer=upstream.name, cause=str(fault))
                    self.host.ended(self.clock(), attempt.ask.viewing, attempt.number, *unreached(fault))
                return

    def _stays(self, upstream: Upstream, attempt: Attempt) -> bool:
        """Whether a tune-in may still leave, here and now: nothing runs between this and its sending."""
        viewing, key = attempt.ask.viewing, (upstream.name, attempt.ask.viewing)
        # What is due comes first, also in a process that is late; and whoever asked may have gone meanwhile.
        self.host.woke(self.clock())
        while self.attempts.get(key) is attempt and not self.viewers.look(viewing):
            gevent.sleep(0)
        if self.attempts.get(key) is not attempt:
            return False
        if self.host.sendable(viewing, attempt.number, self.clock()):
            return True
        # Its drain was heard meanwhile: it never left, and the streamer is sound.
        del self.attempts[key]
        self.host.ended(self.clock(), viewing, attempt.number, EndReason.FULL, LoadReport())
        return False

    def _send(self, line: Line, attempt: Attempt) -> None:
        attempt.line, line.attempts[attempt.ask.viewing] = line, attempt
        offer = self.viewers.description(attempt.ask.viewing)
        attempt.sent = messages.set_up(attempt.ask, attempt.rung, attempt.until - self.clock(), offer)
        line.send(attempt.sent)  # what becomes of one that cannot be written its line's end tells the host

    def _say(self, upstream: Upstream, message: bytes, line: Line | None = None, release: str = "") -> None:
        """Something that concerns no set-up that is out: on any connection, else on the next."""
        now = self.clock()
        upstream.say(line or upstream.sound(False, now, self.idle), message, now + messages.OWED, release)
        if upstream.owed:
            self._need(upstream)

    def _release(self, upstream: Upstream, viewing: str, line: Line | None = None) -> None:
        """Have a viewing let go there, on `line` if it may still be set up on that."""
        self._say(upstream, messages.down(viewing, messages.ENDED), line, viewing)

    def _need(self, upstream: Upstream) -> None:
        if not upstream.connecting and self.clock() >= upstream.shut:
            upstream.connecting += 1
            gevent.spawn(self._again, upstream)

    def _again(self, upstream: Upstream) -> None:
        upstream.connecting -= 1
        try:
            self._open(upstream, self.connect)
        except ConnectionRefusedError:
            if upstream.refused(self.clock()):
                self._gone(upstream, "refused")
        except OSError as fault:
            log.debug("streamer not reached", streamer=upstream.name, cause=str(fault))

    def _take_back(self, upstream: Upstream, attempt: Attempt) -> None:
        line = attempt.line
        if not line or not line.attempts.pop(attempt.ask.viewing, None) or line.withdraw(attempt.sent):
            return  # nothing of it has left
        if line.unsent(attempt.sent) and not line.attempts:
            line.close("taken back before it had left whole")  # sent whole it would be a set-up
            return
        self.given_up[upstream.name, attempt.ask.viewing] = self.clock() + self.late
        self._release(upstream, attempt.ask.viewing, line)
        if line.doubted is None and not line.closed:
            # It bears the next set-up once it has shown that it lives.
            line.doubted = self.clock()
            line.send(messages.hb(self._test()))

    def _test(self) -> str:
        return f"{next(self._tests):016x}"

    def _lost(self, line: Line) -> None:
        upstream = line.upstream
        upstream.lost(line)
        if other := upstream.owed and upstream.sound(False, self.clock(), self.idle):
            upstream.pay(other, self.clock())
        if not upstream.gone and (
            upstream.owed or (not line.half_closed and self.host.playing_at(upstream.name))
        ):
            # A release may have been lost with it; its streamer sends that again on the next that opens.
            self._need(upstream)
        for attempt in list(line.attempts.values()):  # what comes of one may take others back
            key = upstream.name, attempt.ask.viewing
            if self.attempts.get(key) is not attempt:
                continue
            del self.attempts[key]
            log.info("connection lost under a tune-in", streamer=upstream.name, cause=line.cause)
            if line.unsent(attempt.sent):
                # It never left whole, so nothing ran.
                self.host.ended(self.clock(), attempt.ask.viewing, attempt.number, EndReason.UNREACHED)
                continue
            # It may have run, and may play there to nobody.
            self._release(upstream, attempt.ask.viewing)
            self.given_up[key] = self.clock() + self.late
            self.host.ended(self.clock(), attempt.ask.viewing, attempt.number, EndReason.BROKEN)

    def _gone(self, upstream: Upstream, cause: str) -> None:
        """A streamer's process is gone, and all that it played with it."""
        held = self.host.playing_at(upstream.name)
        if held:
            log.warning("streamer lost", streamer=upstream.name, viewings=len(held), cause=cause)
        upstream.ends(cause != "silent")
        for line in list(upstream.lines):
            line.close(cause)
        for viewing, number in held:
            self.host.ended(self.clock(), viewing, number, EndReason.BROKEN)

    def tend(self) -> None:
        """Once in a short while: are the streamers that play for us still there?"""
        now = self.clock()
        held = Counter(
            life.streamer for life in self.host.viewings.values() if life.state is ViewingState.PLAYING
        )
        tuned = {name for name, _ in self.attempts}
        for upstream in list(self.upstreams.values()):
            upstream.evict(now, self.room(), self.idle)
            if upstream.owes(now) and not upstream.gone:
                self._need(upstream)
            if held[upstream.name]:
                self._test_upstream(upstream, now)
                continue
            # A tune-in may still wait for its connection, on no line yet: were its streamer forgotten,
            # the time-out could not call it off, and its viewer would never be answered.
            if upstream.gone and upstream.name not in tuned and not upstream.connecting:
                for line in list(upstream.lines):
                    line.close()
                del self.upstreams[upstream.name]
            upstream.liveness.on_data(now)
            upstream.told_silent = False
        self.given_up = {key: until for key, until in self.given_up.items() if until > now}
        self.released = {key: end for key, end in self.released.items() if end[1] > now}
        for ref in [ref for ref, (_, at) in self.probes.items() if now - at > 0.5]:
            streamer, at = self.probes.pop(ref)
            self.host.probed(now, streamer, EndReason.TIMED_OUT, now - at, None)

    def _test_upstream(self, upstream: Upstream, now: float) -> None:
        if not upstream.lines and upstream.gone:
            # Gone from the list and its connections broken: whoever listens there next is another.
            self._gone(upstream, "gone")
        elif not upstream.lines:
            self._need(upstream)
        elif upstream.liveness.is_test_due(now):
            self._say(upstream, messages.hb(self._test()))
        word = upstream.liveness.check(now)
        if word is Liveness.LOST:
            held = self.host.playing_at(upstream.name)
            self._gone(upstream, "silent")
            # If it lives after all, only cut off from here, it is to let go of what nobody here knows.
            for viewing, _ in held:
                self._release(upstream, viewing)
            upstream.liveness.on_data(now)
        elif word is Liveness.SILENT and not upstream.told_silent:
            upstream.told_silent = True
            self.host.share_told(now, upstream.name, 0.0)

    # What streamers say.

    def _heard(self, line: Line, data: bytes) -> None:
        upstream = line.upstream
        try:
            m = messages.read(data)
            now = self.clock()
            line.spoke, line.doubted = now, line.doubted if line.half_closed else None
            upstream.liveness.on_data(now)
            upstream.told_silent = False
            if m.t in ("down", "ack"):
                upstream.unheard.pop(m.ref, None)
            match m.t:
                case "up":
                    self._started(upstream, line, m)
                case "down":
                    self._ended(upstream, line, m)
                case "tell":
                    self._note(upstream, m)
                case "hb_ok":
                    if probe := self.probes.pop(m.ref, None):
                        how = EndReason.PLAYED if m.c else EndReason.FAULTY
                        self.host.probed(now, probe[0], how, now - probe[1], messages.load(m))
                case "wait" | "ack":
                    pass
                case _:
                    raise Unreadable(f"unknown message {m.t!r:.20}")
        except (Unreadable, Unfit) as fault:
            # What follows cannot be told apart from noise any more.
            log.warning("streamer not understood", streamer=upstream.name, cause=str(fault)[:120])
            line.close(str(fault))

    def _started(self, upstream: Upstream, line: Line, m: Message) -> None:
        key = upstream.name, m.ref
        if not m.d:
            raise Unfit("an answer without a description")
        self.viewers.look(m.ref)  # whoever asked may have gone: that may lie unread
        attempt = self.attempts.get(key)
        if attempt is not None and attempt.line is line:
            load = messages.load(m)
            del self.attempts[key], line.attempts[m.ref]
            self.viewers.answered(m.ref, m.d)
            if not self.host.started(self.clock(), m.ref, attempt.number, upstream.name, load):
                log.info("late answer", streamer=upstream.name, viewing=m.ref)
        elif self.given_up.pop(key, None):
            # It plays there to nobody.
            self._release(upstream, m.ref, line)

    def _ended(self, upstream: Upstream, line: Line, m: Message) -> None:
        key = upstream.name, m.ref
        load = messages.load(m)
        if (attempt := self.attempts.get(key)) is not None:
            if attempt.line is line:
                del self.attempts[key], line.attempts[m.ref]
                how = messages.BEFORE.get(m.c, EndReason.BROKEN)
                self.host.ended(self.clock(), m.ref, attempt.number, how, load)
            return
        life, how = self.host.viewings.get(m.ref), messages.AFTER.get(m.c, EndReason.BROKEN)
        if life is None or life.streamer != upstream.name:
            if key not in self.given_up:
                self.released[key] = how, self.clock() + messages.OWED
        elif life.state is ViewingState.PLAYING:
            self.host.ended(self.clock(), m.ref, life.number, how, load)
            line.send(messages.ack(m.ref))
        elif life.state is ViewingState.CLOSING:
            self.host.torn_down(self.clock(), m.ref, life.number)

    def _note(self, upstream: Upstream, m: Message) -> None:
        name, value = messages.note(m)
        now = self.clock()
        if name == "served":
            self.host.share_told(now, upstream.name, value)
        elif name == "at_rung":
            self.host.rung_told(now, m.ref, int(value))
        else:
            self.host.load_told(now, upstream.name, name == "rack_use", m.ref, value)
