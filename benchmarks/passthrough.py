"""A gateway without decisions, as a baseline: the same HTTP code and checks of offers, round-robin streamers.

PATCH and DELETE are forwarded.
"""

import itertools
import sys
from contextlib import suppress
from pathlib import Path

import h11
from gevent.event import Event

from herongap.daemon.http_connection import ClientConnection, ConnectionPool, Server
from herongap.daemon.listen import listen
from herongap.daemon.session import read_remote_session
from herongap.http import SDP, Reply, problem
from herongap.ini import read_list, read_site_config
from herongap.whip import check_offer, created_reply


def main(file: str) -> None:
    """Serves with the configuration of a file until it is interrupted."""
    site = read_site_config(Path(file))
    _, addresses = read_list(Path(site.streamers.list).read_bytes(), 0.0)
    pools = {address: ConnectionPool(address, 1.0) for address in addresses.values()}
    round_robin, numbers, sessions = itertools.cycle(pools), itertools.count(1), {}

    def handle(request, peer) -> Reply:
        path = request.path
        try:
            if path[0] == "whep":
                offer = check_offer(request, "whep")
                if isinstance(offer, Reply):
                    return offer
                address, target = next(round_robin), f"/whep/{path[1]}?layer=0"
                call = ClientConnection(address, 1.0)
                call.send("POST", target, [("Content-Type", SDP)], request.body)
                reply = call.receive(5.0)
                pools[address].keep(call)
                if reply.status != 201:
                    return problem("aborted")
                remote, name = read_remote_session("s", target, reply), str(next(numbers))
                sessions[name] = address, remote
                return created_reply(f"/sessions/{name}", remote.tag, remote.answer)
            address, remote = sessions[path[1]]
            if request.method == "DELETE":
                del sessions[path[1]]
            return (
                pools[address].call(request.method, remote.path, [], request.body, 3.0)._replace(headers=())
            )
        except (OSError, h11.ProtocolError, KeyError, IndexError):
            return problem("aborted")

    server = Server(listen(("127.0.0.1", 0)), handle, site.limits)
    print("listening http://{}:{}".format(*server.address), flush=True)
    with suppress(KeyboardInterrupt):
        Event().wait()


if __name__ == "__main__":
    main(sys.argv[1])
