"""A front that is killed and comes back: what plays on is taken up, what does not is let go."""

import gevent
import lmdb
import pytest
from helpers import closing
from loopback import World

from herongap.daemon.journal import Journal, JournalLockedError
from herongap.daemon.run import Daemon
from herongap.ini import read_site


class Restarting(World):
    def __init__(self, folder, **more):
        super().__init__(folder, **more)
        # The journal is a key of [front], which the shared file begins with.
        self.daemon.kill()
        ini = folder / "front.ini"
        ini.write_text(ini.read_text().replace("[front]", "[front]\njournal = journal", 1))
        self.playing_viewers = []
        self.start()

    def start(self):
        self.daemon = Daemon(read_site(self.folder / "front.ini"))
        self.daemon.start()

    def restart(self, after=0.0):
        self.daemon.kill()
        gevent.sleep(after)
        self.start()
        self.until(lambda: not self.daemon.journal.entries)

    def joined(self, count, target="/whep/1"):
        made = [self.viewer(f"v{len(self.playing_viewers) + i}", target) for i in range(count)]
        for v in made:
            assert v.post(2.0).status == 201
        self.playing_viewers += [gevent.spawn(v.play, 20.0) for v in made]
        gevent.sleep(0.1)
        return made

    def lives(self):
        return self.daemon.host.viewings


@pytest.fixture
def world(tmp_path):
    yield from closing(Restarting, tmp_path)


def test_viewings_live_through_a_killed_front_and_are_controlled_again(world):
    w = world()
    viewers = w.joined(6)
    name = w.daemon.name
    w.restart(after=0.5)
    assert w.daemon.name == name and w.daemon.host.counts["adopted"] == 6 and len(w.lives()) == 6
    gevent.sleep(2.5)  # longer than a streamer keeps what a lost front held
    assert w.playing() == 6 and w.count("ended") == 0 and w.count("post") == 6
    viewing = next(iter(w.lives()))
    w.daemon.host._act(w.daemon.clock(), "rung", viewing, 0)
    w.until(lambda: w.count("rung") == 1)
    for v in viewers:
        v.front = w.daemon.address
        assert v.delete() == 200
    w.until(lambda: w.playing() == 0 and not w.lives())
    w.restart()
    assert w.daemon.host.counts["adopted"] == 0, "what has ended is not taken up again"


def test_a_repeated_offer_after_the_restart_is_the_same_viewing(world):
    w = world()
    (v,) = w.joined(1)
    location = v.location
    w.restart()
    v.front = w.daemon.address
    assert v.post(2.0).status == 201 and v.location == location and w.count("post") == 1
    new = w.viewer("new")
    new.front = w.daemon.address
    assert new.post(2.0).status == 201
    assert len(set(w.lives())) == 2, "a new process gives no id that the old one gave"


def test_what_ended_while_the_front_was_away_is_let_go_with_its_seat(world):
    w = world()
    first, second = w.joined(2, "/whep/1?package=priority")
    gone = next(st for st in w.streamers if st.sessions)
    session = next(iter(gone.sessions.values()))
    w.daemon.kill()
    gone.end(session, "viewer-gone", tell=False)
    w.start()
    w.until(lambda: not w.daemon.journal.entries)
    assert w.daemon.host.counts["adopted"] == 1 and len(w.lives()) == 1
    third, fourth = w.viewer("c", "/whep/1?package=priority"), w.viewer("d", "/whep/1?package=priority")
    assert third.post(2.0).status == 201 and fourth.post(2.0).status == 503, "two seats, one taken up"


def test_a_set_up_that_was_out_is_not_repeated_and_leaves_nothing_at_its_streamer(world):
    w = world()
    w.order("slow", by=0.3)
    v = w.viewer("v", "/whip/1", direction="sendonly")
    asking = gevent.spawn(v.post, 2.0)
    w.until(lambda: w.count("post") == 1)
    w.daemon.kill()
    assert asking.get().status == 0
    w.start()
    w.until(lambda: not w.daemon.journal.entries)
    gevent.sleep(0.5)
    assert w.count("post") == 1 and not w.lives(), "it may have run: it is not set up again"
    w.until(lambda: w.playing() == 0, 8.0)


def test_a_streamer_that_started_anew_and_one_that_is_silent(world):
    w = world()
    w.joined(6)
    held = [st for st in w.streamers if st.sessions]
    w.daemon.kill()
    w.order("die", held[0].name)
    gevent.sleep(0.1)
    w.order("start", held[0].name)
    lost = 6 - w.playing()
    w.order("silent", held[1].name)
    mute = len(held[1].sessions)
    w.start()
    w.until(lambda: not w.daemon.journal.entries, 10.0)
    assert len(w.lives()) == 6 - lost - mute == w.daemon.host.counts["adopted"]


def test_a_second_crash_in_the_middle_of_recovery_loses_nothing(world):
    w = world()
    w.joined(6)
    w.daemon.kill()
    w.start()
    w.daemon.kill()  # before its recovery has run
    w.start()
    w.until(lambda: not w.daemon.journal.entries)
    assert w.daemon.host.counts["adopted"] == 6 and w.playing() == 6


def test_two_processes_on_one_journal_and_bad_stores(tmp_path):
    one = Journal(str(tmp_path / "j"), "herongap-0-1")
    with pytest.raises(JournalLockedError):
        Journal(str(tmp_path / "j"), "herongap-0-2")
    with one.env.begin(write=True) as txn:
        txn.put(b"viewing/v1", b"torn")
    one.close()
    two = Journal(str(tmp_path / "j"), "herongap-0-2")
    assert two.incarnation == 2 and not two.entries
    with two.env.begin(write=True) as txn:
        txn.put(b"meta/format", b"0")
    two.close()
    three = Journal(str(tmp_path / "j"), "herongap-0-3")
    assert (
        (tmp_path / "j" / "viewings.bad-0").exists()
        and three.incarnation == 1
        and three.name == "herongap-0-3"
    )
    three.close()


def test_a_journal_that_cannot_be_written_is_told_once_and_viewings_go_on(world, monkeypatch, capfd):
    w = world()

    class Full:
        def begin(self, **_):
            raise lmdb.MapFullError("full")

    real, w.daemon.journal.env = w.daemon.journal.env, Full()
    w.joined(3)
    assert len(w.lives()) == 3 and w.daemon.journal.failing
    assert "".join(capfd.readouterr()).count("journal not written") == 1
    w.daemon.journal.env = real
    w.joined(1)
    assert not w.daemon.journal.failing
