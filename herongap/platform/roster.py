"""The list of streamers as the platform tells it: events in the configuration, then the resolver's answers.

What is believed of an answer is decided here: it must be whole, ours, and not older than what is known.
"""

from typing import NamedTuple

import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdatatype

from herongap.errors import Unusable
from herongap.interface import StreamerEntry, StreamerStatus

Address = tuple[str, int]
SERVICE = dns.name.from_text("_work._tcp.fleet.local.")
STATES = {"Ready": StreamerStatus.ACTIVE, "Terminating": StreamerStatus.LEAVING, "Gone": StreamerStatus.LEFT}


class Doubtful(Unusable):
    """An answer of the resolver that is not to be believed."""

    advice = "see the resolver; the list before stays in force"


class Roster(NamedTuple):
    """The streamers as of an event: their lines, where each listens, and the number of the event."""

    serial: int
    lines: dict[str, StreamerEntry]
    addresses: dict[str, Address]


def _line(
    name: str, zone: str, kind: str, cell: int, racks: int, standing, weight, started_ms
) -> StreamerEntry:
    # A cell's streamers hold the same titles, and its rack is the cell mod `racks`.
    started = started_ms / 1000 if started_ms else None
    return StreamerEntry(name, zone, kind, cell, cell, cell % racks, standing, weight, started)


def read_known(known: dict, racks: int) -> Roster:
    """The list that the configuration's events add up to; raises KeyError, TypeError or ValueError."""
    lines: dict[str, StreamerEntry] = {}
    addresses: dict[str, Address] = {}
    for event in known["cmds"]:
        nodes = event["nodes"]
        if nodes["full"]:
            lines, addresses = {}, {}
        for s in nodes["servers"]:
            name, standing = s["id"], STATES[s["state"]]
            if standing is StreamerStatus.LEFT:
                lines.pop(name, None)
                addresses.pop(name, None)
                continue
            host, _, port = s["addr"].rpartition(":")
            addresses[name] = host, int(port)
            lines[name] = _line(
                name, s["zone"], s["kind"], int(s["cell"]), racks, standing, float(s["weight"]),
                s.get("started_ms") or 0,
            )  # fmt: skip
    return Roster(int(known["cursor"]), lines, addresses)


def query(number: int) -> bytes:
    """A question for the whole list under the id `number`, 0 to 65535."""
    asked = dns.message.make_query(SERVICE, dns.rdatatype.SRV, use_edns=False, id=number)
    return asked.to_wire()


def answer(data: bytes, number: int, racks: int) -> Roster:
    """The list in an answer to the question of that id; raises Doubtful."""
    try:
        told = dns.message.from_wire(data)
    except (dns.exception.DNSException, ValueError, IndexError) as fault:
        raise Doubtful(f"unreadable: {fault!r}") from fault
    if told.id != number or not told.flags & dns.flags.QR:
        raise Doubtful("not an answer to this question")
    if told.flags & dns.flags.TC:
        raise Doubtful("cut short")
    if told.rcode() != dns.rcode.NOERROR:
        raise Doubtful(f"failed: {dns.rcode.to_text(told.rcode())}")
    hosts, texts, targets, serial = {}, {}, [], None
    for section in (told.answer, told.authority, told.additional):
        for rrset in section:
            for r in rrset:
                if r.rdtype == dns.rdatatype.SRV and rrset.name == SERVICE:
                    targets.append(r)
                elif r.rdtype == dns.rdatatype.A:
                    hosts[rrset.name] = r.address
                elif r.rdtype == dns.rdatatype.TXT:
                    parts = (s.decode("utf-8", "replace").partition("=") for s in r.strings)
                    texts[rrset.name] = {name: value for name, _, value in parts}
                elif r.rdtype == dns.rdatatype.SOA and section is told.authority:
                    serial = r.serial
    if serial is None:
        raise Doubtful("without a serial")
    lines, addresses = {}, {}
    try:
        for r in targets:
            name, zone = (label.decode() for label in r.target.labels[:2])
            text = texts[r.target]
            addresses[name] = hosts[r.target], r.port
            standing = StreamerStatus.LEAVING if r.priority else StreamerStatus.ACTIVE
            lines[name] = _line(
                name, zone, text["kind"], int(text["cell"]), racks, standing, r.weight / 10,
                int(text.get("started") or 0),
            )  # fmt: skip
    except (KeyError, ValueError) as fault:
        raise Doubtful(f"a streamer's records are not whole: {fault!r}") from fault
    return Roster(serial, lines, addresses)
