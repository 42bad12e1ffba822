"""Membership by gossip: which controllers are alive and which of them hear each other. No I/O.

The result is advisory: it never grants a right.
"""

from herongap.gossip.gossip import Gossip, GossipConfig
from herongap.gossip.members import MemberStatus, MemberTable
from herongap.gossip.messages import Datagram, InvalidDatagram, MemberRecord, decode, encode

__all__ = [
    "Datagram",
    "Gossip",
    "GossipConfig",
    "InvalidDatagram",
    "MemberRecord",
    "MemberStatus",
    "MemberTable",
    "decode",
    "encode",
]
