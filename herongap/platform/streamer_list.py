"""The streamer list as the platform publishes it: events in the configuration, then answers of the resolver.

An answer of the resolver is used only if it is complete and answers the pending query; the caller drops one
that is older than the list in use.
"""

from typing import NamedTuple

import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdatatype

from herongap.errors import UnusableInputError
from herongap.interface import StreamerEntry, StreamerStatus

Address = tuple[str, int]
SERVICE = dns.name.from_text("_work._tcp.fleet.local.")
STATUSES = {
    "Ready": StreamerStatus.ACTIVE,
    "Terminating": StreamerStatus.LEAVING,
    "Gone": StreamerStatus.LEFT,
}


class InvalidAnswerError(UnusableInputError):
    """An answer of the resolver that cannot be used."""

    advice = "see the resolver; the list before stays in force"


class StreamerList(NamedTuple):
    """The streamers as of an event, by name: their entries, their addresses, and the number of the event."""

    serial: int
    entries: dict[str, StreamerEntry]
    addresses: dict[str, Address]


def _entry(
    name: str, zone: str, kind: str, cell: int, racks: int, status, weight, started_ms
) -> StreamerEntry:
    # The streamers of a cell hold the same titles; the cell modulo `racks` is its rack.
    started = started_ms / 1000 if started_ms else None
    return StreamerEntry(name, zone, kind, cell, cell, cell % racks, status, weight, started)


def parse_initial_list(known: dict, racks: int) -> StreamerList:
    """Return the list that the configuration's events add up to; raises KeyError, TypeError or ValueError."""
    entries: dict[str, StreamerEntry] = {}
    addresses: dict[str, Address] = {}
    for event in known["cmds"]:
        nodes = event["nodes"]
        if nodes["full"]:
            entries, addresses = {}, {}
        for server in nodes["servers"]:
            name, status = server["id"], STATUSES[server["state"]]
            if status is StreamerStatus.LEFT:
                entries.pop(name, None)
                addresses.pop(name, None)
                continue
            host, _, port = server["addr"].rpartition(":")
            addresses[name] = host, int(port)
            entries[name] = _entry(
                name, server["zone"], server["kind"], int(server["cell"]), racks, status,
                float(server["weight"]), server.get("started_ms") or 0,
            )  # fmt: skip
    return StreamerList(int(known["cursor"]), entries, addresses)


def encode_query(query_id: int) -> bytes:
    """Encode a query for the whole list; `query_id` is 0 to 65535."""
    query = dns.message.make_query(SERVICE, dns.rdatatype.SRV, use_edns=False, id=query_id)
    return query.to_wire()


def parse_answer(data: bytes, query_id: int, racks: int) -> StreamerList:
    """Return the list in an answer to the query of that id; raises InvalidAnswerError."""
    try:
        response = dns.message.from_wire(data)
    except (dns.exception.DNSException, ValueError, IndexError) as error:
        raise InvalidAnswerError(f"not a DNS message: {error!r}") from error
    if response.id != query_id or not response.flags & dns.flags.QR:
        raise InvalidAnswerError("not an answer to this query")
    if response.flags & dns.flags.TC:
        raise InvalidAnswerError("the answer is truncated")
    if response.rcode() != dns.rcode.NOERROR:
        raise InvalidAnswerError(f"the query failed: {dns.rcode.to_text(response.rcode())}")
    hosts, attributes, targets, serial = {}, {}, [], None
    for section in (response.answer, response.authority, response.additional):
        for rrset in section:
            for record in rrset:
                if record.rdtype == dns.rdatatype.SRV and rrset.name == SERVICE:
                    targets.append(record)
                elif record.rdtype == dns.rdatatype.A:
                    hosts[rrset.name] = record.address
                elif record.rdtype == dns.rdatatype.TXT:
                    parts = (text.decode("utf-8", "replace").partition("=") for text in record.strings)
                    attributes[rrset.name] = {name: value for name, _, value in parts}
                elif record.rdtype == dns.rdatatype.SOA and section is response.authority:
                    serial = record.serial
    if serial is None:
        raise InvalidAnswerError("the answer has no serial number")
    entries, addresses = {}, {}
    try:
        for record in targets:
            name, zone = (label.decode() for label in record.target.labels[:2])
            text = attributes[record.target]
            addresses[name] = hosts[record.target], record.port
            status = StreamerStatus.LEAVING if record.priority else StreamerStatus.ACTIVE
            entries[name] = _entry(
                name, zone, text["kind"], int(text["cell"]), racks, status, record.weight / 10,
                int(text.get("started") or 0),
            )  # fmt: skip
    except (KeyError, ValueError) as error:
        raise InvalidAnswerError(f"incomplete records of a streamer: {error!r}") from error
    return StreamerList(serial, entries, addresses)
