"""Consent (RFC 7675) in its smallest form: STUN binding requests (RFC 8489) that name an ICE user pair."""

import os
import struct

MAGIC_COOKIE = 0x2112A442
HEADER_BYTES = 20
BINDING_REQUEST, BINDING_SUCCESS = 0x0001, 0x0101
USERNAME = 0x0006


def request(remote_ufrag: str, local_ufrag: str) -> bytes:
    """Encodes a binding request as ICE sends it: USERNAME is the remote ufrag, then the local one."""
    user = f"{remote_ufrag}:{local_ufrag}".encode()
    body = struct.pack(">HH", USERNAME, len(user)) + user + b"\0" * (-len(user) % 4)
    return struct.pack(">HHI", BINDING_REQUEST, len(body), MAGIC_COOKIE) + os.urandom(12) + body


def read(packet: bytes) -> tuple[int, bytes, str] | None:
    """Returns the type, transaction ID and USERNAME of a STUN message, None for anything else."""
    if len(packet) < HEADER_BYTES:
        return None
    message_type, size, cookie = struct.unpack(">HHI", packet[:8])
    if cookie != MAGIC_COOKIE or len(packet) != HEADER_BYTES + size:
        return None
    offset, user = HEADER_BYTES, ""
    while offset + 4 <= len(packet):
        attribute, length = struct.unpack(">HH", packet[offset : offset + 4])
        if attribute == USERNAME:
            user = packet[offset + 4 : offset + 4 + length].decode("utf-8", "replace")
        offset += 4 + length + (-length % 4)
    return message_type, packet[8:HEADER_BYTES], user


def success(transaction: bytes) -> bytes:
    """Encodes a success response, without attributes."""
    return struct.pack(">HHI", BINDING_SUCCESS, 0, MAGIC_COOKIE) + transaction
