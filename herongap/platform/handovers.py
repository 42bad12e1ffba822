"""Decides, without I/O, how much a controller keeps for viewings that are handed over to it.

A set-up with `at` names a viewing that plays at a streamer already. That cannot be verified there, and a
client may send any number of them; these limits keep the process within its memory.
"""

MEGABYTE = 1 << 20
HELD_VIEWING_BYTES = 4096  # memory of a viewing that is held, and later of its releases
HELD_MEMORY_SHARE = 1 / 8  # of the process's memory
# Releases of viewings that were not adopted: kept for all viewers until they are acknowledged, and kept for
# one streamer. Sent on another connection all at once, they must not exceed its backlog.
MAX_REJECTED_RELEASES = 2000
MAX_REJECTED_RELEASES_PER_STREAMER = 1000


def max_placed_viewings(memory_mb: int) -> int:
    """Return how many viewings of a process with that much memory may be placed when it adopts another one.

    Those that wait do not count: a client that requests many must not keep others from being adopted.
    """
    return int(memory_mb * MEGABYTE * HELD_MEMORY_SHARE / HELD_VIEWING_BYTES)
