"""Addresses and listening sockets, for every shell of the program."""

import socket as plain

from gevent import socket

Address = tuple[str, int]


def listen(address: Address) -> socket.socket:
    """A listening socket; port 0 picks a free one."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(plain.SOL_SOCKET, plain.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(1024)
    return sock


def read_address(text: str) -> Address:
    """An address as files and logs write it, HOST:PORT."""
    host, _, port = text.rpartition(":")
    return host, int(port)
