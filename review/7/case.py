"""Case 7: one answer is lost, and with it the release of a session that was set up on the same connection."""

import sys
from pathlib import Path

import gevent

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from small_site import SLACK_SECONDS, TROUBLE, Site, play  # noqa: E402

RELEASE_SECONDS = 8.0  # "if no release could be sent, within 8 s of its end"
WATCH_SECONDS = 25.0


def case(site: Site) -> list[str]:
    site.start()
    name, streamer = next(iter(site.streamers.items()))
    connection = site.viewers.connect()
    # Some seconds of usual traffic, so that the streamer is warm and known. Titles of cell 0 lie on it alone.
    for _ in range(28):
        streamer.life = lambda ref: 2.0
        site.viewers.ask(connection, home=0, copies=1)
        gevent.sleep(0.5)
    gevent.sleep(2.5)
    streamer.life = lambda ref: 60.0
    first = site.viewers.ask(connection, home=0, copies=1)
    second = site.viewers.ask(connection, home=0, copies=1)
    if not site.wait_for(lambda: first.plays and second.plays, 5):
        raise RuntimeError("the first viewings do not play")
    gevent.sleep(1.5)
    lost = []

    def lose_answer(session) -> bool:
        # The good answer to this set-up does not arrive. The connection is left open and of no further use.
        if TROUBLE and not lost:
            session.connection.lost = True
            site.record(
                name, "connection", session.connection.number, "carries nothing to the controller any more"
            )
        lost.append(session)
        return False

    streamer.on_set_up = lose_answer
    third = site.viewers.ask(connection, home=0, copies=1)
    if not site.wait_for(lambda: lost, 3):
        raise RuntimeError("the third request did not reach the streamer")
    gevent.sleep(0.5)
    # Of the first two sessions, the one that was set up on that connection comes to its end.
    session = next(
        (
            s
            for s in streamer.sessions.values()
            if s.stands and s.connection is lost[0].connection and s is not lost[0]
        ),
        None,
    )
    if session is None:
        raise RuntimeError("no earlier session was set up on that connection")
    streamer.end(session)
    request = site.viewers.requests[session.ref]
    # A viewing now and then, as in a small deployment; all titles but those of cell 0, and some of cell 0.
    for i in range(int(WATCH_SECONDS)):
        gevent.sleep(1.0)
        site.viewers.ask(connection, home=i % 4, copies=1)
        if request.releases:
            break
    site.record("third request:", third.answers)
    released = request.releases[0][0] if request.releases else None
    if released is None:
        return [f"session {session.ref} is over, its viewer got no release within {WATCH_SECONDS} s"]
    after = released - session.ended_at
    site.record(f"release {after:.3f} s after the end")
    if after > RELEASE_SECONDS + SLACK_SECONDS:
        return [f"session {session.ref}: released {after:.3f} s after its end"]
    return []


play(case, FOLDER / "record.txt")
