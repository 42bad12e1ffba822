"""Files that are read again when they change: the list of streamers and the catalogue."""

import os
import time
from collections.abc import Callable

import gevent
import structlog

log = structlog.get_logger()


class FileWatcher:
    """Calls `changed` with a file's bytes at once and whenever it is another; a bad file leaves the last
    good one.
    """

    def __init__(self, path: str, changed: Callable[[bytes], None], look: float):
        self.path, self.changed, self.look, self.seen = path, changed, look, None

    def read(self) -> None:
        """Look once; raises OSError or ValueError if the file cannot be used."""
        status = os.stat(self.path)
        mark = status.st_mtime_ns, status.st_size, status.st_ino
        if mark != self.seen:
            with open(self.path, "rb") as file:
                data = file.read()
            self.seen = mark
            self.changed(data)

    def run(self) -> None:
        """Look for ever."""
        while True:
            gevent.sleep(self.look)
            try:
                self.read()
            except (OSError, ValueError) as fault:
                log.error("file not taken, the last good one stays", path=self.path, cause=str(fault))


def epoch_on_clock(clock: Callable[[], float]) -> float:
    """The host's clock at the zero of the wall clock's epoch."""
    return clock() - time.time()
