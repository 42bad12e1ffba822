"""The etcd v3 API over its JSON gateway, without I/O: messages, mirror of a prefix, stored keys, leases."""

from herongap.etcd.endpoints import EndpointSelector
from herongap.etcd.follower import KeyChange, KeyEntry, MessageOutcome, NextAction, PrefixFollower
from herongap.etcd.membership import LeaseRequest, Membership
from herongap.etcd.messages import EtcdError, LineSplitter
from herongap.etcd.registry_state import RegistryState

__all__ = [
    "EndpointSelector",
    "EtcdError",
    "KeyChange",
    "KeyEntry",
    "LeaseRequest",
    "LineSplitter",
    "Membership",
    "MessageOutcome",
    "NextAction",
    "PrefixFollower",
    "RegistryState",
]
