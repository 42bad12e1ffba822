"""Who lives, who hears whom, and how words spread. No I/O; it informs, and never grants a right."""

from herongap.gossip.gossip import Gossip, GossipConfig
from herongap.gossip.members import MemberStatus, MemberTable
from herongap.gossip.messages import Datagram, InvalidDatagram, MemberRecord, decode, encode

__all__ = [
    "MemberTable",
    "Datagram",
    "Gossip",
    "MemberStatus",
    "GossipConfig",
    "InvalidDatagram",
    "MemberRecord",
    "decode",
    "encode",
]
