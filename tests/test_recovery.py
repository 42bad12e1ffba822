"""A daemon that is killed and restarted: viewings that still play are adopted, the others are released."""

import gevent
import lmdb
import pytest
from helpers import closing
from loopback import LoopbackFleet

from herongap.daemon.journal import Journal, JournalLockedError
from herongap.daemon.run import Daemon
from herongap.ini import read_site_config


class RestartableFleet(LoopbackFleet):
    """A fleet whose daemon keeps a journal and can be restarted."""

    def __init__(self, folder, **more):
        super().__init__(folder, **more)
        # The journal is set in [front], the first section of the shared configuration.
        self.daemon.kill()
        ini = folder / "front.ini"
        ini.write_text(ini.read_text().replace("[front]", "[front]\njournal = journal", 1))
        self.playing_viewers = []
        self.start()

    def start(self):
        self.daemon = Daemon(read_site_config(self.folder / "front.ini"))
        self.daemon.start()

    def restart(self, delay=0.0):
        self.daemon.kill()
        gevent.sleep(delay)
        self.start()
        self.until(lambda: not self.daemon.journal.entries)

    def join(self, count, target="/whep/1"):
        viewers = [self.viewer(f"v{len(self.playing_viewers) + i}", target) for i in range(count)]
        for viewer in viewers:
            assert viewer.post(2.0).status == 201
        self.playing_viewers += [gevent.spawn(viewer.play, 20.0) for viewer in viewers]
        gevent.sleep(0.1)
        return viewers

    def viewings(self):
        return self.daemon.host.viewings


@pytest.fixture
def start_fleet(tmp_path):
    yield from closing(RestartableFleet, tmp_path)


def test_viewings_survive_a_killed_daemon_and_are_controlled_again(start_fleet):
    fleet = start_fleet()
    viewers = fleet.join(6)
    name = fleet.daemon.name
    fleet.restart(delay=0.5)
    assert (
        fleet.daemon.name == name and fleet.daemon.host.counts["adopted"] == 6 and len(fleet.viewings()) == 6
    )
    gevent.sleep(2.5)  # longer than a streamer keeps the sessions of a lost controller
    assert fleet.session_count() == 6 and fleet.count("ended") == 0 and fleet.count("post") == 6
    viewing = next(iter(fleet.viewings()))
    fleet.daemon.host._act(fleet.daemon.clock(), "rung", viewing, 0)
    fleet.until(lambda: fleet.count("rung") == 1)
    for viewer in viewers:
        viewer.front = fleet.daemon.address
        assert viewer.delete() == 200
    fleet.until(lambda: fleet.session_count() == 0 and not fleet.viewings())
    fleet.restart()
    assert fleet.daemon.host.counts["adopted"] == 0, "ended viewings are not adopted"


def test_an_offer_repeated_after_the_restart_is_the_same_viewing(start_fleet):
    fleet = start_fleet()
    (viewer,) = fleet.join(1)
    location = viewer.location
    fleet.restart()
    viewer.front = fleet.daemon.address
    assert viewer.post(2.0).status == 201 and viewer.location == location and fleet.count("post") == 1
    new = fleet.viewer("new")
    new.front = fleet.daemon.address
    assert new.post(2.0).status == 201
    assert len(set(fleet.viewings())) == 2, "a new process does not reuse ids of the previous one"


def test_a_viewing_that_ended_during_the_outage_is_released_with_its_seat(start_fleet):
    fleet = start_fleet()
    first, second = fleet.join(2, "/whep/1?package=priority")
    streamer = next(st for st in fleet.streamers if st.sessions)
    session = next(iter(streamer.sessions.values()))
    fleet.daemon.kill()
    streamer.end(session, "viewer-gone", notify=False)
    fleet.start()
    fleet.until(lambda: not fleet.daemon.journal.entries)
    assert fleet.daemon.host.counts["adopted"] == 1 and len(fleet.viewings()) == 1
    third, fourth = (
        fleet.viewer("c", "/whep/1?package=priority"),
        fleet.viewer("d", "/whep/1?package=priority"),
    )
    assert third.post(2.0).status == 201 and fourth.post(2.0).status == 503, "two seats, one of them adopted"


def test_a_tune_in_in_flight_is_not_retried_and_leaves_no_session(start_fleet):
    fleet = start_fleet()
    fleet.command("slow", by=0.3)
    viewer = fleet.viewer("v", "/whip/1", direction="sendonly")
    posting = gevent.spawn(viewer.post, 2.0)
    fleet.until(lambda: fleet.count("post") == 1)
    fleet.daemon.kill()
    assert posting.get().status == 0
    fleet.start()
    fleet.until(lambda: not fleet.daemon.journal.entries)
    gevent.sleep(0.5)
    assert fleet.count("post") == 1 and not fleet.viewings(), "it may have run, so it is not retried"
    fleet.until(lambda: fleet.session_count() == 0, 8.0)


def test_viewings_at_a_restarted_or_silent_streamer_are_not_adopted(start_fleet):
    fleet = start_fleet()
    fleet.join(6)
    held = [st for st in fleet.streamers if st.sessions]
    fleet.daemon.kill()
    fleet.command("die", held[0].name)
    gevent.sleep(0.1)
    fleet.command("start", held[0].name)
    lost = 6 - fleet.session_count()
    fleet.command("silent", held[1].name)
    silent = len(held[1].sessions)
    fleet.start()
    fleet.until(lambda: not fleet.daemon.journal.entries, 10.0)
    assert len(fleet.viewings()) == 6 - lost - silent == fleet.daemon.host.counts["adopted"]


def test_a_second_crash_before_recovery_loses_nothing(start_fleet):
    fleet = start_fleet()
    fleet.join(6)
    fleet.daemon.kill()
    fleet.start()
    fleet.daemon.kill()  # before its recovery has run
    fleet.start()
    fleet.until(lambda: not fleet.daemon.journal.entries)
    assert fleet.daemon.host.counts["adopted"] == 6 and fleet.session_count() == 6


def test_a_journal_is_locked_and_unreadable_ones_are_moved_aside(tmp_path):
    first = Journal(str(tmp_path / "j"), "herongap-0-1")
    with pytest.raises(JournalLockedError):
        Journal(str(tmp_path / "j"), "herongap-0-2")
    with first.env.begin(write=True) as txn:
        txn.put(b"viewing/v1", b"torn")
    first.close()
    second = Journal(str(tmp_path / "j"), "herongap-0-2")
    assert second.incarnation == 2 and not second.entries
    with second.env.begin(write=True) as txn:
        txn.put(b"meta/format", b"0")
    second.close()
    third = Journal(str(tmp_path / "j"), "herongap-0-3")
    assert (
        (tmp_path / "j" / "viewings.bad-0").exists()
        and third.incarnation == 1
        and third.name == "herongap-0-3"
    )
    third.close()


def test_a_journal_that_cannot_be_written_is_logged_once_and_viewings_continue(
    start_fleet, monkeypatch, capfd
):
    fleet = start_fleet()

    class FullEnvironment:
        def begin(self, **_):
            raise lmdb.MapFullError("full")

    real, fleet.daemon.journal.env = fleet.daemon.journal.env, FullEnvironment()
    fleet.join(3)
    assert len(fleet.viewings()) == 3 and fleet.daemon.journal.failing
    assert "".join(capfd.readouterr()).count("journal not written") == 1
    fleet.daemon.journal.env = real
    fleet.join(1)
    assert not fleet.daemon.journal.failing
