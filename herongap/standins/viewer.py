"""Scripted viewers and publishers: an offer with a timeout, consent while they play, teardown and retry."""

import random
import time
from contextlib import suppress
from typing import NamedTuple

import gevent
import h11
import sdp_transform
from gevent import socket

from herongap.daemon.http_connection import Address, ClientConnection, request_once
from herongap.http import ICE_FRAGMENT, SDP, Reply, problem_kind
from herongap.sdp import Endpoint, Fragment, create_offer
from herongap.sdp.fragment import write_fragment
from herongap.standins import stun


class AttemptResult(NamedTuple):
    """The result of one POST: its status (0 without a reply), the kind of problem and the seconds taken."""

    status: int
    kind: str
    elapsed: float
    reply: Reply | None


class Viewer:
    """One client. Its name and the seed determine its offers; `new_offer` replaces the current one."""

    def __init__(
        self,
        name: str,
        front: Address,
        target: str,
        log,
        seed: int = 0,
        headers=(),
        direction: str = "recvonly",
        clock=time.monotonic,
    ):
        self.name, self.front, self.target, self.log = name, front, target, log
        self.headers, self.direction, self.clock = list(headers), direction, clock
        self.random = random.Random(f"{seed} {name}")
        self.turn, self.location, self.tag, self.peer = 0, "", "", None
        self.new_offer()

    def new_offer(self) -> None:
        """Makes a new offer, as a client that retries does."""
        self.turn += 1
        number = self.random.getrandbits(52)
        fingerprint = ":".join(f"{self.random.getrandbits(8):02X}" for _ in range(32))
        self.local = Endpoint(
            f"v{number:x}", f"{number:x}".rjust(24, "p"), fingerprint, "127.0.0.1", 9, number
        )
        self.offer = create_offer(self.local, self.direction)
        # As herongap.sdp reads it from the offer. It joins the viewer's log to the streamers' logs.
        self.identity = f"- {number} 1 127.0.0.1 {self.local.ufrag} sha-256 {fingerprint}"

    def post(self, patience: float, hang_up: float | None = None) -> AttemptResult:
        """Posts the offer and waits for the answer, or hangs up after `hang_up` seconds."""
        began = self.clock()
        request = dict(identity=self.identity, target=self.target, patience=patience, front=self.front[1])
        self.log(self.name, "asked", **request)
        status, kind, reply, call = 0, "", None, None
        try:
            call = ClientConnection(self.front, 2.0)
            call.send("POST", self.target, [("Content-Type", SDP), *self.headers], self.offer.encode())
            reply = call.receive(patience if hang_up is None else hang_up)
            status, kind = reply.status, problem_kind(reply.body)
        except TimeoutError:
            kind = "gave-up" if hang_up is None else "hung-up"
        except (OSError, h11.ProtocolError) as error:
            kind = f"broken: {error!r}"[:80]
        finally:
            if call:
                call.close()
        if status == 201:
            self.location, self.tag = reply.header("location"), reply.header("etag")
            media = sdp_transform.parse(reply.body.decode())["media"][0]
            self.peer = (media["candidates"][0]["ip"], media["candidates"][0]["port"])
            self.remote_ufrag = str(media["iceUfrag"])
        elapsed = self.clock() - began
        self.log(
            self.name, "answered", identity=self.identity, asked=began, status=status, kind=kind,
            taken=round(elapsed, 4), front=self.front[1], location=self.location if status == 201 else "",
        )  # fmt: skip
        return AttemptResult(status, kind, elapsed, reply)

    def play(self, seconds: float, lost_after: float = 4.0) -> bool:
        """Sends a consent check each second while playing; returns False if the streamer stops answering."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        end = last_answer = self.clock()
        end += seconds
        try:
            while self.clock() < end:
                with suppress(OSError):
                    sock.sendto(stun.request(self.remote_ufrag, self.local.ufrag), self.peer)
                    sock.settimeout(max(0.01, min(1.0, end - self.clock())))
                    sock.recv(2048)
                    last_answer = self.clock()
                    gevent.sleep(max(0.0, min(1.0, end - self.clock())))
                if self.clock() - last_answer > lost_after:
                    return False
            return True
        finally:
            sock.close()

    def call(self, method: str, headers=(), body: bytes = b"", target: str | None = None) -> Reply:
        """Sends any other request to the controller, by default to the session."""
        target = self.location if target is None else target
        return request_once(self.front, method, target, [*self.headers, *headers], body, connect_timeout=2.0)

    def trickle(self, tag: str | None = None) -> Reply:
        """Sends one more ICE candidate."""
        fragment = Fragment(
            self.local.ufrag, self.local.pwd, (("0", "1 1 udp 1 127.0.0.1 9 typ host"),), False
        )
        return self._patch(fragment, tag or self.tag)

    def restart_ice(self) -> Reply:
        """Restarts ICE with a new ufrag, under If-Match: *."""
        reply = self._patch(Fragment(self.local.ufrag + "r", self.local.pwd, (), False), "*")
        if reply.status == 200:
            self.local = self.local._replace(ufrag=self.local.ufrag + "r")
            self.tag = reply.header("etag")
        return reply

    def _patch(self, fragment: Fragment, tag: str) -> Reply:
        headers = [("Content-Type", ICE_FRAGMENT), ("If-Match", tag)]
        return self.call("PATCH", headers, write_fragment(fragment))

    def delete(self) -> int:
        """Ends the session; returns the status, 0 without a reply."""
        self.log(self.name, "deleting", identity=self.identity)
        try:
            return self.call("DELETE").status
        except (OSError, h11.ProtocolError):
            return 0
