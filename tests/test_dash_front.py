"""The DASH service on loopback, beside WHEP in one controller: manifests, tokens, moves and ends."""

import time

import gevent
import pytest
from helpers import closing
from loopback import KIND, LoopbackFleet

from herongap.daemon.http_connection import ClientConnection
from herongap.host import ViewingState
from herongap.standins.player import Player

DASH = """
[package both]
protocol = dash, whep
join_target = 0.5
patience = 1.2
seats = {seats}
[dash]
keys = keys
segment = 0.5
update = 0.4
token = {token}
rotate = {rotate}
ahead = {ahead}
"""


class DashFleet(LoopbackFleet):
    """A fleet whose streamers serve segments, with players."""

    def __init__(self, folder, seats=0, token=4, rotate=1000, ahead=10, **more):
        super().__init__(
            folder, extra=DASH.format(seats=seats, token=token, rotate=rotate, ahead=ahead), **more
        )
        for streamer in self.streamers:
            streamer.segments.controllers = [self.daemon.address]
            streamer.segments.segment = 0.5

    def player(self, name="p", target="/dash/1", **more) -> Player:
        return Player(name, self.daemon.address, target, lambda *a, **k: None, **more)

    def fetch(self, address, target, method="GET"):
        connection = ClientConnection(address, 1.0)
        connection.send(method, target)
        reply = connection.receive(5.0)
        connection.close()
        return reply

    def segment(self, manifest, rung=0, address=None, base=None):
        """Fetch the newest segment of a manifest."""
        return self.fetch(
            address or manifest.streamer, f"{base or manifest.base}{rung}/{manifest.count - 1}.m4s"
        )

    def streamer_of(self, manifest):
        return next(st for st in self.streamers if st.address == manifest.streamer)

    def viewing_at(self, streamer):
        return next(
            hosted for hosted in self.daemon.host.viewings.values() if hosted.streamer == streamer.name
        )


@pytest.fixture
def start_fleet(tmp_path):
    yield from closing(DashFleet, tmp_path)


def test_a_player_plays_from_one_streamer_and_ends(start_fleet):
    fleet = start_fleet()
    player = fleet.player()
    reply = player.join()
    assert reply.status == 200 and reply.header("content-type") == "application/dash+xml"
    assert player.play(2.5) and len(player.rungs) >= 3 and player.played > 1.0
    assert fleet.count("post") == 1 and fleet.count("joined") == 1 and fleet.session_count() == 1
    assert set(player.statuses) == {200}, "the manifest was refreshed throughout, and no token was rejected"
    assert player.delete() == 200 and fleet.session_count() == 0
    assert player.refresh().status == 410 and fleet.segment(player.manifest).status == 410


def test_repeated_manifest_requests_are_one_viewing(start_fleet):
    fleet = start_fleet()
    fleet.command("slow", by=0.1)  # less than half of the tune-in's time-out, also on a busy machine
    player = fleet.player()
    joins = [gevent.spawn(Player.join, player) for _ in range(4)]
    gevent.joinall(joins)
    assert [join.value.status for join in joins] == [200] * 4 and fleet.count("post") == 1
    assert len({join.value.header("content-location") for join in joins}) == 1
    gevent.joinall([gevent.spawn(player.refresh) for _ in range(4)])
    assert fleet.count("post") == 1 and len(fleet.daemon.host.viewings) == 1
    other = fleet.player("q")
    assert other.join().status == 200 and fleet.count("post") == 2, "another session is another viewing"


def test_a_streamer_that_dies_before_the_first_segment_is_replaced_by_the_next_manifest(start_fleet):
    fleet = start_fleet()
    player = fleet.player()
    player.join()
    first = fleet.streamer_of(player.manifest)
    fleet.command("die", first.name)
    assert player.play(3.0) and player.moves == 1 and player.rungs
    assert fleet.streamer_of(player.manifest) is not first and fleet.session_count() == 1
    assert fleet.count("post") == 2 and len(fleet.daemon.host.viewings) == 1


def test_a_lowered_rung_is_enforced_by_the_streamer_and_shown_in_the_next_manifest(start_fleet):
    fleet = start_fleet()
    player = fleet.player()
    player.join()
    old = player.manifest
    assert max(old.rates) == 2
    viewing = next(iter(fleet.daemon.host.viewings))
    fleet.daemon.host._act(fleet.daemon.clock(), "rung", viewing, 0)
    streamer = fleet.streamer_of(old)
    fleet.until(lambda: next(iter(streamer.sessions.values())).rung == 0)
    assert fleet.segment(old, rung=2).status == 403, "an old manifest gives no access to a higher rung"
    assert fleet.segment(old, rung=0).status == 200
    player.refresh()
    assert set(player.manifest.rates) == {0}
    fleet.daemon.host._act(fleet.daemon.clock(), "rung", viewing, 1)
    fleet.until(lambda: next(iter(streamer.sessions.values())).rung == 1)
    assert fleet.segment(player.manifest, rung=1).status == 403, (
        "a raise needs the token of the next manifest"
    )
    player.refresh()
    assert fleet.segment(player.manifest, rung=1).status == 200


def test_tokens_expire_and_are_valid_for_one_title_at_one_streamer(start_fleet):
    fleet = start_fleet(token=2)
    player = fleet.player()
    player.join()
    manifest = player.manifest
    other = next(st for st in fleet.streamers if st.address != manifest.streamer)
    assert fleet.segment(manifest).status == 200
    assert fleet.segment(manifest, address=other.address).status == 403
    assert fleet.segment(manifest, base=manifest.base.replace("/dash/1/", "/dash/2/")).status == 403
    assert fleet.segment(manifest, base=manifest.base[:-3] + "x/").status == 401
    later = lambda: time.time() + 4.5  # noqa: E731  past the expiry and the allowed clock difference
    fleet.daemon.handler.dash.wall_clock = fleet.streamer_of(manifest).segments.wall = later
    assert (
        fleet.segment(manifest).status == 401 and fleet.streamer_of(manifest).segments.refused["expired"] == 1
    )
    player.refresh()
    assert player.manifest.base != manifest.base and fleet.segment(player.manifest).status == 200


def test_a_key_rotation_during_a_viewing_rejects_no_token(start_fleet):
    # The stand-in fetches unknown keys once a second at most, so keys must follow each other less often.
    fleet = start_fleet(rotate=2.4, ahead=1.0, token=2)
    # Keys are reloaded for each manifest.
    fleet.daemon.handler.dash._reload_keys_if_due = fleet.daemon.handler.dash.load
    player = fleet.player()
    player.join()
    assert player.play(9.0) and set(player.statuses) == {200}
    kids = {key.kid for key in fleet.daemon.handler.dash.keys.rotation.keys}
    assert len(kids) >= 2 and sum(st.segments.fetched_at > 0 for st in fleet.streamers) == 1


def test_a_viewing_ends_when_its_player_falls_silent_and_the_player_may_return(start_fleet):
    fleet = start_fleet(kind=KIND._replace(consent=0.6, join_wait=1.0))
    player = fleet.player()
    player.join()
    fleet.segment(player.manifest)
    fleet.until(lambda: not fleet.daemon.host.viewings, 4.0)
    assert fleet.segment(player.manifest).status == 410
    player.refresh()
    assert fleet.segment(player.manifest).status == 200 and fleet.count("post") == 2


def test_a_manifest_requested_during_a_move_names_the_new_streamer(start_fleet):
    fleet = start_fleet()
    player = fleet.player()
    player.join()
    viewing = next(iter(fleet.daemon.host.viewings))
    fleet.daemon.host.left(fleet.daemon.clock(), viewing)
    assert fleet.daemon.host.viewings[viewing].state is ViewingState.CLOSING
    assert player.refresh().status == 200 and fleet.segment(player.manifest).status == 200
    fleet.until(lambda: fleet.session_count() == 1)
    assert len(fleet.daemon.host.viewings) == 1


def test_concurrent_dash_and_whep_requests_do_not_exceed_the_seats(start_fleet):
    fleet = start_fleet(seats=3)
    players = [fleet.player(f"p{i}") for i in range(6)]
    viewers = [fleet.viewer(f"v{i}", "/whep/1?package=both") for i in range(6)]
    joins = [gevent.spawn(player.join) for player in players]
    posts = [gevent.spawn(v.post, 3.0) for v in viewers]
    gevent.joinall([*joins, *posts])
    statuses = [j.value.status for j in joins] + [t.value.status for t in posts]
    assert sum(status in (200, 201) for status in statuses) == 3 and statuses.count(503) == 9
    assert fleet.session_count() == 3 and fleet.count("started") == 3
    assert all(j.value.header("retry-after") for j in joins if j.value.status == 503)


def test_a_freed_seat_goes_to_a_player_that_was_blocked(start_fleet):
    fleet = start_fleet(seats=1)
    first, second = fleet.player("p"), fleet.player("q")
    assert first.join().status == 200 and second.join().status == 503
    first.delete()
    assert second.join().status == 200 and fleet.session_count() == 1, (
        "the same player session, a new viewing"
    )


def test_a_player_moves_before_its_controller_notices_a_cut_off_streamer(start_fleet):
    fleet = start_fleet()
    player = fleet.player()
    player.join()
    streamer = fleet.streamer_of(player.manifest)
    fleet.command("cut", streamer.name, fronts=["herongap-"])
    streamer.end(next(iter(streamer.sessions.values())), "front-gone", notify=False)
    started = fleet.daemon.clock()
    assert player.play(4.0) and player.moves == 1 and player.rungs
    assert fleet.daemon.clock() - started < 6 and fleet.streamer_of(player.manifest) is not streamer


def test_early_requests_of_a_served_player_cause_no_move(start_fleet):
    fleet = start_fleet()
    player = fleet.player()
    player.join()
    fleet.segment(player.manifest)
    for _ in range(12):
        assert player.refresh().status == 200
        gevent.sleep(0.02)
    assert fleet.count("post") == 1 and player.moves == 0


@pytest.mark.parametrize(
    "target, method, status",
    [
        ("/dash/9", "GET", 404),
        ("/dash/1?package=standard", "GET", 403),
        ("/dash/1", "POST", 405),
        ("/dash/1", "HEAD", 405),
        ("/manifests/nobody", "GET", 410),
        ("/.well-known/jwks.json", "GET", 200),
        ("/.well-known/nothing", "GET", 404),
    ],
)
def test_requests_that_cannot_be_served_get_their_status(start_fleet, target, method, status):
    fleet = start_fleet()
    reply = fleet.fetch(fleet.daemon.address, target, method)
    assert reply.status == status and b'"d"' not in reply.body
