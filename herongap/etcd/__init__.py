"""etcd's v3 API over its JSON gateway, without I/O: messages, the follower of a prefix, our keys, leases."""

from herongap.etcd.directory import Directory
from herongap.etcd.endpoints import Endpoints
from herongap.etcd.follower import Change, Follower, Item, Need, Told
from herongap.etcd.membership import Membership, Step
from herongap.etcd.messages import Frames, Refused

__all__ = [
    "Change",
    "Directory",
    "Endpoints",
    "Follower",
    "Frames",
    "Item",
    "Membership",
    "Need",
    "Refused",
    "Step",
    "Told",
]
