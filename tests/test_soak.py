"""A short random run of the platform's controller in its process: answers are lost with their connections.

`python tests/test_soak.py SECONDS SEED` plays a longer one by hand, and prints what it found.
"""

import random
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path

import gevent
import pytest
from helpers import closing
from node_world import SETTINGS, FakeStreamer, ProcessWorld

SECONDS = 40.0
SEED = 52
LOST_ANSWERS = 0.05  # share of answers that are lost, and with each the connection's way to the controller
REQUEST_INTERVAL_SECONDS = 0.1
TIME_LEFT_SECONDS = 1.5
LATE_SECONDS = 0.5
RELEASE_SECONDS = 8.05  # after the end of a viewing, by the platform's rules
FASTER = {"Invariants": SETTINGS["Invariants"] | {"RampTime": 500.0}}


class LossyStreamer(FakeStreamer):
    """A streamer that keeps to the platform's rules for releases, and loses some answers.

    It sends a release on the connection of the set-up, failing that on any open one, and again on the next
    connection that opens, until it is acknowledged. A connection on which an answer was lost carries nothing
    to the controller any more.
    """

    def __init__(self, chance: random.Random):
        self.chance, self.playing, self.to_repeat = chance, {}, {}
        self.ended_at: dict[str, float] = {}
        self.dead: set = set()
        super().__init__()

    def _send(self, peer, **message) -> bool:
        if peer.ended:
            return False
        with suppress(OSError):
            if peer not in self.dead:
                peer.send(**message)
            return True
        return False

    def _serve(self, peer) -> None:
        for ref, cause in list(self.to_repeat.items()):
            self._send(peer, t="down", ref=ref, c=cause)
        seen = 0
        while not (peer.ended and seen == len(peer.messages)):
            for message in peer.messages[seen:]:
                seen += 1
                self._on_message(peer, message)
            gevent.sleep(0.002)

    def _on_message(self, peer, message) -> None:
        ref = message["ref"]
        if message["t"] == "hb":
            self._send(peer, t="hb_ok", ref=ref, c=1)
        elif message["t"] == "new":
            self.set_ups.append(message)
            gevent.spawn_later(0.02 + 0.05 * self.chance.random(), self._answer, peer, ref)
        elif message["t"] == "down":
            self._send(peer, t="ack", ref=ref)
            if ref in self.playing:
                self._end(ref, 31)
        elif message["t"] == "ack":
            self.to_repeat.pop(ref, None)

    def _answer(self, peer, ref: str) -> None:
        self.playing[ref] = peer
        if self.chance.random() < LOST_ANSWERS:
            self.dead.add(peer)
        self._send(peer, t="up", ref=ref, d=f"answer to {ref}")
        gevent.spawn_later(1.0 + 4.0 * self.chance.random(), self._end, ref, 16)

    def _end(self, ref: str, cause: int) -> None:
        if (peer := self.playing.pop(ref, None)) is None:
            return
        self.ended_at[ref], self.to_repeat[ref] = time.monotonic(), cause
        for each in (peer, *self.peers):
            if self._send(each, t="down", ref=ref, c=cause):
                break


class Soak:
    """Usual viewers at a controller whose streamers lose answers; `broken` are the breaks of rules found."""

    def __init__(self, world: ProcessWorld, chance: random.Random):
        self.world, self.chance = world, chance
        self.viewers = [world.viewer() for _ in range(3)]
        self.asked: dict[str, tuple[float, object]] = {}
        self.answers: dict[str, list[tuple[float, str]]] = {}
        self.released_at: dict[str, float] = {}
        for viewer in self.viewers:
            gevent.spawn(self._read, viewer)

    def _read(self, viewer) -> None:
        seen = 0
        while not viewer.ended:
            for message in viewer.messages[seen:]:
                seen += 1
                ref, answers = message["ref"], self.answers.setdefault(message["ref"], [])
                if message["t"] in ("down", "shift") and answers and answers[0][1] == "up":
                    self.released_at.setdefault(ref, time.monotonic())
                    viewer.send(t="ack", ref=ref)
                elif message["t"] in ("up", "down"):
                    answers.append((time.monotonic(), message["t"]))
            gevent.sleep(0.005)

    def play(self, seconds: float) -> None:
        """Request viewings for that long, and wait until all releases are due."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            viewer = self.chance.choice(self.viewers)
            fields = {"extras": "home:0;copies:3;top:0;viewer:00000000b4d65521"}
            self.asked[self.world.request_viewing(viewer, **fields)] = time.monotonic(), viewer
            gevent.sleep(REQUEST_INTERVAL_SECONDS)
        gevent.sleep(5.0 + RELEASE_SECONDS)

    def broken(self) -> list[str]:
        """Return what broke a rule."""
        found = []
        ended_at = {}
        for streamer in self.world.streamers.values():
            ended_at |= streamer.ended_at
            found += [f"{ref} plays on for nobody" for ref in streamer.playing]
        for ref, (at, _) in self.asked.items():
            answers = self.answers.get(ref, [])
            if len(answers) != 1:
                found.append(f"{ref} got {len(answers)} answers")
            elif answers[0][0] > at + TIME_LEFT_SECONDS + LATE_SECONDS:
                found.append(f"{ref} was answered after {answers[0][0] - at:.2f} s")
            elif answers[0][1] == "up":
                late = self.released_at.get(ref, float("inf")) - ended_at[ref]
                if late > RELEASE_SECONDS:
                    found.append(f"{ref} was released {late:.2f} s after its end")
        return found

    def figures(self) -> str:
        """Return what the run had, in a line."""
        played = sum(answers[0][1] == "up" for answers in self.answers.values() if answers)
        lost = sum(len(streamer.dead) for streamer in self.world.streamers.values())
        return f"{len(self.asked)} requests, {played} played, {lost} connections lost with an answer"


def run_soak(world: ProcessWorld, seconds: float, seed: int) -> tuple[list[str], str]:
    """Play a soak; return what broke a rule, and its figures."""
    chance = random.Random(seed)
    for name, streamer in list(world.streamers.items()):
        world.streamers[name] = LossyStreamer(chance)
        streamer.close()
    world.resolver.serial += 1
    gevent.sleep(1.5)
    soak = Soak(world, chance)
    soak.play(seconds)
    return soak.broken(), soak.figures()


@pytest.fixture
def start_process(tmp_path):
    yield from closing(ProcessWorld, tmp_path)


# Guards against: a release that is lost with another viewing's answer reaches its viewer late or never.
def test_every_viewing_is_answered_and_released_though_answers_are_lost(start_process):
    broken, figures = run_soak(start_process(**FASTER), SECONDS, SEED)
    assert not broken, (figures, broken)


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as folder:
        a_world = ProcessWorld(Path(folder), **FASTER)
        try:
            print(*run_soak(a_world, float(sys.argv[1]), int(sys.argv[2])), sep="\n")
        finally:
            a_world.close()
