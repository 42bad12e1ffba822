"""Consent (RFC 7675) in its smallest form: STUN binding requests (RFC 8489) that name an ICE user pair."""

import os
import struct

COOKIE = 0x2112A442


def request(remote_ufrag: str, my_ufrag: str) -> bytes:
    """A binding request from a viewer, as ICE sends it: USERNAME is the far end's fragment, then one's
    own.
    """
    user = f"{remote_ufrag}:{my_ufrag}".encode()
    body = struct.pack(">HH", 0x0006, len(user)) + user + b"\0" * (-len(user) % 4)
    return struct.pack(">HHI", 0x0001, len(body), COOKIE) + os.urandom(12) + body


def read(packet: bytes) -> tuple[int, bytes, str] | None:
    """Message type, transaction and USERNAME of a STUN message, None for anything else."""
    if len(packet) < 20:
        return None
    kind, size, cookie = struct.unpack(">HHI", packet[:8])
    if cookie != COOKIE or len(packet) != 20 + size:
        return None
    at, user = 20, ""
    while at + 4 <= len(packet):
        attribute, length = struct.unpack(">HH", packet[at : at + 4])
        if attribute == 0x0006:
            user = packet[at + 4 : at + 4 + length].decode("utf-8", "replace")
        at += 4 + length + (-length % 4)
    return kind, packet[8:20], user


def success(transaction: bytes) -> bytes:
    return struct.pack(">HHI", 0x0101, 0, COOKIE) + transaction
