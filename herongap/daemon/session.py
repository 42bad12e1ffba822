"""The protocol's part of a viewing: its offer, its secret address, and where it is at its streamer.

What the viewing's state is, only the host knows; nothing here copies it.
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
    """A session resource at a streamer. URLs are paths there; "" where the extension is not offered."""

    streamer: Id
    path: str
    tag: str
    answer: bytes
    layer: str
    events: str


def read_remote_session(streamer: Id, target: str, reply: Reply) -> RemoteSession | None:
    """What a 201 of a streamer to a POST at `target` says; None without a Location on the same server."""
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
    # A streamer's word must not send us to other hosts: only the path of what it names is used.
    parts = urlsplit(urljoin("http://streamer" + target, url))
    if not url or parts.scheme != "http" or parts.netloc != "streamer":
        return ""
    return parts.path + (f"?{parts.query}" if parts.query else "")


@dataclass(slots=True, eq=False)
class Session:
    """One viewing as its client sees it."""

    viewing: Id
    secret: str
    protocol: str
    title: str
    media_type: str
    offer: bytes
    owner: str | None
    key: tuple = ()
    digest: str = ""
    done: Event = field(default_factory=Event)
    answer: Answer | None = None
    remote: RemoteSession | None = None
    waiting: int = 0
    rung: int | None = None
    setting: bool = False
    closed: Event = field(default_factory=Event)
