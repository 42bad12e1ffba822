"""A new streamer process at the address of an old one, and a front that is a process of its own."""

import gevent
import pytest
from helpers import closing
from loopback import ProcessFleet

from herongap.daemon.http_connection import request_once

OFFER_TYPE = ("Content-Type", "application/sdp")


@pytest.fixture
def start_front(tmp_path):
    yield from closing(ProcessFleet, tmp_path)


def restart_with_a_session(streamer, viewer) -> None:
    """Replace a streamer's process; the new one has a session of the front before the front's stream is back.

    So it is when a tune-in was on its way as the old process ended.
    """
    front = next(session.front for session in streamer.sessions.values())
    streamer.die()
    gevent.sleep(0.005)  # the listener is closed
    streamer.up()
    headers = [OFFER_TYPE, ("Via", f"1.1 {front}")]
    offer = viewer.offer.encode()
    assert request_once(streamer.address, "POST", "/whep/1?layer=0", headers, offer).status == 201


# Guards against: viewings of a process that is gone are held for good, as one at its address has others.
def test_viewings_of_a_process_that_was_replaced_at_its_address_end(start_front):
    front = start_front(streamers=1)
    (streamer,) = front.streamers
    viewers = [front.viewer(f"v{i}") for i in range(3)]
    assert [viewer.post(2.0).status for viewer in viewers] == [201, 201, 201]
    gevent.sleep(0.2)  # the event stream is open
    restart_with_a_session(streamer, front.viewer("another"))
    gevent.sleep(1.0)
    assert [viewer.delete() for viewer in viewers] == [404, 404, 404]


# Guards against: the same check ends viewings that play on, when only the event stream broke.
def test_viewings_play_on_when_only_the_event_stream_breaks(start_front):
    front = start_front(streamers=1)
    (streamer,) = front.streamers
    viewers = [front.viewer(f"v{i}") for i in range(3)]
    assert [viewer.post(2.0).status for viewer in viewers] == [201, 201, 201]
    front.until(lambda: any(streamer.streams.values()))
    for sock in list(streamer.server.open):
        sock.shutdown(2)
    gevent.sleep(1.0)
    assert len(streamer.sessions) == 3
    assert [viewer.delete() for viewer in viewers] == [200, 200, 200]
