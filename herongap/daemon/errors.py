"""The errors of the gevent shell that more than one file raises."""

from herongap.errors import HerongapError


class PeerDisconnectedError(HerongapError):
    """The peer hung up, or was too slow; nothing can be said to it."""

    advice = "see the peer and the way there"
