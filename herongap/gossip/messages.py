"""Datagrams as values: what one controller says to another, in MessagePack, of at most 1,200 bytes.

A word is what is said of one member. It belongs to that member's life (a restarted process is another), and
only the member itself raises it. Of two words the larger holds, so they may come in any order, any number of
times.
"""

import msgspec

from herongap.errors import Unusable

VERSION = 1
MOST = 1200  # bytes of a datagram: less than any path carries in one piece
PING, ACK, ASK, HEARD, SYNC = range(5)


class InvalidDatagram(Unusable):
    """A datagram that is none of ours: cut short, of another version or fleet, or noise."""

    advice = "counted and dropped; if they keep coming, see who sends to the [gossip] port"


class MemberRecord(msgspec.Struct, array_like=True, frozen=True):
    """What is said of a member: its number, its life (the larger is the newer), how often it has raised its
    word in that life, and how it stands (see `members.MemberStatus`).
    """

    number: int
    incarnation: int
    refutations: int
    status: int
    host: str
    port: int
    zone: str

    @property
    def precedence(self) -> tuple[int, int, int]:
        return self.incarnation, self.refutations, self.status


class Datagram(msgspec.Struct, array_like=True, frozen=True, omit_defaults=True):
    """One datagram. `sender` and `incarnation` are the sender's.

    PING asks for an ACK of the same `sequence`. ASK asks the receiver to ping `target` and to answer HEARD,
    `ok` or not. SYNC carries a part of all that its sender knows, and asks for the receiver's in
    turn where `ok` is not set. `unheard` names members that the sender does not hear directly although they
    live.
    """

    version: int
    fleet: str
    kind: int
    sender: int
    incarnation: int
    sequence: int
    target: int = -1
    ok: bool = False
    unheard: tuple[int, ...] = ()
    records: tuple[MemberRecord, ...] = ()


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Datagram).decode


def encode_fitting(datagram: Datagram) -> tuple[bytes, tuple[MemberRecord, ...]]:
    """The bytes of a datagram with as many of its words as fit, and those words."""
    data = _encode(datagram)
    while len(data) > MOST:
        fewer = min(len(datagram.records) * MOST // len(data), len(datagram.records) - 1)
        datagram = msgspec.structs.replace(datagram, records=datagram.records[:fewer])
        data = _encode(datagram)
    return data, datagram.records


def encode(datagram: Datagram) -> bytes:
    """The bytes of a datagram, with as many of its words as fit."""
    return encode_fitting(datagram)[0]


def decode(data: bytes, fleet: str) -> Datagram:
    """The datagram in these bytes; raises InvalidDatagram."""
    if len(data) > MOST:
        raise InvalidDatagram(f"{len(data)} bytes")
    try:
        found = _decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError, ValueError) as fault:
        raise InvalidDatagram(str(fault)[:120]) from fault
    if found.version != VERSION or found.fleet != fleet or not PING <= found.kind <= SYNC:
        raise InvalidDatagram(f"version {found.version}, fleet {found.fleet!r:.40}, kind {found.kind}")
    return found
