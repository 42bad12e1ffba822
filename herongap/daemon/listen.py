"""Addresses and listening sockets, used by every server of the program."""

import socket as plain

from gevent import socket

Address = tuple[str, int]
LISTEN_BACKLOG = 1024  # connections that the system holds until they are accepted


def listen(address: Address) -> socket.socket:
    """Open a listening socket; port 0 picks a free port."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(plain.SOL_SOCKET, plain.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(LISTEN_BACKLOG)
    return sock


def read_address(text: str) -> Address:
    """Parse an address of the form HOST:PORT, as configuration files and logs have it."""
    host, _, port = text.rpartition(":")
    return host, int(port)
