"""The platform's controller as a process of its own, on loopback: its descriptors, its start, its end."""

import os
import signal
import subprocess
import sys

import gevent
import pytest
from helpers import closing
from node_world import ProcessWorld
from plain_peers import PlainPeer


@pytest.fixture
def world(tmp_path):
    yield from closing(ProcessWorld, tmp_path)


def test_idle_clients_fill_the_descriptors_while_discovery_is_down(world):
    w = world(streamers=2, sockets=128)
    w.until(lambda: w.resolver.query_count > 1)
    w.resolver.filter_answer = lambda data: None
    idle = []
    for i in range(300):  # all at once, and far more than there are descriptors
        idle.append(PlainPeer(w.address))
        if i % 3:
            idle[-1].send(t="hb", ref=f"{i:016x}", c=0)  # and two of three say something of use
    gevent.sleep(0.5)
    client = PlainPeer(w.address)
    for _ in range(3):
        ref = w.request_viewing(client)
        w.until(lambda: client.received("up", ref))  # noqa: B023
    # What happened meanwhile is known as soon as discovery answers again.
    name, other = w.streamers
    w.draining.add(name)
    w.resolver.serial += 1
    w.resolver.filter_answer = lambda data: data
    w.until(lambda: w.log_lines("list"), 1.5)
    w.streamers[name].set_ups.clear()
    for _ in range(3):
        ref = w.request_viewing(client)
        w.until(lambda: client.received("up", ref))  # noqa: B023
    assert len(client.received("up")) == 6 and not w.streamers[name].set_ups
    assert not w.log_lines("cannot accept connections") and not w.log_lines("streamer not reached")
    assert len(os.listdir(f"/proc/{w.process.pid}/fd")) < 128
    for peer in idle:
        peer.close()


def test_it_is_ready_within_a_fraction_of_what_a_tenth_of_a_core_gives_in_10_s(world):
    w = world()
    with open(f"/proc/{w.process.pid}/stat") as file:
        ticks = sum(map(int, file.read().rsplit(")", 1)[1].split()[11:13]))
    assert ticks / os.sysconf("SC_CLK_TCK") < 0.9  # seconds of a core: 10 s at a share of 0.09


def test_sigterm_ends_it_with_all_answered_and_every_connection_closed_in_order(world):
    w = world()

    def plays_and_ends(peer, m):
        peer.send(t="up", ref=m["ref"], d="d")
        peer.send(t="down", ref=m["ref"], c=16)

    for s in w.streamers.values():
        s.on_set_up = plays_and_ends
    idle = [PlainPeer(w.address) for _ in range(8)]
    for client in idle:
        ref = w.request_viewing(client)
        w.until(lambda: client.received("down", ref))  # noqa: B023
    os.kill(w.process.pid, signal.SIGTERM)
    gevent.sleep(0.4)
    late = [PlainPeer(w.address) for _ in range(8)]  # to the last moment at which new ones come
    asked = [(client, w.request_viewing(client)) for client in late]
    gevent.sleep(0.15)
    asked += [(client, w.request_viewing(client)) for client in idle]  # and requests on open ones
    w.until(lambda: w.process.poll() is not None, 4.0)
    assert w.process.returncode == 0 and w.log_lines("stopped")[0]["left"] == 0
    for client, ref in asked:
        assert client.is_closed()
        served, ended = client.received("up", ref), client.received("down", ref)
        assert len(ended) == 1 and (served or ended[0]["c"] in (34, 42)), "one end each"
    assert sum(bool(client.received("up", ref)) for client, ref in asked) > 3


def test_a_start_that_cannot_be_says_why_and_what_to_do(world):
    w = world()
    half = w.path.with_name("half.json")
    half.write_text(w.path.read_text()[:-40])
    taken = w.path.with_name("taken.json")
    taken.write_text(w.path.read_text())
    for path, cause, advice in (
        (half, "line 1 column", "correct the configuration file"),
        (taken, "already in use", "the address is free"),
        (half.with_name("none"), "No such file", "can be read"),
    ):
        done = subprocess.run(
            [sys.executable, "-m", "herongap.node"],
            env=os.environ | {"PROXY_CONFIG": str(path)},
            capture_output=True,
            text=True,
            timeout=30,
        )
        assert done.returncode == 1 and cause in done.stderr and advice in done.stderr
