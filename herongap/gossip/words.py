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


class Unreadable(Unusable):
    """A datagram that is none of ours: cut short, of another version or fleet, or noise."""

    advice = "counted and dropped; if they keep coming, see who sends to the [gossip] port"


class Word(msgspec.Struct, array_like=True, frozen=True):
    """What is said of a member: its number, its life (the larger is the newer), how often it has raised its
    word in that life, and how it stands (see `book.Standing`).
    """

    number: int
    life: int
    raised: int
    standing: int
    host: str
    port: int
    zone: str

    @property
    def rank(self) -> tuple[int, int, int]:
        return self.life, self.raised, self.standing


class Datagram(msgspec.Struct, array_like=True, frozen=True, omit_defaults=True):
    """One datagram. `number` and `life` are the sender's.

    PING asks for an ACK of the same `turn`. ASK asks the receiver to ping `about` and to answer HEARD, `good`
    or not. SYNC carries a part of all that its sender knows, and asks for the receiver's in turn where `good`
    is not set. `deaf` names members that the sender does not hear directly although they live.
    """

    version: int
    fleet: str
    kind: int
    number: int
    life: int
    turn: int
    about: int = -1
    good: bool = False
    deaf: tuple[int, ...] = ()
    words: tuple[Word, ...] = ()


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Datagram).decode


def fitted(datagram: Datagram) -> tuple[bytes, tuple[Word, ...]]:
    """The bytes of a datagram with as many of its words as fit, and those words."""
    data = _encode(datagram)
    while len(data) > MOST:
        fewer = min(len(datagram.words) * MOST // len(data), len(datagram.words) - 1)
        datagram = msgspec.structs.replace(datagram, words=datagram.words[:fewer])
        data = _encode(datagram)
    return data, datagram.words


def write(datagram: Datagram) -> bytes:
    """The bytes of a datagram, with as many of its words as fit."""
    return fitted(datagram)[0]


def read(data: bytes, fleet: str) -> Datagram:
    """The datagram in these bytes; raises Unreadable."""
    if len(data) > MOST:
        raise Unreadable(f"{len(data)} bytes")
    try:
        found = _decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError, ValueError) as fault:
        raise Unreadable(str(fault)[:120]) from fault
    if found.version != VERSION or found.fleet != fleet or not PING <= found.kind <= SYNC:
        raise Unreadable(f"version {found.version}, fleet {found.fleet!r:.40}, kind {found.kind}")
    return found
