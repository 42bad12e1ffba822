"""Case 8: bad clients send figures that are out of range or not numbers, beside a usual client."""

import sys
from pathlib import Path

import gevent

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from small_site import OFFER, TROUBLE, Lines, Site, play, socket  # noqa: E402

OWED_SECONDS = 3.0  # within which a bad client gets a refusal, an error or a close
EXTRAS = "home:{};copies:4;top:4;viewer:00000000b4d65521"
# What is wrong, `left` and `home`. The deployment has 4 cells; its longest deadline is 5000 ms.
BAD = [
    ("left is not a number", "1_500", 0),
    ("left is not a number", "\u0661\u0665\u0660\u0660", 0),
    ("home is out of range", "1500", 4_000_000),
]


def case(site: Site) -> list[str]:
    site.start()
    connection = site.viewers.connect()
    served, broken = [], []
    usual = []
    for number, (what, left, home) in enumerate(BAD * 2):
        usual.append(site.viewers.ask(connection))
        gevent.sleep(0.5)
        if not TROUBLE:
            continue
        ref, got = f"{0xBAD0000000000000 + number:016x}", []

        def on_message(_, message, got=got, ref=ref):
            site.record("bad client", ref, "got", message["t"], message.get("c", ""))
            got.append(message)

        bad = Lines(socket.create_connection(site.address), on_message)
        # It is known to the viewers' side, but is none of the usual requests.
        f = {"class": "standard", "left": left, "tenant": "persbureau-noord", "key": "7f3a9c21e0b4d655",
             "extras": EXTRAS.format(home)}  # fmt: skip
        site.record("bad client", ref, "sends a request:", what, ascii(f))
        bad.send(t="new", ref=ref, f=f, d=OFFER)
        site.wait_for(lambda got=got, bad=bad: got or bad.ended, OWED_SECONDS)
        if any(message["t"] == "up" for message in got):
            broken.append(f"{what} (left {ascii(left)}, home {home}): answered 'served'")
        served.append(got)
        gevent.sleep(0.2)
    site.wait_for(lambda: all(request.answers for request in usual), 6)
    if not all(request.plays for request in usual):
        raise RuntimeError("a usual request was not served")
    return broken


play(case, FOLDER / "record.txt")
