"""The datagrams of the gossip protocol, in MessagePack, of at most 1,200 bytes.

A record is the state of one member. It belongs to one incarnation of that member (a restarted process is a
new one), and only the member itself increases its refutation count. Of two records the one with the higher
precedence holds, so they may arrive in any order and any number of times.
"""

import msgspec

from herongap.errors import Unusable

VERSION = 1
MAX_DATAGRAM_BYTES = 1200  # below the MTU of any path, so that a datagram is never fragmented
MAX_ERROR_CHARACTERS = 120
PING, ACK, PING_REQUEST, PING_RESULT, SYNC = range(5)


class InvalidDatagram(Unusable):
    """A datagram that is truncated, of another version or fleet, or not of this protocol."""

    advice = (
        "the datagram is counted and dropped; if this recurs, find out which host sends to the [gossip] port"
    )


class MemberRecord(msgspec.Struct, array_like=True, frozen=True):
    """The state of one member, as its newest known incarnation.

    `incarnation` grows with each restart, `refutations` with each refutation within an incarnation. `status`
    is a `members.MemberStatus`.
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
        """Of two records of a member the larger precedence holds."""
        return self.incarnation, self.refutations, self.status


class Datagram(msgspec.Struct, array_like=True, frozen=True, omit_defaults=True):
    """One datagram. `sender` and `incarnation` identify the sending process.

    PING requests an ACK with the same `sequence`. PING_REQUEST asks the receiver to ping `target` and to
    answer with PING_RESULT, `ok` or not. SYNC carries a part of the sender's member table and requests the
    receiver's table in return unless `ok` is set. `unheard` lists members that the sender does not hear
    directly although they are alive.
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
    """The bytes of a datagram with as many of its records as fit, and those records."""
    data = _encode(datagram)
    while len(data) > MAX_DATAGRAM_BYTES:
        fewer = min(len(datagram.records) * MAX_DATAGRAM_BYTES // len(data), len(datagram.records) - 1)
        datagram = msgspec.structs.replace(datagram, records=datagram.records[:fewer])
        data = _encode(datagram)
    return data, datagram.records


def encode(datagram: Datagram) -> bytes:
    """The bytes of a datagram, with as many of its records as fit."""
    return encode_fitting(datagram)[0]


def decode(data: bytes, fleet: str) -> Datagram:
    """The datagram in these bytes; raises InvalidDatagram."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise InvalidDatagram(f"too large: {len(data)} bytes")
    try:
        datagram = _decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError, ValueError) as error:
        raise InvalidDatagram(str(error)[:MAX_ERROR_CHARACTERS]) from error
    if datagram.version != VERSION or datagram.fleet != fleet or not PING <= datagram.kind <= SYNC:
        raise InvalidDatagram(
            f"version {datagram.version}, fleet {datagram.fleet!r:.40}, kind {datagram.kind}"
        )
    return datagram
