"""Files that are read again when they change: the streamer list and the catalogue."""

import os
import time
from collections.abc import Callable

import gevent
import structlog

log = structlog.get_logger()


class FileWatcher:
    """Calls `on_change` with a file's content at the first read and whenever the file changes.

    If a changed file cannot be used, the last good content stays in effect.
    """

    def __init__(self, path: str, on_change: Callable[[bytes], None], interval: float):
        self.path, self.on_change, self.interval, self.last_signature = path, on_change, interval, None

    def read(self) -> None:
        """Check the file once; raises OSError or ValueError if it cannot be used."""
        status = os.stat(self.path)
        signature = status.st_mtime_ns, status.st_size, status.st_ino
        if signature != self.last_signature:
            with open(self.path, "rb") as file:
                data = file.read()
            self.last_signature = signature
            self.on_change(data)

    def run(self) -> None:
        """Check the file periodically; never returns."""
        while True:
            gevent.sleep(self.interval)
            try:
                self.read()
            except (OSError, ValueError) as error:
                log.error("file rejected, the last good one stays", path=self.path, cause=str(error))


def epoch_on_clock(clock: Callable[[], float]) -> float:
    """Return the reading of the host's clock at the Unix epoch."""
    return clock() - time.time()
