"""The platform's controller as a separate process on loopback: file descriptors, start and shutdown."""

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
def start_world(tmp_path):
    yield from closing(ProcessWorld, tmp_path)


def test_viewings_continue_while_idle_clients_use_all_descriptors_and_discovery_is_down(start_world):
    world = start_world(streamers=2, sockets=128)
    world.until(lambda: world.resolver.query_count > 1)
    world.resolver.filter_answer = lambda data: None
    idle = []
    for i in range(300):  # at once, and far more than there are descriptors
        idle.append(PlainPeer(world.address))
        if i % 3:
            idle[-1].send(t="hb", ref=f"{i:016x}", c=0)  # two of three send a valid message
    gevent.sleep(0.5)
    client = PlainPeer(world.address)
    for _ in range(3):
        ref = world.request_viewing(client)
        world.until(lambda: client.received("up", ref))  # noqa: B023
    # A drain during the outage is known as soon as discovery answers again.
    name, other = world.streamers
    world.draining.add(name)
    world.resolver.serial += 1
    world.resolver.filter_answer = lambda data: data
    world.until(lambda: world.log_lines("list"), 1.5)
    world.streamers[name].set_ups.clear()
    for _ in range(3):
        ref = world.request_viewing(client)
        world.until(lambda: client.received("up", ref))  # noqa: B023
    assert len(client.received("up")) == 6 and not world.streamers[name].set_ups
    assert not world.log_lines("cannot accept connections") and not world.log_lines("streamer not reached")
    assert len(os.listdir(f"/proc/{world.process.pid}/fd")) < 128
    for peer in idle:
        peer.close()


def test_start_up_takes_less_cpu_time_than_a_tenth_of_a_core_gives_in_10_s(start_world):
    world = start_world()
    with open(f"/proc/{world.process.pid}/stat") as file:
        ticks = sum(map(int, file.read().rsplit(")", 1)[1].split()[11:13]))
    assert ticks / os.sysconf("SC_CLK_TCK") < 0.9  # CPU seconds: 10 s at a share of 0.09


def test_sigterm_answers_all_requests_and_closes_all_connections(start_world):
    world = start_world()

    def play_and_end(peer, message):
        peer.send(t="up", ref=message["ref"], d="d")
        peer.send(t="down", ref=message["ref"], c=16)

    for streamer in world.streamers.values():
        streamer.on_set_up = play_and_end
    idle = [PlainPeer(world.address) for _ in range(8)]
    for client in idle:
        ref = world.request_viewing(client)
        world.until(lambda: client.received("down", ref))  # noqa: B023
    os.kill(world.process.pid, signal.SIGTERM)
    gevent.sleep(0.4)
    late = [PlainPeer(world.address) for _ in range(8)]  # just before new connections are refused
    requests = [(client, world.request_viewing(client)) for client in late]
    gevent.sleep(0.15)
    # And requests on open connections.
    requests += [(client, world.request_viewing(client)) for client in idle]
    world.until(lambda: world.process.poll() is not None, 4.0)
    assert world.process.returncode == 0 and world.log_lines("stopped")[0]["left"] == 0
    for client, ref in requests:
        assert client.is_closed()
        served, ended = client.received("up", ref), client.received("down", ref)
        assert len(ended) == 1 and (served or ended[0]["c"] in (34, 42)), "each viewing ends once"
    assert sum(bool(client.received("up", ref)) for client, ref in requests) > 3


def test_a_failed_start_prints_the_cause_and_advice(start_world):
    world = start_world()
    truncated = world.path.with_name("half.json")
    truncated.write_text(world.path.read_text()[:-40])
    address_in_use = world.path.with_name("taken.json")
    address_in_use.write_text(world.path.read_text())
    for path, cause, advice in (
        (truncated, "line 1 column", "correct the configuration file"),
        (address_in_use, "already in use", "the address is free"),
        (truncated.with_name("none"), "No such file", "can be read"),
    ):
        finished = subprocess.run(
            [sys.executable, "-m", "herongap.node"],
            env=os.environ | {"PROXY_CONFIG": str(path)},
            capture_output=True,
            text=True,
            timeout=30,
        )
        assert finished.returncode == 1 and cause in finished.stderr and advice in finished.stderr
