"""Reads and checks the configuration file with which a controller is started."""

import json
from typing import NamedTuple
from zlib import crc32

from herongap.errors import UnusableInputError
from herongap.interface import DeploymentConfig
from herongap.platform.deployment import deployment_config
from herongap.platform.messages import MessageContext
from herongap.platform.streamer_list import StreamerList, parse_initial_list

Address = tuple[str, int]


class ConfigError(UnusableInputError):
    """A configuration that cannot be used; the text says what is wrong."""

    advice = "correct the configuration file; a reload changes nothing until then"


class NodeConfig(NamedTuple):
    """The configuration of one controller. Times are in seconds.

    `sockets` is the number of descriptors that the process may use. `longest_deadline` is the longest time
    that any package lets a viewer wait. `heartbeats_charged` says whether the deployment charges for each
    heartbeat. `initial_list` is the streamer list as of the start.
    """

    name: str
    listen: Address
    resolver: Address
    seed: int
    deployment: DeploymentConfig
    message_context: MessageContext
    racks: int
    sockets: int
    memory_mb: int
    connect_timeout: float
    idle_timeout: float
    longest_deadline: float
    heartbeats_charged: bool
    initial_list: StreamerList


def parse_address(text: str) -> Address:
    """Return the host and port of HOST:PORT; raises ConfigError."""
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise ConfigError(f"invalid address, expected HOST:PORT: {text!r:.60}")
    return host, int(port)


def parse_config(data: bytes) -> NodeConfig:
    """Return the configuration in these bytes; raises ConfigError."""
    try:
        document = json.loads(data)
        settings, limits = document["settings"], document["limits"]
        info, allowed = settings["FamilyInfo"], settings["Allowed"]
        racks = max(1, int(info["Racks"]))
        return NodeConfig(
            name=str(document["name"]),
            listen=parse_address(document["listen"]),
            resolver=parse_address(document["names"]),
            # Seeds are strings of hex digits; the deciding module's random generator takes a number.
            seed=crc32(str(document["seed"]).encode()),
            deployment=deployment_config(settings),
            message_context=MessageContext(
                frozenset(grade["Name"] for grade in settings["Grades"]),
                frozenset(tenant["Name"] for tenant in settings.get("Tenants") or ()),
                int(info["Places"]),
                len(info["LadderKb"]) - 1,
            ),
            racks=racks,
            sockets=int(limits["sockets"]),
            memory_mb=int(limits["memory_mb"]),
            connect_timeout=allowed["ConnectTimeout"] / 1000,
            idle_timeout=allowed["ConnIdle"] / 1000,
            longest_deadline=max(grade["Deadline"] for grade in settings["Grades"]) / 1000,
            # Where the deployment allows probes, a heartbeat counts as one.
            heartbeats_charged=bool(allowed.get("Probes") and (settings.get("Prices") or {}).get("Probe")),
            initial_list=parse_initial_list(document["known"], racks),
        )
    except KeyError as error:
        raise ConfigError(f"{error} is missing") from error
    except (ValueError, TypeError, AttributeError, RecursionError) as error:
        raise ConfigError(str(error)) from error
