"""What a controller is told when it is started: the configuration file, read and checked."""

import json
from typing import NamedTuple
from zlib import crc32

from herongap.errors import Unusable
from herongap.interface import DeploymentConfig
from herongap.platform.charter import charter
from herongap.platform.messages import Terms
from herongap.platform.roster import Roster, read_known

Address = tuple[str, int]


class Fault(Unusable):
    """A configuration that cannot be used; the text says what is wrong."""

    advice = "correct the configuration file; a reload changes nothing until then"


class Launch(NamedTuple):
    """One start of one controller. Times in seconds, memory in MB."""

    name: str
    listen: Address
    resolver: Address
    seed: int
    charter: DeploymentConfig
    terms: Terms
    racks: int
    sockets: int
    memory: int
    connect: float
    idle: float
    longest: float
    tests_paid: bool
    known: Roster


def address(text: str) -> Address:
    """HOST:PORT; raises ValueError."""
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise Fault(f"no address: {text!r:.60}")
    return host, int(port)


def read(data: bytes) -> Launch:
    """The configuration in these bytes; raises Fault."""
    try:
        told = json.loads(data)
        settings, limits = told["settings"], told["limits"]
        info, allowed = settings["FamilyInfo"], settings["Allowed"]
        racks = max(1, int(info["Racks"]))
        return Launch(
            name=str(told["name"]),
            listen=address(told["listen"]),
            resolver=address(told["names"]),
            # Seeds are texts of hex digits; the module's chance takes a number.
            seed=crc32(str(told["seed"]).encode()),
            charter=charter(settings),
            terms=Terms(
                frozenset(grade["Name"] for grade in settings["Grades"]),
                frozenset(tenant["Name"] for tenant in settings.get("Tenants") or ()),
                int(info["Places"]),
                len(info["LadderKb"]) - 1,
            ),
            racks=racks,
            sockets=int(limits["sockets"]),
            memory=int(limits["memory_mb"]),
            connect=allowed["ConnectTimeout"] / 1000,
            idle=allowed["ConnIdle"] / 1000,
            longest=max(grade["Deadline"] for grade in settings["Grades"]) / 1000,
            # Where probes are allowed at all a test counts as one.
            tests_paid=bool(allowed.get("Probes") and (settings.get("Prices") or {}).get("Probe")),
            known=read_known(told["known"], racks),
        )
    except KeyError as fault:
        raise Fault(f"{fault} is missing") from fault
    except (ValueError, TypeError, AttributeError, RecursionError) as fault:
        raise Fault(str(fault)) from fault
