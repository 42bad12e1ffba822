"""The protocol side of a viewing: its offer, its secret address, and its session resource at the streamer.

The state of the viewing itself is kept by the host alone and is not copied here.
"""

from dataclasses import dataclass, field
from typing import NamedTuple
from urllib.parse import urljoin, urlsplit

from gevent.event import Event

from herongap.host import Answer
from herongap.http import Reply, read_links
from herongap.whip import EVENTS_EXTENSION, LAYERS_EXTENSION

Id = int | str


class RemoteSession(NamedTuple):
    """A session resource at a streamer.

    URLs are paths on that streamer; an empty path means that the streamer does not offer the extension.
    """

    streamer: Id
    path: str
    tag: str
    answer: bytes
    layer: str
    events: str


def read_remote_session(streamer: Id, target: str, reply: Reply) -> RemoteSession | None:
    """Read a streamer's 201 reply to a POST at `target`; None without a Location on the same server."""
    location = _path(target, reply.header("location") or "")
    if not location:
        return None
    links = {t.rel: _path(target, t.url) for t in read_links(reply.header("link") or "")}
    links |= {
        t.rel: _path(target, t.url) for k, v in reply.headers if k.lower() == "link" for t in read_links(v)
    }
    body = reply.body if isinstance(reply.body, bytes) else b""
    return RemoteSession(
        streamer,
        location,
        reply.header("etag") or "",
        body,
        links.get(LAYERS_EXTENSION, ""),
        links.get(EVENTS_EXTENSION, ""),
    )


def _path(target: str, url: str) -> str:
    # A streamer must not be able to direct requests to other hosts, so only the path of its URL is used.
    parts = urlsplit(urljoin("http://streamer" + target, url))
    if not url or parts.scheme != "http" or parts.netloc != "streamer":
        return ""
    return parts.path + (f"?{parts.query}" if parts.query else "")


@dataclass(slots=True, eq=False)
class Session:
    """One viewing as its client sees it.

    `repeat_key` and `digest` identify a repeated request (see `SessionRequest`). `answered` is set once
    `answer` is known, `closed` when the session is over. `waiters` counts the requests waiting for the
    answer. `pending_rung` is a rung still to be sent to the streamer, and `setting_rung` is true while one is
    sent.
    """

    viewing: Id
    secret: str
    protocol: str
    title: str
    media_type: str
    offer: bytes
    owner: str | None
    repeat_key: tuple = ()
    digest: str = ""
    answered: Event = field(default_factory=Event)
    answer: Answer | None = None
    remote: RemoteSession | None = None
    waiters: int = 0
    pending_rung: int | None = None
    setting_rung: bool = False
    closed: Event = field(default_factory=Event)
