"""Errors that several modules of the daemon raise."""

from herongap.errors import HerongapError


class PeerDisconnectedError(HerongapError):
    """The peer closed the connection or was too slow; no reply can be sent to it."""

    advice = "check the peer and the network path to it"
